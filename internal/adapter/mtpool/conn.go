package mtpool

import (
	"net/http"
	"time"

	"github.com/mangotack/mangotack/internal/adapter/mtresponseguard"
)

// Conn is a connection that a call uses until Release or ReleaseUnused.
type Conn struct {
	pool    *Pool
	address string
	client  *http.ClientConn
	// monitor is nil for HTTP/2, where stream identifiers match responses to requests.
	monitor *readMonitor
	// multiplexed is set for HTTP/2: several calls use the connection at the same time.
	multiplexed bool

	// The fields below are guarded by the pool's mutex.
	activeCalls int
	closed      bool
	// lastResponseAt is when the connection last carried a complete response.
	lastResponseAt time.Time
}

// acquire counts one more call, and removes an HTTP/1.1 connection from the available ones. The caller holds the pool's
// mutex.
func (c *Conn) acquire(conns *endpointConns, index int) {
	c.activeCalls++
	if !c.multiplexed {
		conns.available = append(conns.available[:index], conns.available[index+1:]...)
	}
}

// waitIdle waits until the previous response has been read to its end, and reports whether the connection is still
// open.
func (c *Conn) waitIdle() bool {
	return c.monitor == nil || c.monitor.waitIdle()
}

// RoundTrip sends a request once, without replays.
func (c *Conn) RoundTrip(request *http.Request) (*http.Response, error) {
	if c.monitor != nil {
		request = mtresponseguard.WithTrace(request, c.monitor.guard)
	}
	return c.client.RoundTrip(request)
}

// ReleaseUnused returns to the pool a connection on which RoundTrip was not called.
func (c *Conn) ReleaseUnused() {
	c.client.Release()
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.activeCalls--
	if c.closed {
		c.closeIfUnused()
	} else if !c.multiplexed {
		conns := c.pool.connsFor(c.address)
		conns.available = append(conns.available, c)
	}
}

// Release returns the connection to the pool; complete is set when it carried a complete response at now.
func (c *Conn) Release(complete bool, now time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	conns := c.pool.connsFor(c.address)
	c.activeCalls--
	if complete {
		c.lastResponseAt = now
	}
	switch {
	case c.closed:
		c.closeIfUnused()
	case !complete && !c.multiplexed || c.client.Err() != nil:
		c.pool.discard(conns, c)
	case !c.multiplexed:
		conns.available = append(conns.available, c)
	}
}

// closeIfUnused closes the connection unless a call uses it. The caller holds the pool's mutex.
func (c *Conn) closeIfUnused() {
	if c.activeCalls == 0 {
		go c.client.Close()
	}
}
