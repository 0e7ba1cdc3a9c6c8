package mtupstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/mangotack/mangotack/internal/adapter/mtresponsehead"
	"github.com/mangotack/mangotack/internal/core/mtresponse"
)

const (
	// maxBufferedBodyBytes is the body size up to which a response is read completely before it is passed on, so that a
	// truncated one can be replaced.
	maxBufferedBodyBytes = 1 << 20
	// maxResponses bounds the responses read for one request; interim ones and skipped ones to earlier requests count.
	maxResponses   = 3
	readBufferSize = 4 << 10
	probeTimeout   = 150 * time.Millisecond
)

type conn struct {
	address  string
	socket   net.Conn
	source   *boundedReader
	reader   *bufio.Reader
	lastUsed time.Time
	expires  time.Time
	// sawAnonymousRefusal is set once a refusal without an attempt ID was received. Another one may be its duplicate, so
	// only probes use the connection again.
	sawAnonymousRefusal bool
}

func newConn(socket net.Conn, address string) *conn {
	source := &boundedReader{
		socket: socket,
	}
	return &conn{
		address: address,
		socket:  socket,
		source:  source,
		reader:  bufio.NewReaderSize(source, readBufferSize),
	}
}

func (c *conn) close() {
	_ = c.socket.Close()
}

// Request is one request to an endpoint.
type Request struct {
	Address string
	// Method and Target are the caller's request method and request target, byte for byte.
	Method string
	Target string
	Host   string
	Header http.Header
	// Body is the start of the body, and MoreBody what follows it.
	Body     []byte
	MoreBody [][]byte
	// AttemptID is the ID that the response must echo, or empty.
	AttemptID  string
	Idempotent bool
	// OnHeader, if set, is called once the headers of a response are read, also for interim and skipped responses.
	OnHeader func(metadata mtresponse.Metadata)
	// MaySend, if set, is called once a connection is open; the request is not sent unless it returns true.
	MaySend func() bool
	// OnConnected, if set, is called once a new connection is open; it is not called when an open one is used.
	OnConnected func()
	// onNewConnection is set if no open connection may be used.
	onNewConnection bool
	// dialTimeout bounds the opening of a new connection; 0 selects the default.
	dialTimeout time.Duration
	// isProbe marks a probe: at most maxProbeBodyBytes of its response body are read.
	isProbe bool
}

// bodyLength returns the length of the complete body in bytes.
func (o Request) bodyLength() int {
	length := len(o.Body)
	for _, piece := range o.MoreBody {
		length += len(piece)
	}
	return length
}

// bodyBufferLimit returns the size in bytes up to which the response body is buffered.
func (o Request) bodyBufferLimit() int64 {
	if o.isProbe {
		return maxProbeBodyBytes
	}
	return maxBufferedBodyBytes
}

// Response is a response: complete, or with the start of a long body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Remainder reads what follows Body, or is nil. The caller must close it.
	Remainder io.ReadCloser
	// BodyLength is the length of the complete body in bytes, or -1 if it is unknown.
	BodyLength int64
	// Metadata is what the endpoint states in the headers.
	Metadata mtresponse.Metadata
}

// DeliveryStatus tells whether an endpoint may have run a request.
type DeliveryStatus int

// The values of DeliveryStatus.
const (
	// Answered means that the endpoint has responded.
	Answered DeliveryStatus = iota
	// NotSent means that no byte of the request was sent.
	NotSent
	// MayHaveRun means that the request was sent at least in part, and may have run, but no complete response arrived.
	MayHaveRun
)

// ErrSendNotAllowed means that a request was not sent because Request.MaySend returned false.
var ErrSendNotAllowed = errors.New("the endpoint began to leave or asked for a pause before the request was sent")

// Send sends a request once and returns its response. Reply.Rest streams a body that is too long to be buffered.
func (p *Pool) Send(ctx context.Context, request Request, deadline time.Time) (*Response, DeliveryStatus, error) {
	c, err := p.acquire(ctx, request, time.Now())
	if err != nil {
		return nil, NotSent, err
	}
	if request.MaySend != nil && !request.MaySend() {
		p.putUnused(c)
		return nil, NotSent, ErrSendNotAllowed
	}
	stop := context.AfterFunc(ctx, c.close)
	_ = c.socket.SetDeadline(deadline)
	upload := newUpload()
	if request.bodyLength() < maxInlineBodyBytes {
		n, err := writeRequest(c.socket, request)
		upload.end(err)
		if err != nil {
			stop()
			c.close()
			if n == 0 {
				return nil, NotSent, err
			}
			return nil, MayHaveRun, err
		}
	} else {
		// An endpoint may respond before it has read a long body, so the response is read at the same time.
		go func() {
			_, err := writeRequest(c.socket, request)
			upload.end(err)
		}()
	}
	response, metadata, err := p.readHeader(c, request)
	if err != nil {
		stop()
		c.close()
		return nil, MayHaveRun, err
	}
	if !upload.isComplete() {
		// The request body is still being written, or can't be, so this connection can't carry another request.
		response.Close = true
	}
	upload.guard(response)
	return p.readBody(ctx, c, request, response, metadata, stop)
}

