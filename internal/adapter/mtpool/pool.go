// net/http's own pool replays requests when a reused connection breaks, so a call could run twice unseen. This pool uses
// http.ClientConn, which sends each request once on one connection and reports every failure.
//
// A connection can go silent without a word when something between the ends has forgotten it. A call that must run at
// most once therefore takes a connection that carried an answer within the last second, or a new one; other calls take any
// and are hedged on another connection. HTTP/2 connections are pinged. Each endpoint has a cap of connections; at the
// cap an unproven idle connection makes room for a new one.

package mtpool

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

const (
	dialTimeout  = 2 * time.Second
	pingAfter    = time.Second
	pingTimeout  = time.Second
	proofLife    = time.Second
	idleLife     = 30 * time.Second
	headerLimit  = 64 << 10
	defaultLimit = 16
)

var (
	namespace = errorx.NewNamespace("pool")
	// Exhausted is the type of the error for an endpoint whose connections are all in use.
	Exhausted = namespace.NewType("exhausted")
	// Unreachable is the type of the error for an endpoint that takes no connection.
	Unreachable = namespace.NewType("unreachable")
)

// Target is an endpoint to connect to.
type Target struct {
	// Address is an IP number and a port.
	Address string
	// H2C is set when the endpoint speaks HTTP/2 without TLS.
	H2C bool
	// Limit bounds the connections to the endpoint.
	Limit int
	// Proven is set when only a connection that lately carried an answer, or a new one, will do.
	Proven bool
}

// Pool holds connections by address; it is safe for use by many goroutines.
type Pool struct {
	http1 *http.Transport
	h2c   *http.Transport
	mu    sync.Mutex
	sets  map[string]*set
}

type set struct {
	open int
	idle []*Conn
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// DialFrom returns a dial that connects by TCP from a local IP number.
func DialFrom(local net.IP) Dial {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		LocalAddr: &net.TCPAddr{
			IP: local,
		},
	}
	return dialer.DialContext
}

// NewPool returns a pool that opens its connections with a dial.
func NewPool(dial Dial) *Pool {
	return &Pool{
		http1: newTransport(watched(dial), false),
		h2c:   newTransport(dial, true),
		sets:  map[string]*set{},
	}
}

func newTransport(dial Dial, h2c bool) *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(!h2c)
	protocols.SetUnencryptedHTTP2(h2c)
	return &http.Transport{
		DialContext:            dial,
		Protocols:              protocols,
		DisableCompression:     true,
		MaxResponseHeaderBytes: headerLimit,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfter,
			PingTimeout:     pingTimeout,
		},
	}
}

// Get returns a connection for one call.
func (p *Pool) Get(ctx context.Context, target Target, now time.Time) (*Conn, error) {
	if target.Limit <= 0 {
		target.Limit = defaultLimit
	}
	for {
		conn, err := p.reuse(target, now)
		if err != nil {
			return nil, err
		}
		if conn == nil {
			return p.dial(ctx, target)
		}
		if conn.isQuiet() {
			return conn, nil
		}
		conn.Release(false, now)
	}
}

// reuse returns an idle connection, or nil after it has counted a new one against the cap.
func (p *Pool) reuse(target Target, now time.Time) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.set(target.Address)
	for i := len(found.idle) - 1; i >= 0; i-- {
		conn := found.idle[i]
		if target.Proven && now.Sub(conn.proven) > proofLife {
			if conn.shared {
				continue
			}
			// Idle HTTP/1.1 connections stand in the order of their proofs, so the rest is older still.
			break
		}
		if conn.client.Reserve() != nil {
			continue
		}
		conn.take(found, i)
		return conn, nil
	}
	if found.open >= target.Limit && len(found.idle) > 0 {
		p.drop(found, found.idle[0])
	}
	if found.open >= target.Limit {
		return nil, Exhausted.New("%d connections to %s are in use", found.open, target.Address)
	}
	found.open++
	return nil, nil
}

func (p *Pool) set(address string) *set {
	if p.sets[address] == nil {
		p.sets[address] = &set{}
	}
	return p.sets[address]
}

func (p *Pool) dial(ctx context.Context, target Target) (*Conn, error) {
	transport := p.http1
	if target.H2C {
		transport = p.h2c
	}
	var reading *reader
	client, err := transport.NewClientConn(context.WithValue(ctx, readerKey{}, &reading), "http", target.Address)
	if err == nil {
		err = client.Reserve()
	}
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.set(target.Address).open--
		return nil, Unreachable.Wrap(err, "no connection to %s", target.Address)
	}
	conn := &Conn{
		pool:    p,
		address: target.Address,
		client:  client,
		reading: reading,
		shared:  target.H2C,
		users:   1,
	}
	if conn.shared {
		p.share(conn)
	}
	return conn, nil
}

// share lets further calls use an HTTP/2 connection while the first is in flight.
func (p *Pool) share(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.set(conn.address)
	found.idle = append(found.idle, conn)
}

// drop closes an idle connection; the mutex is held.
func (p *Pool) drop(found *set, conn *Conn) {
	for i, idle := range found.idle {
		if idle == conn {
			found.idle = append(found.idle[:i], found.idle[i+1:]...)
			break
		}
	}
	if !conn.closed {
		conn.closed = true
		found.open--
	}
	if conn.users == 0 {
		go conn.client.Close()
	}
}

// Sweep closes connections that are broken or were idle for long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, found := range p.sets {
		for i := len(found.idle) - 1; i >= 0; i-- {
			conn := found.idle[i]
			if conn.client.Err() != nil || conn.users == 0 && now.Sub(conn.proven) > idleLife {
				p.drop(found, conn)
			}
		}
		if found.open == 0 {
			delete(p.sets, address)
		}
	}
}

// Open returns the number of connections to an address.
func (p *Pool) Open(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.set(address).open
}
