// Package mtguard decides whether this instance may dispatch a call with an idempotency key.
package mtguard
