package mtingress

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// The states of a TCP socket, from linux/tcp_states.h, in which the peer has closed the connection.
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// unacknowledgedBytes returns the number of bytes that the peer has not acknowledged, counting the end of the stream as
// one; isKnown is false if the system does not tell.
func unacknowledgedBytes(conn net.Conn) (count int, isKnown bool) {
	isKnown = control(conn, func(descriptor int) (err error) {
		count, err = unix.IoctlGetInt(descriptor, unix.SIOCOUTQ)
		return err
	})
	return count, isKnown
}

// hasPeerClosed reports whether the peer has closed or reset the connection, also if input is left to be read.
func hasPeerClosed(conn net.Conn) bool {
	closed := false
	control(conn, func(descriptor int) error {
		info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return err
		}
		switch info.State {
		case tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
			closed = true
		}
		return nil
	})
	return closed
}

// control calls a function with the descriptor of a connection, and reports whether that succeeded.
func control(conn net.Conn, call func(descriptor int) error) bool {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	var callErr error
	err = raw.Control(func(descriptor uintptr) {
		callErr = call(int(descriptor))
	})
	return err == nil && callErr == nil
}
