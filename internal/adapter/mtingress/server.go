package mtingress

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	Header     int
	Body       int64
	HeaderTime time.Duration
	Idle       time.Duration
}

// The limits that hold while no configuration sets others.
const (
	bodyDefault       = 1 << 20
	headerTimeDefault = 10 * time.Second
	idleDefault       = 30 * time.Second
)

// bounded returns the limits with a bound for each that has none.
func (l Limits) bounded() Limits {
	if l.Body <= 0 {
		l.Body = bodyDefault
	}
	if l.HeaderTime <= 0 {
		l.HeaderTime = headerTimeDefault
	}
	if l.Idle <= 0 {
		l.Idle = idleDefault
	}
	return l
}

// handler answers calls; nil cuts the connection.
type handler interface {
	Handle(ctx context.Context, call *Call) *Answer
}

// Server accepts the connections of callers.
type Server struct {
	listener net.Listener
	handler  handler
	limits   func() Limits
	leaving  atomic.Bool
	open     atomic.Int64

	mu     sync.Mutex
	closed bool
	conns  map[*connection]bool
	group  sync.WaitGroup
}

// NewServer listens at an address; limits are asked for with each request.
func NewServer(address string, handler handler, limits func() Limits) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return newServer(listener, handler, limits), nil
}

func newServer(listener net.Listener, handler handler, limits func() Limits) *Server {
	return &Server{
		listener: listener,
		handler:  handler,
		limits:   limits,
		conns:    map[*connection]bool{},
	}
}

// Address returns where the server listens.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// acceptPause follows a failed accept, which is mostly a lack of descriptors.
const acceptPause = 20 * time.Millisecond

// Serve accepts connections until Close; it reports the first failure of each run of accepts that fail.
func (s *Server) Serve(report func(err error)) {
	failing := false
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			if !failing {
				report(err)
			}
			failing = true
			time.Sleep(acceptPause)
			continue
		}
		failing = false
		s.serve(conn)
	}
}

// serve starts the goroutine of a connection, or closes one that was accepted while the server closed: Wait must not
// overlap with connections that it does not count.
func (s *Server) serve(conn net.Conn) {
	connection := newConnection(s, conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		connection.abandon()
		return
	}
	s.conns[connection] = true
	s.group.Go(func() {
		connection.run()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, connection)
	})
}

// Open returns the number of requests that are not answered.
func (s *Server) Open() int {
	return int(s.open.Load())
}

// Leave makes each further answer the last one of its connection.
func (s *Server) Leave() {
	s.leaving.Store(true)
}

// Close stops accepting and closes the connections without a request.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for connection := range s.conns {
		connection.closeIdle()
	}
}

// Wait waits, after Close, until all connections are closed or the context ends.
func (s *Server) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
