// A response whose body is streamed may break off, and then the connection ends. The requests behind it on the connection
// can't be answered any more, so they should not have run. Two rules keep that rare: a request that arrives while a
// response is being streamed is handled only after it, and a response with requests behind it is read into memory, as
// far as the limits allow, before its first byte is written. If it breaks off there, it is replaced by a 502.

package mtingress

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

const (
	// maxReadAheadBytes bounds what is read into memory of the remainder of one response, and maxTotalReadAheadBytes of
	// all responses of a server. The latter is a twentieth of the memory of the smallest instance.
	maxReadAheadBytes      = 4 << 20
	maxTotalReadAheadBytes = 8 << 20
)

// reasonLost is the refusal reason of a request whose response has broken off.
const reasonLost = "lost"

// readAheadBudget limits the memory for responses that are read ahead; used is in bytes.
type readAheadBudget struct {
	used atomic.Int64
}

func (b *readAheadBudget) reserve(size int64) bool {
	if b.used.Add(size) > maxTotalReadAheadBytes {
		b.used.Add(-size)
		return false
	}
	return true
}

// ReplacedCount returns the number of responses that broke off before their first byte was written, and were replaced by
// a 502 so that the requests behind them could be answered.
func (s *Server) ReplacedCount() int64 {
	return s.replacedCount.Load()
}

// prepareStream makes a response with a remainder ready to be written: with requests behind it, it reads ahead. The
// returned function ends the stream.
func (c *connection) prepareStream(method string, response *Response) (end func()) {
	if response.Remainder == nil || method == http.MethodHead || !allowsBody(response.Status) {
		return func() {}
	}
	if !c.beginStream(false) && !c.readAhead(response) {
		c.beginStream(true)
	}
	return c.endStream
}

// beginStream makes further requests wait for the response. It reports false, and does nothing, if requests behind the
// response were taken before, unless it is forced.
func (c *connection) beginStream(isForced bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered > 1 && !isForced {
		return false
	}
	c.streamDone = make(chan struct{})
	return true
}

func (c *connection) endStream() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streamDone != nil {
		close(c.streamDone)
		c.streamDone = nil
	}
}

// awaitStream waits until no response is being streamed, and reports whether the connection is still open.
func (c *connection) awaitStream() bool {
	for c.ctx.Err() == nil {
		c.mu.Lock()
		done := c.streamDone
		c.mu.Unlock()
		if done == nil {
			return true
		}
		select {
		case <-done:
		case <-c.ctx.Done():
		}
	}
	return false
}

// readAhead reads the remainder of a response into memory, and reports whether that was all of it. A response that breaks
// off is replaced by a 502, which also counts as whole.
func (c *connection) readAhead(response *Response) bool {
	size := int64(maxReadAheadBytes)
	if response.BodyLength >= 0 {
		size = response.BodyLength - int64(len(response.Body))
	}
	if size > maxReadAheadBytes || !c.server.readAhead.reserve(size) {
		return false
	}
	source := response.Remainder
	buffer := &bytes.Buffer{}
	n, err := io.Copy(buffer, io.LimitReader(source, size+1))
	if err != nil {
		_ = source.Close()
		c.server.readAhead.used.Add(-size)
		c.server.replacedCount.Add(1)
		response.Status = http.StatusBadGateway
		response.Header = http.Header{
			mtoutcome.ReasonHeader: {reasonLost},
			"Content-Type":         {"text/plain"},
		}
		response.Body = []byte(reasonLost + "\n")
		response.BodyLength = int64(len(response.Body))
		response.Remainder = nil
		return true
	}
	response.Remainder = &readAheadBody{
		Reader: io.MultiReader(buffer, source),
		Closer: source,
		budget: &c.server.readAhead,
		size:   size,
	}
	return n <= size
}

// readAheadBody is a remainder of which the start, or all, is in memory.
type readAheadBody struct {
	io.Reader
	io.Closer
	budget *readAheadBudget
	size   int64
}

// Close implements io.Closer. It is called once.
func (b *readAheadBody) Close() error {
	b.budget.used.Add(-b.size)
	return b.Closer.Close()
}
