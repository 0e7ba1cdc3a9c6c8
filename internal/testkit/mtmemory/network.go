package mtmemory

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
	dials     map[string]int
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*listener{},
		dials:     map[string]int{},
	}
}

// Listen returns a listener at an address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	added := &listener{
		address: address,
		conns:   make(chan net.Conn),
		closed:  make(chan struct{}),
	}
	n.listeners[address] = added
	return added
}

// Dial connects to a listener.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	found := n.listeners[address]
	n.dials[address]++
	n.mu.Unlock()
	if found == nil {
		return nil, refused(address)
	}
	near, far := net.Pipe()
	select {
	case found.conns <- far:
		return near, nil
	case <-found.closed:
		return nil, refused(address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Dials returns the number of connections that were asked for at an address.
func (n *Network) Dials(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[address]
}

func refused(address string) error {
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
	once    sync.Once
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes further dials fail.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
	})
	return nil
}

// Addr returns the address.
func (l *listener) Addr() net.Addr {
	return address(l.address)
}

type address string

// Network returns memory.
func (a address) Network() string { return "memory" }

// String returns the address.
func (a address) String() string { return string(a) }
