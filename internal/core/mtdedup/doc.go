// Package mtdedup records the idempotency keys of calls that must run at most once, and the outcomes of these calls.
package mtdedup
