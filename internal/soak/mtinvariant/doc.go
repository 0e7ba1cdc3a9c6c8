// Package mtinvariant checks the requests that callers send and endpoints receive against the gateway's invariants.
package mtinvariant
