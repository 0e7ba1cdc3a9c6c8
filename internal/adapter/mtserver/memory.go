// net/http parses a head while it arrives, so the connection counts what the parsed form may cost, by its lines. Behind TLS it
// sees no lines and counts bytes instead. Once the head is complete, its size is known, and the request holds that until it
// is answered. The frames of HTTP/2 heads that are not complete are bounded by maxHeaderBytes for each connection alone.

package mtserver

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtmemory"
	"github.com/mangotack/mangotack/internal/core/mtrefusal"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

const (
	// lineBytes is the memory of a parsed header line and of its copies, textFactor that of its text.
	lineBytes  = 256
	textFactor = 2
	// encryptedFactor is the memory of a head for each encrypted byte, as lines of a few bytes have it.
	encryptedFactor = 32
	// requestBytes is the memory of a request besides its head and body.
	requestBytes = 16 << 10
	// receiveBufferBytes is the size of the receive buffer of a connection, of which Linux holds 48 KiB unread. The kernel would
	// otherwise let it grow to megabytes.
	receiveBufferBytes = 32 << 10
	// memoryPollInterval is the time between two decisions on a request that waits.
	memoryPollInterval = 25 * time.Millisecond
	// memoryRetryAfter is the Retry-After of a request that is refused because memory is short, in seconds.
	memoryRetryAfter = "1"
)

var errMemoryShort = errors.New("memory is short")

// Option changes a server from its defaults.
type Option func(server *Server)

// WithDivision bounds the heads and connections of callers by a division of the memory.
func WithDivision(division mtmemory.Division) Option {
	return func(server *Server) {
		bound := NewBound(division)
		bound.isEncrypted = server.server.TLSConfig != nil
		server.listener = bound.Apply(server.server, server.listener)
	}
}

// Bound bounds the heads and connections of one or more servers of net/http; its mutex is a leaf.
type Bound struct {
	isEncrypted bool
	mu          sync.Mutex
	budget      *mtmemory.Budget
}

// NewBound returns a bound for a division of the memory, of which the parts for callers and connections are used.
func NewBound(division mtmemory.Division) *Bound {
	return &Bound{
		budget: mtmemory.NewBudget(division),
	}
}

// Apply makes a server with a handler comply with the bound and returns the listener that it must serve on.
func (m *Bound) Apply(server *http.Server, listener net.Listener) net.Listener {
	server.Handler = m.handler(server.Handler)
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, underlying(conn))
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if bounded := underlying(conn); bounded != nil && state == http.StateIdle {
			bounded.beginHead()
		}
	}
	return &boundedListener{
		Listener: listener,
		bound:    m,
	}
}

// connectionKey is the key of the connection in the context of its requests.
type connectionKey struct{}

// underlying returns the connection below TLS.
func underlying(conn net.Conn) *boundedConnection {
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	bounded, _ := conn.(*boundedConnection)
	return bounded
}

type boundedListener struct {
	net.Listener
	bound *Bound
}

// Accept returns the next connection; if there are too many, it closes the least active one.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		bounded := &boundedConnection{
			Conn:  conn,
			bound: l.bound,
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			// An error leaves the size as it is; the connection can be served.
			_ = tcp.SetReadBuffer(receiveBufferBytes)
		}
		l.bound.mu.Lock()
		added, closed := l.bound.budget.Open(bounded, time.Now())
		bounded.holder = added
		l.bound.mu.Unlock()
		if added == nil {
			_ = conn.Close()
			continue
		}
		if closed != nil {
			_ = closed.Owner.(*boundedConnection).Close()
		}
		return bounded, nil
	}
}

// boundedConnection counts the heads that arrive on a connection.
type boundedConnection struct {
	net.Conn
	bound  *Bound
	holder *mtmemory.Holder

	// handling is the number of requests whose head is complete.
	handling atomic.Int32
	// mu is locked before the mutex of the bound.
	mu sync.Mutex
	// cost is the memory that the head which arrives may need, of which reserved is granted.
	cost     int64
	reserved int64
	// lineLength is the length of the last line of the head so far, and headEnded is set once its blank line has arrived: what
	// follows is body.
	lineLength int
	headEnded  bool
}

// Read reads from the connection. It fails when the head that arrives must not be read on.
func (c *boundedConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.countHead(p[:n]) {
		_ = c.Close()
		return 0, errMemoryShort
	}
	return n, err
}

