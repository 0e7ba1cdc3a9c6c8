// One goroutine reads the requests of a connection, and each request has a goroutine that waits for its turn to write.
// The reader goes on while requests are being answered, so it sees at once when the caller leaves.

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
	// pipelineLimit is the most requests of one connection at once.
	pipelineLimit = 16
	// writeTimeout bounds the writing of one answer to a caller that does not read.
	writeTimeout = 10 * time.Second
	// lingerTime is how long the caller's side is read after the last answer, so that the answer is not lost to a reset.
	lingerTime = 300 * time.Millisecond
	// headerLeast is the size of a header, in bytes, that is read under any configuration.
	headerLeast = 8 << 10
	readBuffer  = 4 << 10
)

var errHeaderTooLarge = errors.New("header too large")

type connection struct {
	server *Server
	conn   net.Conn
	source *limitedReader
	reader *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	// outstanding counts the requests read and not answered.
	outstanding atomic.Int64
	// last is set when an answer has closed the connection for further requests.
	last atomic.Bool
	// busy bounds the pipeline.
	busy chan struct{}
}

// limitedReader bounds the bytes of a header; left is negative while there is no bound.
type limitedReader struct {
	conn net.Conn
	left int
}

func (l *limitedReader) Read(to []byte) (int, error) {
	if l.left == 0 {
		return 0, errHeaderTooLarge
	}
	if l.left > 0 && len(to) > l.left {
		to = to[:l.left]
	}
	n, err := l.conn.Read(to)
	if l.left > 0 {
		l.left -= n
	}
	return n, err
}

func newConnection(server *Server, conn net.Conn) *connection {
	ctx, cancel := context.WithCancel(context.Background())
	source := &limitedReader{
		conn: conn,
		left: -1,
	}
	return &connection{
		server: server,
		conn:   conn,
		source: source,
		reader: bufio.NewReaderSize(source, readBuffer),
		ctx:    ctx,
		cancel: cancel,
		busy:   make(chan struct{}, pipelineLimit),
	}
}

// abandon closes a connection that is not served.
func (c *connection) abandon() {
	c.cancel()
	_ = c.conn.Close()
}

// run serves the connection until it ends.
func (c *connection) run() {
	defer c.conn.Close()
	defer c.cancel()
	prior := make(chan struct{})
	close(prior)
	refused := false
	for !refused {
		call, refusal := c.read()
		if call == nil && refusal == nil {
			break
		}
		c.busy <- struct{}{}
		c.outstanding.Add(1)
		c.server.open.Add(1)
		done := make(chan struct{})
		go c.answer(call, refusal, prior, done)
		prior = done
		refused = refusal != nil
	}
	// A caller that has left gets no answers, so its requests are cancelled.
	if !refused && !c.last.Load() {
		c.cancel()
	}
	<-prior
	if c.last.Load() {
		c.linger()
	}
}

// read returns the next request, or the answer to one that can't be read, or neither at the end of the connection.
func (c *connection) read() (*Call, *Answer) {
	limits := c.server.limits().bounded()
	if !c.await(limits) {
		return nil, nil
	}
	arrived := time.Now()
	c.source.left = max(headerLeast, limits.Header) + readBuffer
	if limits.HeaderTime > 0 {
		_ = c.conn.SetReadDeadline(arrived.Add(limits.HeaderTime))
	}
	request, err := http.ReadRequest(c.reader)
	c.source.left = -1
	if err != nil {
		return nil, c.refuseHeader(err)
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
		Request: request,
		Body:    body,
		Arrived: arrived,
	}, nil
}

// await waits for the first byte of a request and reports whether there is one.
func (c *connection) await(limits Limits) bool {
	for {
		if c.outstanding.Load() == 0 && limits.Idle > 0 {
			_ = c.conn.SetReadDeadline(time.Now().Add(limits.Idle))
		}
		_, err := c.reader.Peek(1)
		switch {
		case c.last.Load():
			return false
		case err == nil:
			return true
		case errors.Is(err, os.ErrDeadlineExceeded) && c.outstanding.Load() > 0:
			_ = c.conn.SetReadDeadline(time.Time{})
		default:
			return false
		}
	}
}

func (c *connection) refuseHeader(err error) *Answer {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNetwork(err):
		return nil
	}
	return closing(NewAnswer(status, http.Header{}, []byte(err.Error()+"\n")))
}

func isNetwork(err error) bool {
	var network net.Error
	return errors.As(err, &network)
}

func closing(answer *Answer) *Answer {
	answer.Header.Set("Connection", "close")
	return answer
}

func (c *connection) readBody(request *http.Request, limits Limits) ([]byte, *Answer, error) {
	if request.Body == http.NoBody || request.ContentLength == 0 {
		return nil, nil, nil
	}
	if limits.Body > 0 && request.ContentLength > limits.Body {
		return nil, closing(NewAnswer(http.StatusRequestEntityTooLarge, http.Header{}, nil)), nil
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
		return nil, closing(NewAnswer(http.StatusRequestEntityTooLarge, http.Header{}, nil)), nil
	}
	return body, nil, nil
}

// answer handles one call and writes its answer after those of the calls before it.
func (c *connection) answer(call *Call, answer *Answer, prior <-chan struct{}, done chan struct{}) {
	defer func() {
		c.server.open.Add(-1)
		if c.outstanding.Add(-1) == 0 {
			if idle := c.server.limits().Idle; idle > 0 {
				_ = c.conn.SetReadDeadline(time.Now().Add(idle))
			}
		}
		close(done)
		<-c.busy
	}()
	if call != nil {
		call.Prior = prior
		answer = c.server.handler.Handle(c.ctx, call)
	}
	<-prior
	whole := false
	if answer != nil && c.ctx.Err() == nil && !c.last.Load() {
		whole = c.write(call, answer)
	}
	if answer != nil && answer.Written != nil {
		answer.Written(whole)
	}
	if !whole {
		c.cancel()
		_ = c.conn.Close()
	}
}

func (c *connection) write(call *Call, answer *Answer) bool {
	closes := c.server.leaving.Load() || call == nil || call.Request.Close || answer.Header.Get("Connection") == "close"
	if closes {
		answer.Header.Set("Connection", "close")
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	method := http.MethodGet
	if call != nil {
		method = call.Request.Method
	}
	if !writeAnswer(c.conn, method, answer) {
		return false
	}
	if closes {
		c.last.Store(true)
		if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
		_ = c.conn.SetReadDeadline(time.Now().Add(lingerTime))
	}
	return true
}

// linger reads what the caller still sends, because closing with unread bytes resets the connection.
func (c *connection) linger() {
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTime))
	c.source.left = -1
	_, _ = io.Copy(io.Discard, c.reader)
}

// closeIdle closes the connection unless a request has been read and is not answered.
func (c *connection) closeIdle() {
	if c.outstanding.Load() == 0 {
		_ = c.conn.SetReadDeadline(time.Now())
	}
}
