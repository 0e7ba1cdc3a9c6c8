// One goroutine reads the requests of a connection, and one goroutine per request handles it and writes its response
// after those of the earlier requests. Reading continues while requests are handled, so a disconnect of the caller is
// noticed at once.
//
// A request that was taken is answered before the connection ends: the server closes it only behind the response to the
// last request that was taken, and takes none after it has decided so.

package mtingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtmemory"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

const (
	// maxPipelinedRequests bounds the requests of a connection that are handled at the same time.
	maxPipelinedRequests = 16
	// slotPollInterval is the time between two checks whether a caller with maxPipelinedRequests requests has left.
	slotPollInterval = 100 * time.Millisecond
	// minHeaderLimitBytes is the header size that is accepted under any configuration.
	minHeaderLimitBytes = 8 << 10
	readBufferSize      = 4 << 10
)

// reasonLeaving is the refusal reason of a request that is not complete when the server must stop reading.
const reasonLeaving = "leaving"

var errHeaderTooLarge = errors.New("header too large")

type connection struct {
	server *Server
	conn   net.Conn
	source *limitedReader
	reader *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	// holder is the memory of the requests of this connection.
	holder *mtmemory.Holder
	// pipelineSlots is a semaphore of maxPipelinedRequests slots.
	pipelineSlots chan struct{}
	// replies counts the goroutines that handle requests.
	replies sync.WaitGroup
	// lastDone is closed once the response to the last request that was taken, and to all before it, is written. Only run
	// uses it and interim, which is nil unless the request being read has been told to continue.
	lastDone <-chan struct{}
	interim  *interimResponse

	// mu guards the fields below and the setting of the read deadline; it is a leaf.
	mu sync.Mutex
	// unanswered counts the requests that were taken and are not answered.
	unanswered int
	// reading is set from the first byte of a request until it is taken; readBy is when it must be complete.
	reading bool
	readBy  time.Time
	// streamDone is closed at the end of the response that is being streamed, and nil if none is.
	streamDone chan struct{}
	// closing is set before a response with "Connection: close" is written.
	closing bool
	// drained is set once no further request is read, except for one that has begun to arrive.
	drained bool
	// evicted is set once the request that is being read is refused because memory is short.
	evicted bool
}

// limitedReader limits the bytes read for a header; remaining is negative while no limit applies.
type limitedReader struct {
	conn      net.Conn
	remaining int
	// err is the last error of the connection. The parser of a header may replace it by one of its own.
	err error
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	if l.remaining > 0 && len(p) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.conn.Read(p)
	l.err = err
	if l.remaining > 0 {
		l.remaining -= n
	}
	return n, err
}

func newConnection(server *Server, conn net.Conn) *connection {
	ctx, cancel := context.WithCancel(context.Background())
	source := &limitedReader{
		conn:      conn,
		remaining: -1,
	}
	return &connection{
		server:        server,
		conn:          conn,
		source:        source,
		reader:        bufio.NewReaderSize(source, readBufferSize),
		ctx:           ctx,
		cancel:        cancel,
		pipelineSlots: make(chan struct{}, maxPipelinedRequests),
	}
}

// close closes a connection whose run is never called.
func (c *connection) close() {
	c.cancel()
	_ = c.conn.Close()
}

// run serves the connection until the caller or the server closes it.
func (c *connection) run() {
	defer c.conn.Close()
	defer c.cancel()
	done := make(chan struct{})
	close(done)
	c.lastDone = done
	isRefused, isLast, hasLeft := false, false, false
	for !isRefused && !isLast {
		call, refusal := c.readRequest()
		c.endInterim()
		if call != nil {
			if refusal = checkHeader(call.Request); refusal != nil {
				call = nil
			}
		}
		if call == nil && refusal == nil || !c.take() {
			break
		}
		if hasLeft = !c.acquireSlot(); hasLeft {
			break
		}
		c.server.unansweredCount.Add(1)
		prior, done := c.lastDone, make(chan struct{})
		c.replies.Go(func() {
			c.reply(call, refusal, prior, done)
		})
		c.lastDone = done
		isRefused = refusal != nil
		// A caller that sends "Connection: close" sends no request after it.
		isLast = call != nil && call.Request.Close
	}
	if hasLeft || !isRefused && !c.awaitLastResponse() {
		// A caller that has disconnected can't read responses, so its requests are cancelled.
		c.cancel()
	}
	c.replies.Wait()
	c.linger()
}

// acquireSlot waits until fewer than maxPipelinedRequests requests are handled. Nothing is read meanwhile, so it asks the
// socket whether the caller has left; it reports false if so, or if the connection has ended.
func (c *connection) acquireSlot() bool {
	select {
	case c.pipelineSlots <- struct{}{}:
		return true
	default:
	}
	ticker := time.NewTicker(slotPollInterval)
	defer ticker.Stop()
	for {
		select {
		case c.pipelineSlots <- struct{}{}:
			return true
		case <-c.ctx.Done():
			return false
		case <-ticker.C:
			if hasPeerClosed(c.conn) {
				return false
			}
		}
	}
}

// waitForRequest blocks until the first byte of a request is available and reports whether there is one to read.
func (c *connection) waitForRequest(limits Limits) bool {
	for {
		if !c.setIdleDeadline(limits.Idle) {
			return false
		}
		if _, err := c.reader.Peek(1); err == nil {
			return true
		} else if !errors.Is(err, os.ErrDeadlineExceeded) || !c.hasUnanswered() {
			return false
		}
	}
}