// countHead reserves the memory of a part of a head.
func (c *boundedConnection) countHead(part []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handling.Load() > 0 {
		return true
	}
	if c.bound.isEncrypted {
		c.cost += int64(encryptedFactor * len(part))
	} else {
		size, lines := c.scanHead(part)
		c.cost += int64(textFactor*size + lineBytes*lines)
	}
	if c.cost <= c.reserved {
		return true
	}
	more := max(requestBytes, c.cost-c.reserved)
	if !c.bound.reserve(c.holder, more) {
		return false
	}
	c.reserved += more
	return true
}

// scanHead returns how many bytes and line ends of a part belong to the head; the caller holds the mutex.
func (c *boundedConnection) scanHead(part []byte) (size, lines int) {
	for size < len(part) && !c.headEnded {
		next := bytes.IndexByte(part[size:], '\n')
		if next < 0 {
			// The carriage return may be the end of this part.
			c.lineLength += len(bytes.TrimSuffix(part[size:], []byte("\r")))
			return len(part), lines
		}
		line := bytes.TrimSuffix(part[size:size+next], []byte("\r"))
		c.headEnded = c.lineLength+len(line) == 0
		c.lineLength = 0
		size += next + 1
		lines++
	}
	return size, lines
}

// beginHead makes the connection count the next head, once the request before it is read to its end.
func (c *boundedConnection) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headEnded = false
	c.lineLength = 0
}

// Close closes the connection and releases what it holds.
func (c *boundedConnection) Close() error {
	c.bound.mu.Lock()
	c.bound.budget.Close(c.holder)
	c.bound.mu.Unlock()
	return c.Conn.Close()
}

// reserve waits for memory. It returns false if the connection must be closed.
func (m *Bound) reserve(holder *mtmemory.Holder, bytes int64) bool {
	for {
		m.mu.Lock()
		verdict := m.budget.Reserve(holder, bytes, false, time.Now())
		evicted := m.budget.TakeEvicted()
		m.mu.Unlock()
		for _, other := range evicted {
			// An HTTP/2 connection may have other requests that run: its next one is refused, which ends it in order.
			if connection := other.Owner.(*boundedConnection); connection.handling.Load() == 0 {
				_ = connection.Close()
			}
		}
		if verdict != mtmemory.Wait {
			return verdict == mtmemory.Granted
		}
		time.Sleep(memoryPollInterval)
	}
}

// handler replaces what the head may have needed by what it holds, until the request is answered.
func (m *Bound) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		connection, _ := request.Context().Value(connectionKey{}).(*boundedConnection)
		if connection == nil {
			next.ServeHTTP(w, request)
			return
		}
		grant, granted := connection.beginRequest(request)
		defer connection.endRequest(grant)
		if !granted {
			refuseForMemory(w)
			return
		}
		next.ServeHTTP(w, request)
	})
}

// beginRequest reserves the memory of a request whose head is complete.
func (c *boundedConnection) beginRequest(request *http.Request) (grant mtmemory.Grant, granted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handling.Load() == 0 {
		c.bound.mu.Lock()
		c.bound.budget.Abort(c.holder)
		c.bound.mu.Unlock()
		c.cost, c.reserved = 0, 0
	}
	c.handling.Add(1)
	granted = c.bound.reserve(c.holder, headBytes(request))
	c.bound.mu.Lock()
	defer c.bound.mu.Unlock()
	return c.bound.budget.Complete(c.holder), granted
}

func (c *boundedConnection) endRequest(grant mtmemory.Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling.Add(-1)
	c.bound.mu.Lock()
	defer c.bound.mu.Unlock()
	c.bound.budget.Release(c.holder, grant, time.Now())
}

// headBytes returns the memory of a request without its body.
func headBytes(request *http.Request) int64 {
	size := requestBytes + textFactor*len(request.RequestURI)
	for name, values := range request.Header {
		for _, value := range values {
			size += lineBytes + textFactor*(len(name)+len(value))
		}
	}
	return int64(size)
}

// refuseForMemory refuses a request that has not run.
func refuseForMemory(w http.ResponseWriter) {
	header := w.Header()
	header.Set(mtoutcome.Header, string(mtoutcome.NotRun))
	header.Set(mtoutcome.ReasonHeader, mtrefusal.Busy)
	header.Set("Retry-After", memoryRetryAfter)
	header.Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}
