// Package mtquota bounds the requests of one tenant over all instances: a Ledger leases shares of the limit, and a Holder
// admits requests under its lease.
package mtquota