// setIdleDeadline sets the read deadline of a connection on which no request arrives. It reports whether further requests
// may be read.
func (c *connection) setIdleDeadline(idle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.drained {
		return false
	}
	deadline := time.Time{}
	if c.unanswered == 0 && idle > 0 {
		deadline = time.Now().Add(idle)
	}
	_ = c.conn.SetReadDeadline(deadline)
	return true
}

func (c *connection) hasUnanswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered > 0
}

// beginReading marks that a request has begun to arrive, and sets the deadline for it. It reports whether it may be read.
func (c *connection) beginReading(now time.Time, limits Limits) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.drained {
		return false
	}
	c.reading = true
	c.readBy = now.Add(limits.HeaderTime)
	_ = c.conn.SetReadDeadline(c.readBy)
	return true
}

// take counts the request that was read, or its refusal, as unanswered. It reports false if the last response is on its
// way, so that the request must not be handled.
func (c *connection) take() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.closing {
		return false
	}
	c.unanswered++
	if !c.drained {
		_ = c.conn.SetReadDeadline(time.Time{})
	}
	return true
}

// drain makes the connection take no further request. One that has begun to arrive is read if it is complete by readUntil.
func (c *connection) drain(readUntil time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drained = true
	switch {
	case c.closing:
	case !c.reading:
		_ = c.conn.SetReadDeadline(time.Now())
	case readUntil.Before(c.readBy):
		c.readBy = readUntil
		_ = c.conn.SetReadDeadline(readUntil)
	}
}

// awaitLastResponse discards what the caller still sends until no response is outstanding. It reports false as soon as the
// caller has disconnected.
func (c *connection) awaitLastResponse() bool {
	for {
		c.mu.Lock()
		isDone := c.closing || c.unanswered == 0
		if !isDone {
			_ = c.conn.SetReadDeadline(time.Time{})
		}
		c.mu.Unlock()
		if isDone {
			return true
		}
		if _, err := io.Copy(io.Discard, c.reader); !errors.Is(err, os.ErrDeadlineExceeded) {
			return c.isClosing()
		}
	}
}

func (c *connection) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// readErrorResponse returns the response to a request that can't be read, or nil if the connection has failed.
func (c *connection) readErrorResponse(err error) *Response {
	if !errors.Is(c.source.err, os.ErrDeadlineExceeded) {
		return c.headerErrorResponse(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return memoryRefusal()
	}
	if c.drained {
		return withConnectionClose(NewResponse(http.StatusServiceUnavailable, http.Header{
			mtoutcome.ReasonHeader: {reasonLeaving},
		}, nil))
	}
	return withConnectionClose(NewResponse(http.StatusRequestTimeout, http.Header{}, nil))
}

// headerErrorResponse returns the response to a request whose header can't be read, or nil if the connection has
// failed.
func (c *connection) headerErrorResponse(err error) *Response {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case c.source.err != nil:
		return nil
	}
	return withConnectionClose(NewResponse(status, http.Header{}, []byte(err.Error()+"\n")))
}

func withConnectionClose(response *Response) *Response {
	response.Header.Set("Connection", "close")
	return response
}

// reply handles a call, or takes the given reply if call is nil, and writes the reply once prior is closed. It closes
// done once the complete reply is written; otherwise it ends the connection.
func (c *connection) reply(call *Call, reply *Response, prior <-chan struct{}, done chan struct{}) {
	complete := false
	defer func() {
		c.server.unansweredCount.Add(-1)
		if call != nil {
			c.server.memory.release(c.holder, call.grant)
		}
		c.endRequest()
		// The next response decides by the count whether it is the last one.
		if complete {
			close(done)
		}
		<-c.pipelineSlots
	}()
	if call != nil && c.awaitStream() {
		call.PriorDone = prior
		reply = c.server.handler.Handle(c.ctx, call)
	}
	select {
	case <-prior:
		if reply != nil && c.ctx.Err() == nil {
			complete = c.write(call, reply)
		}
	case <-c.ctx.Done():
	}
	if reply != nil && reply.OnWritten != nil {
		reply.OnWritten(complete)
	}
	if !complete {
		c.cancel()
		_ = c.conn.Close()
	}
}

// endRequest counts a request as answered. The last one ends the wait for further input, unless another request arrives.
func (c *connection) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered--
	switch idle := c.server.limits().Idle; {
	case c.unanswered > 0 || c.reading || c.closing:
	case c.drained:
		_ = c.conn.SetReadDeadline(time.Now())
	case idle > 0:
		_ = c.conn.SetReadDeadline(time.Now().Add(idle))
	}
}

// decideClose decides whether the response to a call, or to a request that could not be read, is the last one.
func (c *connection) decideClose(call *Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = call == nil || call.Request.Close ||
		(c.drained || c.server.keepAliveDisabled.Load()) && c.unanswered == 1 && !c.reading
	return c.closing
}

// write reports whether the complete response was written. After the last response it half-closes the connection.
func (c *connection) write(call *Call, response *Response) bool {
	method := http.MethodGet
	if call != nil {
		method = call.Request.Method
	}
	defer c.prepareStream(method, response)()
	closeAfter := c.decideClose(call)
	if closeAfter {
		response.Header.Set("Connection", "close")
	}
	if !writeResponse(c.conn, method, response) {
		return false
	}
	if closeAfter {
		if writeCloser, ok := c.conn.(interface{ CloseWrite() error }); ok {
			_ = writeCloser.CloseWrite()
		}
		c.mu.Lock()
		// The reader goes on in linger.
		_ = c.conn.SetReadDeadline(time.Now())
		c.mu.Unlock()
	}
	return true
}
