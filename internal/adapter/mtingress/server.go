package mtingress

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtmemory"
)

// Limits bound the size and the duration of requests. A zero field selects a default.
type Limits struct {
	// Header and Body are sizes in bytes.
	Header int
	Body   int64
	// HeaderTime bounds the time from the first byte of a request to its last, body included.
	HeaderTime time.Duration
	// Idle bounds the time that a connection stays without a request.
	Idle time.Duration
}

// The limits that apply where the configuration sets none.
const (
	defaultMaxBodyBytes  = 1 << 20
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 30 * time.Second
)

// withDefaults returns the limits with the defaults for those that are not set. Header needs none because of
// minHeaderLimitBytes.
func (l Limits) withDefaults() Limits {
	if l.Body <= 0 {
		l.Body = defaultMaxBodyBytes
	}
	if l.HeaderTime <= 0 {
		l.HeaderTime = defaultHeaderTimeout
	}
	if l.Idle <= 0 {
		l.Idle = defaultIdleTimeout
	}
	return l
}

// handler handles calls.
type handler interface {
	// Handle returns the response to a call, or nil to close the connection without one.
	Handle(ctx context.Context, call *Call) *Response
}

// Server accepts the connections of callers.
type Server struct {
	listener          net.Listener
	handler           handler
	limits            func() Limits
	memory            *Memory
	keepAliveDisabled atomic.Bool
	unansweredCount   atomic.Int64
	readAhead         readAheadBudget
	replacedCount     atomic.Int64

	mu              sync.Mutex
	closed          bool
	connections     map[*connection]bool
	connectionGroup sync.WaitGroup
}

// Option changes a server from its defaults.
type Option func(server *Server)

// WithMemory makes a server share a bound of the memory with others. Without it, a server has a bound of its own for the
// smallest instance.
func WithMemory(memory *Memory) Option {
	return func(server *Server) {
		server.memory = memory
	}
}

// NewServer listens on an address. It calls limits for each request.
func NewServer(address string, handler handler, limits func() Limits, options ...Option) (*Server, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, err
	}
	return newServer(listener, handler, limits, options...), nil
}

func newServer(listener net.Listener, handler handler, limits func() Limits, options ...Option) *Server {
	server := &Server{
		listener:    listener,
		handler:     handler,
		limits:      limits,
		memory:      NewMemory(mtmemory.Divide(0, 0)),
		connections: map[*connection]bool{},
	}
	for _, option := range options {
		option(server)
	}
	return server
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// acceptRetryDelay is the delay after a failed accept, whose usual cause is a lack of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts connections until Close. It reports the first of consecutive accept errors.
func (s *Server) Serve(report func(err error)) {
	hasFailed := false
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			if !hasFailed {
				report(err)
			}
			hasFailed = true
			time.Sleep(acceptRetryDelay)
			continue
		}
		hasFailed = false
		s.startConnection(conn)
	}
}

// startConnection starts the goroutine of a connection, unless there are too many. It closes a connection that was accepted while the server
// closed, because connectionGroup must not grow during Wait.
func (s *Server) startConnection(conn net.Conn) {
	connection := newConnection(s, conn)
	connection.holder = s.memory.open(connection)
	if connection.holder == nil {
		connection.close()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		s.memory.close(connection.holder)
		connection.close()
		return
	}
	s.connections[connection] = true
	s.connectionGroup.Go(func() {
		connection.run()
		s.memory.close(connection.holder)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.connections, connection)
	})
}

// UnansweredCount returns the number of requests that have been read but not answered.
func (s *Server) UnansweredCount() int {
	return int(s.unansweredCount.Load())
}

// DisableKeepAlive makes each further response the last one of its connection, by "Connection: close", unless requests
// behind it were taken before or are arriving.
func (s *Server) DisableKeepAlive() {
	s.keepAliveDisabled.Store(true)
}

// Close stops accepting connections and requests, and closes the idle connections. A request that has begun to arrive is
// read if it is complete by readUntil, and is refused otherwise.
func (s *Server) Close(readUntil time.Time) {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for connection := range s.connections {
		connection.drain(readUntil)
	}
}

// Wait waits, after Close, until all connections are closed or the context ends.
func (s *Server) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.connectionGroup.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
