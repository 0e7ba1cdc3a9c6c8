package mtpool

import (
	"net/http"
	"time"
)

// Conn is a connection that one call holds until Release.
type Conn struct {
	pool    *Pool
	address string
	client  *http.ClientConn
	// reading is nil for HTTP/2, whose answers name their requests.
	reading *reader
	shared  bool

	// The fields below are guarded by the pool's mutex.
	users  int
	closed bool
	proven time.Time
}

// take removes an HTTP/1 connection from the idle ones and counts the user; the pool's mutex is held.
func (c *Conn) take(found *set, index int) {
	c.users++
	if !c.shared {
		found.idle = append(found.idle[:index], found.idle[index+1:]...)
	}
}

func (c *Conn) isQuiet() bool {
	return c.reading == nil || c.reading.isQuiet()
}

// RoundTrip sends one request, once.
func (c *Conn) RoundTrip(request *http.Request) (*http.Response, error) {
	return c.client.RoundTrip(request)
}

// Unused gives back a connection on which RoundTrip was not called.
func (c *Conn) Unused() {
	c.client.Release()
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.users--
	if c.closed {
		c.closeUnused()
	} else if !c.shared {
		found := c.pool.set(c.address)
		found.idle = append(found.idle, c)
	}
}

// Release gives the connection back; whole is set when it carried a whole answer at now.
func (c *Conn) Release(whole bool, now time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	found := c.pool.set(c.address)
	c.users--
	if whole {
		c.proven = now
	}
	switch {
	case c.closed:
		c.closeUnused()
	case !whole && !c.shared || c.client.Err() != nil:
		c.pool.drop(found, c)
	case !c.shared:
		found.idle = append(found.idle, c)
	}
}

func (c *Conn) closeUnused() {
	if c.users == 0 {
		go c.client.Close()
	}
}
