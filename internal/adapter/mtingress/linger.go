package mtingress

import (
	"errors"
	"io"
	"os"
	"time"
)

const (
	// lingerTimeout is how long a caller that has acknowledged the last response may stay silent before its connection is
	// closed without its end of stream. Input that arrives after the close resets the connection, and the caller
	// loses what it has not read.
	lingerTimeout = time.Second
	// maxLinger bounds the wait for a caller that sends without end or acknowledges nothing, unless the server stops:
	// then the end of the process bounds it.
	maxLinger          = 10 * time.Second
	lingerPollInterval = 50 * time.Millisecond
)

// linger discards what the caller still sends after the last response, until the caller closes the connection. Closing a
// socket with unread input resets the connection, and the caller then loses the part of the response that it has not
// read.
func (c *connection) linger() {
	if !c.isClosing() {
		return
	}
	c.source.remaining = -1
	progressAt := time.Now()
	lastUnacked := -1
	for {
		c.setLingerDeadline()
		n, err := io.Copy(io.Discard, c.reader)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		now := time.Now()
		unacked, isKnown := unacknowledgedBytes(c.conn)
		if unacked != lastUnacked || n > 0 && c.isDrained() {
			progressAt = now
			lastUnacked = unacked
		}
		quiet := now.Sub(progressAt)
		switch {
		case isKnown && unacked == 0 && quiet > lingerTimeout:
			return
		case c.isDrained():
		case quiet > maxLinger || !isKnown && quiet > lingerTimeout:
			return
		}
	}
}

func (c *connection) setLingerDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerPollInterval))
}

func (c *connection) isDrained() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.drained || c.server.keepAliveDisabled.Load()
}
