// Package mtclaims determines the first claim of each idempotency key on the platform's log.
package mtclaims
