//go:build !linux

package mtingress

import (
	"net"
)

// unacknowledgedBytes returns the number of bytes that the peer has not acknowledged; isKnown is false if the system
// does not tell.
func unacknowledgedBytes(net.Conn) (count int, isKnown bool) {
	return 0, false
}

// hasPeerClosed reports whether the peer is known to have closed the connection.
func hasPeerClosed(net.Conn) bool {
	return false
}
