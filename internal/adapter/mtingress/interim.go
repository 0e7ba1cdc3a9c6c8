package mtingress

import (
	"io"
	"sync"
)

// interimResponse is the "100 Continue" of the request that is being read.
type interimResponse struct {
	// mu guards ended and the writing; it is a leaf.
	mu sync.Mutex
	// ended is set once the request has been read, or can't be: its final response may be written from then on.
	ended bool
}

// writeContinue writes "100 Continue" for the request that is being read, once the responses to all earlier requests of
// the connection are written. While one is due it returns at once: the caller may send the body without waiting. It
// reports whether the connection may be read further.
func (c *connection) writeContinue() bool {
	interim := &interimResponse{}
	c.interim = interim
	select {
	case <-c.lastDone:
		return c.writeInterim(interim)
	default:
	}
	priorDone := c.lastDone
	go func() {
		select {
		case <-priorDone:
			c.writeInterim(interim)
		case <-c.ctx.Done():
		}
	}()
	return true
}

// writeInterim writes "100 Continue" unless the request has ended, and reports whether that succeeded.
func (c *connection) writeInterim(interim *interimResponse) bool {
	interim.mu.Lock()
	defer interim.mu.Unlock()
	if interim.ended || c.ctx.Err() != nil {
		return true
	}
	_, err := io.WriteString(&stallLimitedWriter{conn: c.conn}, "HTTP/1.1 100 Continue\r\n\r\n")
	return err == nil
}

// endInterim waits until no "100 Continue" is being written, and lets none follow for the request that was read.
func (c *connection) endInterim() {
	if c.interim == nil {
		return
	}
	c.interim.mu.Lock()
	defer c.interim.mu.Unlock()
	c.interim.ended = true
	c.interim = nil
}
