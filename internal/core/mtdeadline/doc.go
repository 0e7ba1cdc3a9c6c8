// Package mtdeadline reads and writes the time that a call has left, as Connect, gRPC and plain HTTP callers state it.
package mtdeadline
