// A connection carries one request at a time. It is kept after a whole answer with nothing behind it, and it is used again
// only while it is surely younger than the endpoint's idle timeout. Before that its socket is looked at: a pending byte
// or an end means that the endpoint has closed it or has sent what nobody asked for.

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

	"github.com/mangotack/mangotack/internal/core/mtexchange"
)

const (
	// dialTimeout bounds the opening of a connection; an endpoint that can't be reached in it has not run the request.
	dialTimeout = 400 * time.Millisecond
	// idleDefault is how long a connection is kept when the endpoint does not state a timeout.
	idleDefault = 4 * time.Second
	// idleMargin is taken off the timeout that the endpoint states.
	idleMargin = 1500 * time.Millisecond
	// idleOnce bounds the idle time of a connection for a request that must not run twice: the endpoint may have forgotten
	// the connection, and a request lost that way can't be repeated.
	idleOnce = 2500 * time.Millisecond
	// idlePerEndpoint is the most connections kept for one endpoint.
	idlePerEndpoint = 12
)

// reader reads what answers state.
type reader interface {
	ReadAnswer(status int, header http.Header) mtexchange.Stated
}

// Pool keeps the connections to endpoints; it is safe for use by many goroutines.
type Pool struct {
	reader reader
	dialer net.Dialer
	kept   keptBytes

	mu    sync.Mutex
	idle  map[string][]*conn
	dials int64
}

// NewPool returns a pool whose connections come from a local IP number.
func NewPool(reader reader, local net.IP) *Pool {
	return &Pool{
		reader: reader,
		dialer: net.Dialer{
			Timeout:   dialTimeout,
			LocalAddr: &net.TCPAddr{IP: local},
			KeepAlive: -1,
		},
		idle: map[string][]*conn{},
	}
}

// take returns a connection to an address; fresh ones are opened when none is idle.
func (p *Pool) take(ctx context.Context, address string, idempotent bool, now time.Time) (*conn, error) {
	for {
		kept := p.pop(address, idempotent, now)
		if kept == nil {
			break
		}
		if kept.isQuiet() {
			return kept, nil
		}
		kept.close()
	}
	socket, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	return newConn(socket, address), nil
}

// pop takes the connection that was used last, if it is young enough.
func (p *Pool) pop(address string, idempotent bool, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	if now.After(last.expires) || !idempotent && now.Sub(last.used) > idleOnce {
		return nil
	}
	p.idle[address] = list[:len(list)-1]
	return last
}

// keep puts a connection back; the least recently used one makes room.
func (p *Pool) keep(c *conn, life time.Duration, now time.Time) {
	c.used = now
	c.expires = now.Add(life)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := append(p.idle[c.address], c)
	if len(list) > idlePerEndpoint {
		list[0].close()
		list = list[1:]
	}
	p.idle[c.address] = list
}

// keepUnused puts a connection back that has carried no request since it was taken.
func (p *Pool) keepUnused(c *conn) {
	now := time.Now()
	if c.expires.IsZero() {
		c.expires = now.Add(idleDefault)
	}
	p.keep(c, c.expires.Sub(now), now)
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		rest := list[:0]
		for _, kept := range list {
			if now.After(kept.expires) {
				kept.close()
			} else {
				rest = append(rest, kept)
			}
		}
		clear(list[len(rest):])
		if len(rest) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = rest
		}
	}
}

// Drop closes the idle connections to an address.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, kept := range p.idle[address] {
		kept.close()
	}
	delete(p.idle, address)
}

// HasIdle reports whether a connection to an address is kept.
func (p *Pool) HasIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) > 0
}

// Dials returns the number of connections opened so far.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// lifeOf returns how long a connection may be kept after an answer; zero means that it may not.
func lifeOf(response *http.Response) time.Duration {
	if response.Close {
		return 0
	}
	for field := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			timeout := time.Duration(seconds) * time.Second
			return max(timeout-idleMargin, timeout/2)
		}
	}
	return idleDefault
}

// isQuiet reports whether nothing, not even an end, has arrived on an idle connection.
func (c *conn) isQuiet() bool {
	source, ok := c.socket.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	// Control, unlike Read, does not mind a deadline of an earlier request.
	err = raw.Control(func(descriptor uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = n < 0 && err == syscall.EAGAIN
	})
	return err == nil && quiet
}
