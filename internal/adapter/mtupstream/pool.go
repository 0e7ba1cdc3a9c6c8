// A connection carries one request at a time. It returns to the pool after a complete response with no bytes behind it,
// and is reused only while its idle time is safely below the endpoint's idle timeout. Before reuse its socket is peeked
// at: a pending byte or end of file means that the endpoint has closed it or has sent an unsolicited response.

package mtupstream

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtresponse"
)

const (
	// dialTimeout bounds the opening of a connection; an endpoint that is not reached in time has not run the request.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is the idle lifetime of a connection when the endpoint states no timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleTimeoutSeconds bounds the timeout that an endpoint states.
	maxIdleTimeoutSeconds = 3600
	// idleTimeoutMargin is subtracted from the timeout that the endpoint states.
	idleTimeoutMargin = 1500 * time.Millisecond
	// nonIdempotentIdleTimeout bounds the idle time of a connection for a request that must not run twice:
	// the endpoint may have dropped the connection, and a request lost that way can't be retried.
	nonIdempotentIdleTimeout = 2500 * time.Millisecond
	// maxIdlePerEndpoint bounds the idle connections to an endpoint.
	maxIdlePerEndpoint = 12
)

// responseReader extracts what an endpoint states in the headers of a response.
type responseReader interface {
	ParseResponseHeader(status int, header http.Header) mtresponse.Metadata
}

// Pool pools connections to endpoints; it is safe for concurrent use.
type Pool struct {
	reader     responseReader
	dialer     net.Dialer
	bodyBudget bufferBudget

	mu sync.Mutex
	// idle holds the idle connections by address, the most recently used one last.
	idle      map[string][]*conn
	dialCount int64
}

// NewPool returns a pool that dials from a local IP address; nil means any.
func NewPool(reader responseReader, localIP net.IP) *Pool {
	return &Pool{
		reader: reader,
		dialer: net.Dialer{
			Timeout:   dialTimeout,
			LocalAddr: &net.TCPAddr{IP: localIP},
			KeepAlive: -1,
		},
		idle: map[string][]*conn{},
	}
}

// acquire returns an idle connection to the address of a request, or dials a new one.
func (p *Pool) acquire(ctx context.Context, request Request, now time.Time) (*conn, error) {
	address := request.Address
	for !request.onNewConnection {
		pooled := p.popIdle(address, request.Idempotent, now)
		if pooled == nil {
			break
		}
		if pooled.hasNoPendingInput() && !(pooled.sawAnonymousRefusal && request.AttemptID != "") {
			return pooled, nil
		}
		pooled.close()
	}
	dialer := p.dialer
	if request.dialTimeout > 0 {
		dialer.Timeout = request.dialTimeout
	}
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dialCount++
	p.mu.Unlock()
	if request.OnConnected != nil {
		request.OnConnected()
	}
	return newConn(socket, address), nil
}

// Connect opens a connection to an address, which stays in the pool.
func (p *Pool) Connect(ctx context.Context, address string) error {
	c, err := p.acquire(ctx, Request{
		Address:         address,
		onNewConnection: true,
	}, time.Now())
	if err != nil {
		return err
	}
	p.putUnused(c)
	return nil
}

// popIdle removes and returns the most recently used idle connection to an address. It returns nil if there is none or
// it has been idle for too long.
func (p *Pool) popIdle(address string, idempotent bool, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	if now.After(last.expires) || !idempotent && now.Sub(last.lastUsed) > nonIdempotentIdleTimeout {
		return nil
	}
	p.idle[address] = list[:len(list)-1]
	return last
}

// putIdle returns a connection to the pool; a full list closes its least recently used one.
func (p *Pool) putIdle(c *conn, lifetime time.Duration, now time.Time) {
	c.lastUsed = now
	c.expires = now.Add(lifetime)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := append(p.idle[c.address], c)
	if len(list) > maxIdlePerEndpoint {
		list[0].close()
		list = list[1:]
	}
	p.idle[c.address] = list
}

// putUnused returns a connection to the pool that has carried no request since it was acquired.
func (p *Pool) putUnused(c *conn) {
	now := time.Now()
	if c.expires.IsZero() {
		c.expires = now.Add(defaultIdleTimeout)
	}
	p.putIdle(c, c.expires.Sub(now), now)
}

// CloseExpired closes the idle connections that have expired.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		remaining := list[:0]
		for _, pooled := range list {
			if now.After(pooled.expires) {
				pooled.close()
			} else {
				remaining = append(remaining, pooled)
			}
		}
		clear(list[len(remaining):])
		if len(remaining) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = remaining
		}
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pooled := range p.idle[address] {
		pooled.close()
	}
	delete(p.idle, address)
}

// HasIdleConnection reports whether the pool has an idle connection to an address.
func (p *Pool) HasIdleConnection(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) > 0
}

// DialCount returns the number of connections opened so far.
func (p *Pool) DialCount() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialCount
}

// idleLifetime returns how long a connection may stay idle after a response; zero means that it must be closed.
func idleLifetime(response *http.Response) time.Duration {
	if response.Close {
		return 0
	}
	for field := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			timeout := time.Duration(min(seconds, maxIdleTimeoutSeconds)) * time.Second
			return max(timeout-idleTimeoutMargin, timeout/2)
		}
	}
	return defaultIdleTimeout
}

// hasNoPendingInput reports whether neither a byte nor end of file has arrived on an idle connection.
func (c *conn) hasNoPendingInput() bool {
	source, ok := c.socket.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	// Control, unlike Read, ignores the expired deadline of an earlier request.
	err = raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		n, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = n < 0 && err == syscall.EAGAIN
	})
	return err == nil && empty
}
