// Package mtdeadline reads and writes the time-out headers of Connect, gRPC and plain HTTP calls.
package mtdeadline
