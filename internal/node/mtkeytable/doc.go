// Package mtkeytable provides the concurrent table of idempotency keys of one incarnation of an entry instance.
package mtkeytable
