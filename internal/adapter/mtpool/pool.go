// net/http's own pool replays requests when a reused connection breaks, so a call could run twice unnoticed. This pool
// uses http.ClientConn, which sends each request once on one connection and reports every failure.
//
// A connection can stop passing data without an error when a device between its ends loses the connection's state. A
// call that must run at most once therefore uses a connection that carried a response within the last second, or a new
// one; other calls use any connection and are hedged on another. HTTP/2 connections are pinged. The number of
// connections to each endpoint is limited; at the limit, an idle connection without a recent response is closed in
// favour of a new one.

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
	dialTimeout = 2 * time.Second
	// pingIdleTimeout is how long an HTTP/2 connection receives no frame before it is pinged.
	pingIdleTimeout = time.Second
	pingTimeout     = time.Second
	// freshTimeout is how long after a complete response a connection counts as fresh.
	freshTimeout    = time.Second
	idleTimeout     = 30 * time.Second
	maxHeaderBytes  = 64 << 10
	defaultMaxConns = 16
)

var (
	namespace = errorx.NewNamespace("pool")
	// Exhausted is the error type for an endpoint whose connections are all in use.
	Exhausted = namespace.NewType("exhausted")
	// Unreachable is the error type for an endpoint to which no connection can be opened.
	Unreachable = namespace.NewType("unreachable")
)

// Target is an endpoint to connect to.
type Target struct {
	// Address is an IP address and a port.
	Address string
	// H2C is set when the endpoint speaks HTTP/2 without TLS.
	H2C bool
	// MaxConns bounds the connections to the endpoint; 0 stands for the default of 16.
	MaxConns int
	// RequireFresh is set when only a new connection, or one that carried a complete response within the last second,
	// may be used.
	RequireFresh bool
}

// Pool is a pool of connections by endpoint address. It is safe for concurrent use.
type Pool struct {
	http1     *http.Transport
	h2c       *http.Transport
	mu        sync.Mutex
	byAddress map[string]*endpointConns
}

// endpointConns is the state of the connections to one endpoint.
type endpointConns struct {
	// open counts the connections, including those that are being dialled.
	open int
	// available lists the idle HTTP/1.1 connections, oldest release first, and all HTTP/2 connections.
	available []*Conn
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialFrom returns a DialFunc that connects by TCP from a local IP address.
func DialFrom(local net.IP) DialFunc {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		LocalAddr: &net.TCPAddr{
			IP: local,
		},
	}
	return dialer.DialContext
}

// NewPool returns a pool that opens its connections with dial.
func NewPool(dial DialFunc) *Pool {
	return &Pool{
		http1:     newTransport(monitorReads(dial), false),
		h2c:       newTransport(dial, true),
		byAddress: map[string]*endpointConns{},
	}
}

func newTransport(dial DialFunc, h2c bool) *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(!h2c)
	protocols.SetUnencryptedHTTP2(h2c)
	return &http.Transport{
		DialContext:            dial,
		Protocols:              protocols,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingIdleTimeout,
			PingTimeout:     pingTimeout,
		},
	}
}

// Get returns a connection for one call. It fails with Exhausted or Unreachable.
func (p *Pool) Get(ctx context.Context, target Target, now time.Time) (*Conn, error) {
	if target.MaxConns <= 0 {
		target.MaxConns = defaultMaxConns
	}
	for {
		conn, err := p.reuseOrReserve(target, now)
		if err != nil {
			return nil, err
		}
		if conn == nil {
			return p.dial(ctx, target)
		}
		if conn.waitIdle() {
			return conn, nil
		}
		conn.Release(false, now)
	}
}

// reuseOrReserve returns an available connection, or nil after it has counted a new one against the limit.
func (p *Pool) reuseOrReserve(target Target, now time.Time) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.connsFor(target.Address)
	for i := len(conns.available) - 1; i >= 0; i-- {
		conn := conns.available[i]
		if target.RequireFresh && now.Sub(conn.lastResponseAt) > freshTimeout {
			if conn.multiplexed {
				continue
			}
			// HTTP/1.1 connections are in the order of their last responses, so the remaining ones are older still.
			break
		}
		if conn.client.Reserve() != nil {
			continue
		}
		conn.acquire(conns, i)
		return conn, nil
	}
	if conns.open >= target.MaxConns && len(conns.available) > 0 {
		p.discard(conns, conns.available[0])
	}
	if conns.open >= target.MaxConns {
		return nil, Exhausted.New("%d connections to %s are in use", conns.open, target.Address)
	}
	conns.open++
	return nil, nil
}

// connsFor returns the connections to an address, and adds an empty entry when there is none. The caller holds the
// mutex.
func (p *Pool) connsFor(address string) *endpointConns {
	if p.byAddress[address] == nil {
		p.byAddress[address] = &endpointConns{}
	}
	return p.byAddress[address]
}

// dial opens the connection that reuseOrReserve has counted, for a first call.
func (p *Pool) dial(ctx context.Context, target Target) (*Conn, error) {
	transport := p.http1
	if target.H2C {
		transport = p.h2c
	}
	var monitor *readMonitor
	client, err := transport.NewClientConn(context.WithValue(ctx, readMonitorKey{}, &monitor), "http", target.Address)
	if err == nil {
		err = client.Reserve()
	}
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.connsFor(target.Address).open--
		return nil, Unreachable.Wrap(err, "cannot connect to %s", target.Address)
	}
	conn := &Conn{
		pool:        p,
		address:     target.Address,
		client:      client,
		monitor:     monitor,
		multiplexed: target.H2C,
		activeCalls: 1,
	}
	if conn.multiplexed {
		p.addMultiplexed(conn)
	}
	return conn, nil
}

// addMultiplexed lets further calls use an HTTP/2 connection while the first call is in flight.
func (p *Pool) addMultiplexed(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.connsFor(conn.address)
	conns.available = append(conns.available, conn)
}

// discard removes a connection from the pool, and closes it unless a call uses it. The caller holds the mutex.
func (p *Pool) discard(conns *endpointConns, conn *Conn) {
	for i, available := range conns.available {
		if available == conn {
			conns.available = append(conns.available[:i], conns.available[i+1:]...)
			break
		}
	}
	if !conn.closed {
		conn.closed = true
		conns.open--
	}
	if conn.activeCalls == 0 {
		go conn.client.Close()
	}
}

// CloseIdle closes the connections that are broken, and those without a call and without a response for 30 s.
func (p *Pool) CloseIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.byAddress {
		for i := len(conns.available) - 1; i >= 0; i-- {
			conn := conns.available[i]
			if conn.client.Err() != nil || conn.activeCalls == 0 && now.Sub(conn.lastResponseAt) > idleTimeout {
				p.discard(conns, conn)
			}
		}
		if conns.open == 0 {
			delete(p.byAddress, address)
		}
	}
}

// OpenConns returns the number of connections to an address.
func (p *Pool) OpenConns(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connsFor(address).open
}
