// One goroutine reads the requests of a connection, and one goroutine per request handles it and writes its response
// after those of the earlier requests. Reading continues while requests are handled, so a disconnect of the caller is
// noticed at once.

package mtingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

const (
	// maxPipelinedRequests bounds the requests of a connection that are handled at the same time.
	maxPipelinedRequests = 16
	// writeTimeout bounds the writing of one response to a caller that does not read.
	writeTimeout = 10 * time.Second
	// lingerTimeout bounds how long input is read after the last response: closing earlier may reset the connection
	// before the caller has read the response.
	lingerTimeout = 300 * time.Millisecond
	// minHeaderLimitBytes is the header size that is accepted under any configuration.
	minHeaderLimitBytes = 8 << 10
	readBufferSize      = 4 << 10
)

var errHeaderTooLarge = errors.New("header too large")

type connection struct {
	server *Server
	conn   net.Conn
	source *limitedReader
	reader *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	// unansweredCount counts the requests that are read but not answered.
	unansweredCount atomic.Int64
	// closing is set once a response with "Connection: close" was written.
	closing atomic.Bool
	// pipelineSlots is a semaphore of maxPipelinedRequests slots.
	pipelineSlots chan struct{}
}

// limitedReader limits the bytes read for a header; remaining is negative while no limit applies.
type limitedReader struct {
	conn      net.Conn
	remaining int
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	if l.remaining > 0 && len(p) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.conn.Read(p)
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
	prior := make(chan struct{})
	close(prior)
	refused := false
	for !refused {
		call, refusal := c.readRequest()
		if call == nil && refusal == nil {
			break
		}
		c.pipelineSlots <- struct{}{}
		c.unansweredCount.Add(1)
		c.server.unansweredCount.Add(1)
		done := make(chan struct{})
		go c.reply(call, refusal, prior, done)
		prior = done
		refused = refusal != nil
	}
	// A caller that has disconnected can't read responses, so its requests are cancelled.
	if !refused && !c.closing.Load() {
		c.cancel()
	}
	<-prior
	if c.closing.Load() {
		c.linger()
	}
}

// readRequest returns the next request, or the response to an invalid one, or neither at the end of the connection.
func (c *connection) readRequest() (*Call, *Response) {
	limits := c.server.limits().withDefaults()
	if !c.waitForRequest(limits) {
		return nil, nil
	}
	arrived := time.Now()
	c.source.remaining = max(minHeaderLimitBytes, limits.Header) + readBufferSize
	if limits.HeaderTime > 0 {
		_ = c.conn.SetReadDeadline(arrived.Add(limits.HeaderTime))
	}
	request, err := http.ReadRequest(c.reader)
	c.source.remaining = -1
	if err != nil {
		return nil, c.headerErrorResponse(err)
	}
	if request.Header.Get("Expect") == "100-continue" {
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil
		}
	}
	body, refused, err := c.readBody(request, limits)
	if err != nil {
		return nil, nil
	}
	if refused != nil {
		return nil, refused
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	return &Call{
		Request:   request,
		Body:      body,
		ArrivedAt: arrived,
	}, nil
}

// waitForRequest blocks until the first byte of a request is available and reports whether there is one.
func (c *connection) waitForRequest(limits Limits) bool {
	for {
		if c.unansweredCount.Load() == 0 && limits.Idle > 0 {
			_ = c.conn.SetReadDeadline(time.Now().Add(limits.Idle))
		}
		_, err := c.reader.Peek(1)
		switch {
		case c.closing.Load():
			return false
		case err == nil:
			return true
		case errors.Is(err, os.ErrDeadlineExceeded) && c.unansweredCount.Load() > 0:
			_ = c.conn.SetReadDeadline(time.Time{})
		default:
			return false
		}
	}
}

// headerErrorResponse returns the response to a request whose header can't be read, or nil if the connection has
// failed.
func (c *connection) headerErrorResponse(err error) *Response {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNetworkError(err):
		return nil
	}
	return withConnectionClose(NewResponse(status, http.Header{}, []byte(err.Error()+"\n")))
}

func isNetworkError(err error) bool {
	var networkErr net.Error
	return errors.As(err, &networkErr)
}

func withConnectionClose(response *Response) *Response {
	response.Header.Set("Connection", "close")
	return response
}

// readBody returns the complete body of a request, or the response to one that exceeds the limit.
func (c *connection) readBody(request *http.Request, limits Limits) ([]byte, *Response, error) {
	if request.Body == http.NoBody || request.ContentLength == 0 {
		return nil, nil, nil
	}
	if limits.Body > 0 && request.ContentLength > limits.Body {
		return nil, withConnectionClose(NewResponse(http.StatusRequestEntityTooLarge, http.Header{}, nil)), nil
	}
	source := io.Reader(request.Body)
	if limits.Body > 0 {
		source = io.LimitReader(source, limits.Body+1)
	}
	body, err := io.ReadAll(source)
	if err != nil {
		return nil, nil, err
	}
	if limits.Body > 0 && int64(len(body)) > limits.Body {
		return nil, withConnectionClose(NewResponse(http.StatusRequestEntityTooLarge, http.Header{}, nil)), nil
	}
	return body, nil, nil
}

// reply handles a call, or takes the given reply if call is nil, and writes the reply once prior is closed. It closes
// done at the end.
func (c *connection) reply(call *Call, reply *Response, prior <-chan struct{}, done chan struct{}) {
	defer func() {
		c.server.unansweredCount.Add(-1)
		if c.unansweredCount.Add(-1) == 0 {
			if idle := c.server.limits().Idle; idle > 0 {
				_ = c.conn.SetReadDeadline(time.Now().Add(idle))
			}
		}
		close(done)
		<-c.pipelineSlots
	}()
	if call != nil {
		call.PriorDone = prior
		reply = c.server.handler.Handle(c.ctx, call)
	}
	<-prior
	complete := false
	if reply != nil && c.ctx.Err() == nil && !c.closing.Load() {
		complete = c.write(call, reply)
	}
	if reply != nil && reply.OnWritten != nil {
		reply.OnWritten(complete)
	}
	if !complete {
		c.cancel()
		_ = c.conn.Close()
	}
}

// write reports whether the complete response was written. After the last response it half-closes the connection.
func (c *connection) write(call *Call, response *Response) bool {
	closeAfter := c.server.keepAliveDisabled.Load() || call == nil || call.Request.Close ||
		response.Header.Get("Connection") == "close"
	if closeAfter {
		response.Header.Set("Connection", "close")
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	method := http.MethodGet
	if call != nil {
		method = call.Request.Method
	}
	if !writeResponse(c.conn, method, response) {
		return false
	}
	if closeAfter {
		c.closing.Store(true)
		if writeCloser, ok := c.conn.(interface{ CloseWrite() error }); ok {
			_ = writeCloser.CloseWrite()
		}
		_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
	return true
}

// linger discards what the caller still sends, because closing a socket with unread input resets the connection.
func (c *connection) linger() {
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	c.source.remaining = -1
	_, _ = io.Copy(io.Discard, c.reader)
}

// closeIdle makes run end unless a request has been read and is not answered yet.
func (c *connection) closeIdle() {
	if c.unansweredCount.Load() == 0 {
		_ = c.conn.SetReadDeadline(time.Now())
	}
}
