// Package mtclaimer claims the idempotency keys of calls without a ticket in the platform's log.
package mtclaimer
