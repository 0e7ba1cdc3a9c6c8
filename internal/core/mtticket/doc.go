// Package mtticket formats and parses tickets, which bind idempotency keys to one process of one entry instance.
package mtticket