func writeRequest(socket net.Conn, request Request) (int64, error) {
	buffer := &bytes.Buffer{}
	buffer.Grow(1 << 10)
	buffer.WriteString(request.Method)
	buffer.WriteByte(' ')
	buffer.WriteString(request.Target)
	buffer.WriteString(" HTTP/1.1\r\nHost: ")
	buffer.WriteString(request.Host)
	buffer.WriteString("\r\n")
	if request.bodyLength() > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut ||
		request.Method == http.MethodPatch {
		buffer.WriteString("Content-Length: ")
		buffer.WriteString(strconv.Itoa(request.bodyLength()))
		buffer.WriteString("\r\n")
	}
	// Writing to a buffer can't fail.
	_ = request.Header.Write(buffer)
	buffer.WriteString("\r\n")
	if request.bodyLength() < maxInlineBodyBytes {
		buffer.Write(request.Body)
		for _, piece := range request.MoreBody {
			buffer.Write(piece)
		}
		n, err := socket.Write(buffer.Bytes())
		return int64(n), err
	}
	parts := append(net.Buffers{buffer.Bytes(), request.Body}, request.MoreBody...)
	return parts.WriteTo(socket)
}

// maxInlineBodyBytes is the size below which a body is copied behind the headers, which is cheaper than a vectored
// write.
const maxInlineBodyBytes = 16 << 10

var errNoMatchingResponse = errors.New("responses on this connection belong to other requests")

// readHeader reads the headers of the response to a request, and skips late responses to earlier requests.
func (p *Pool) readHeader(c *conn, request Request) (*http.Response, mtresponse.Metadata, error) {
	c.source.setLimit(maxHeaderBytes, errHeaderTooLarge)
	skipped := int64(0)
	for range maxResponses {
		response, err := mtresponsehead.Read(c.reader, request.Method)
		if err != nil {
			return nil, mtresponse.Metadata{}, err
		}
		metadata := p.reader.ParseResponseHeader(response.StatusCode, response.Header)
		if request.OnHeader != nil {
			request.OnHeader(metadata)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		isAnonymousRefusal := metadata.AttemptID == "" && metadata.NotRun
		c.sawAnonymousRefusal = c.sawAnonymousRefusal || isAnonymousRefusal
		if metadata.AttemptID == request.AttemptID || isAnonymousRefusal {
			return response, metadata, nil
		}
		headerLimit := c.source.remaining
		c.source.setLimit(maxSkippedBodyBytes-skipped, errSkippedTooLarge)
		n, err := io.Copy(io.Discard, response.Body)
		if err != nil {
			return nil, metadata, err
		}
		skipped += n
		c.source.setLimit(headerLimit, errHeaderTooLarge)
	}
	return nil, mtresponse.Metadata{}, errNoMatchingResponse
}

// readBody buffers a short body completely and the start of a long one, whose remainder Reply.Rest reads.
func (p *Pool) readBody(ctx context.Context, c *conn, request Request, response *http.Response,
	metadata mtresponse.Metadata, stop func() bool) (*Response, DeliveryStatus, error) {
	c.source.setLimit(maxBodyBytes, errBodyTooLarge)
	body, complete, err := p.bodyBudget.readBody(response, request.bodyBufferLimit())
	if err != nil {
		stop()
		c.close()
		return nil, MayHaveRun, err
	}
	reply := &Response{
		Status:     response.StatusCode,
		Header:     response.Header,
		Body:       body,
		BodyLength: int64(len(body)),
		Metadata:   metadata,
	}
	if complete {
		if stop() {
			p.reuseOrClose(c, response)
		}
		return reply, Answered, nil
	}
	reply.BodyLength = response.ContentLength
	reply.Remainder = &bodyRemainder{
		pool:     p,
		conn:     c,
		response: response,
		stop:     stop,
	}
	return reply, Answered, nil
}

// reuseOrClose returns a connection to the pool after a complete response, or closes it if the response forbids reuse
// or bytes follow it.
func (p *Pool) reuseOrClose(c *conn, response *http.Response) {
	lifetime := idleLifetime(response)
	if lifetime <= 0 || c.reader.Buffered() > 0 {
		c.close()
		return
	}
	p.putIdle(c, lifetime, time.Now())
}

// bodyRemainder is the unread part of a long response body.
type bodyRemainder struct {
	pool     *Pool
	conn     *conn
	response *http.Response
	// stop disarms the cancellation of the request; it returns false if the request was cancelled before.
	stop     func() bool
	complete bool
}

func (r *bodyRemainder) Read(p []byte) (int, error) {
	n, err := r.response.Body.Read(p)
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

func (r *bodyRemainder) Close() error {
	if r.stop() && r.complete {
		r.pool.reuseOrClose(r.conn, r.response)
	} else {
		r.conn.close()
	}
	return nil
}

// Check requests the health check path of an endpoint on a new connection; the error is nil if anything responds within
// a timeout.
func (p *Pool) Check(ctx context.Context, address, path string, timeout time.Duration) error {
	checkCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, _, err := p.Send(checkCtx, Request{
		Address:         address,
		Method:          http.MethodGet,
		Target:          path,
		Host:            address,
		Idempotent:      true,
		onNewConnection: true,
		dialTimeout:     timeout,
		isProbe:         true,
	}, time.Now().Add(timeout))
	if err != nil {
		return err
	}
	if reply.Remainder != nil {
		_ = reply.Remainder.Close()
	}
	return nil
}

// Probe requests the health check path of an endpoint and returns what the response states, such as the load. It calls
// onHeader, if set, once the headers of each response are read.
func (p *Pool) Probe(ctx context.Context, address, path string,
	onHeader func(metadata mtresponse.Metadata)) (mtresponse.Metadata, error) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request := Request{
		Address:    address,
		Method:     http.MethodGet,
		Target:     path,
		Host:       address,
		Idempotent: true,
		OnHeader:   onHeader,
		isProbe:    true,
	}
	reply, _, err := p.Send(probeCtx, request, time.Now().Add(probeTimeout))
	if err != nil {
		return mtresponse.Metadata{}, err
	}
	if reply.Remainder != nil {
		_ = reply.Remainder.Close()
	}
	return reply.Metadata, nil
}
