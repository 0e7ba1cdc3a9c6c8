package mtmemorynetwork

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// Network connects listeners and dialers by address.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	// dials counts the calls of Dial by address, also those that failed.
	dials map[string]int
}

// NewNetwork returns a network that has no listeners.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*listener{},
		dials:     map[string]int{},
	}
}

// Listen returns a listener at an address; it replaces an earlier listener at the same address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	created := &listener{
		address: address,
		conns:   make(chan net.Conn),
		closed:  make(chan struct{}),
	}
	n.listeners[address] = created
	return created
}

// Dial connects to the listener at an address and waits until it accepts. It fails if there is no listener, the
// listener is closed or the context ends.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	target := n.listeners[address]
	n.dials[address]++
	n.mu.Unlock()
	if target == nil {
		return nil, refusedError(address)
	}
	clientConn, serverConn := net.Pipe()
	select {
	case target.conns <- serverConn:
		return clientConn, nil
	case <-target.closed:
		return nil, refusedError(address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// DialCount returns the number of attempts to connect to an address, including failed ones.
func (n *Network) DialCount(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[address]
}

func refusedError(address string) error {
	return &net.OpError{
		Op:  "dial",
		Net: "memory",
		Err: fmt.Errorf("connection to %s refused", address),
	}
}

type listener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	// closeOnce makes repeated calls of Close safe.
	closeOnce sync.Once
}

// Accept waits for the next connection. It returns net.ErrClosed after Close.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops the listener; later dials to its address fail.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
	})
	return nil
}

// Addr returns the address that Listen was called with.
func (l *listener) Addr() net.Addr {
	return address(l.address)
}

type address string

// Network returns the name of the network, which is "memory".
func (a address) Network() string { return "memory" }

func (a address) String() string { return string(a) }
