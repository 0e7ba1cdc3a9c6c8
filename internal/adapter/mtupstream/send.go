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

	"github.com/mangotack/mangotack/internal/core/mtexchange"
)

const (
	// bodyKept is the size up to which an answer is read whole before it is passed on, so that a broken one can be replaced.
	bodyKept = 1 << 20
	// strays is the most answers to earlier requests that are skipped on a connection.
	strays      = 3
	readBuffer  = 4 << 10
	lookTimeout = 150 * time.Millisecond
)

type conn struct {
	address string
	socket  net.Conn
	source  *boundedReader
	reader  *bufio.Reader
	used    time.Time
	expires time.Time
	// isAmbiguous is set once a refusal without an ID was received: another one may be its second copy.
	isAmbiguous bool
}

func newConn(socket net.Conn, address string) *conn {
	source := &boundedReader{
		socket: socket,
	}
	return &conn{
		address: address,
		socket:  socket,
		source:  source,
		reader:  bufio.NewReaderSize(source, readBuffer),
	}
}

func (c *conn) close() {
	_ = c.socket.Close()
}

// Order is one request to one endpoint.
type Order struct {
	Address string
	// Method and Target stand in the first line, byte for byte as the caller sent them.
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Attempt is the ID that the answer must echo, or empty.
	Attempt    string
	Idempotent bool
	// Heard takes in what the endpoint states with each answer on the connection, also with those that are skipped, as soon as the
	// head of the answer is read.
	Heard func(stated mtexchange.Stated)
	// Allowed is asked when the connection is open; the request is not sent unless it returns true.
	Allowed func() bool
	// isLook is set for a look, whose answer is hardly read.
	isLook bool
}

// most returns the size up to which the body of the answer is read whole, in bytes.
func (o Order) most() int64 {
	if o.isLook {
		return lookMost
	}
	return bodyKept
}

// Reply is a whole answer, or the start of a long one.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest holds what follows Body, or is nil. It must be closed.
	Rest   io.ReadCloser
	Length int64
	Stated mtexchange.Stated
}

// Fate is what is known of a request without an answer.
type Fate int

// The fates.
const (
	// Answered is a request with an answer.
	Answered Fate = iota
	// Unsent is a request of which no byte has left.
	Unsent
	// Lost is a request that may have run.
	Lost
)

// ErrWithdrawn tells that a request was not sent because its endpoint must no longer get it.
var ErrWithdrawn = errors.New("the endpoint left, or asked for a rest, before the request was sent")

// Send sends a request once and returns its answer.
func (p *Pool) Send(ctx context.Context, order Order, deadline time.Time) (*Reply, Fate, error) {
	c, err := p.take(ctx, order.Address, order.Idempotent, time.Now())
	if err != nil {
		return nil, Unsent, err
	}
	if order.Allowed != nil && !order.Allowed() {
		p.keepUnused(c)
		return nil, Unsent, ErrWithdrawn
	}
	stop := context.AfterFunc(ctx, c.close)
	_ = c.socket.SetDeadline(deadline)
	written := make(chan struct{})
	if len(order.Body) < bodyInHead {
		n, err := writeOrder(c.socket, order)
		close(written)
		if err != nil {
			stop()
			c.close()
			if n == 0 {
				return nil, Unsent, err
			}
			return nil, Lost, err
		}
	} else {
		// An endpoint may answer before it has read a long body, so the answer is read meanwhile.
		go func() {
			defer close(written)
			// A failure shows in the answer, or in its absence.
			_, _ = writeOrder(c.socket, order)
		}()
	}
	response, stated, err := p.receive(c, order)
	if err != nil {
		stop()
		c.close()
		return nil, Lost, err
	}
	select {
	case <-written:
	default:
		// The rest of the body is still due on this connection, so nothing else may follow the answer.
		response.Close = true
	}
	return p.collect(ctx, c, order, response, stated, stop)
}

func writeOrder(to net.Conn, order Order) (int64, error) {
	head := &bytes.Buffer{}
	head.Grow(1 << 10)
	head.WriteString(order.Method)
	head.WriteByte(' ')
	head.WriteString(order.Target)
	head.WriteString(" HTTP/1.1\r\nHost: ")
	head.WriteString(order.Host)
	head.WriteString("\r\n")
	if len(order.Body) > 0 || order.Method == http.MethodPost || order.Method == http.MethodPut || order.Method == http.MethodPatch {
		head.WriteString("Content-Length: ")
		head.WriteString(strconv.Itoa(len(order.Body)))
		head.WriteString("\r\n")
	}
	// Writing to a buffer can't fail.
	_ = order.Header.Write(head)
	head.WriteString("\r\n")
	if len(order.Body) < bodyInHead {
		head.Write(order.Body)
		n, err := to.Write(head.Bytes())
		return int64(n), err
	}
	parts := net.Buffers{head.Bytes(), order.Body}
	return parts.WriteTo(to)
}

// bodyInHead is the size below which a body is copied behind the head, which is cheaper than a second part.
const bodyInHead = 16 << 10

var errNotOurs = errors.New("the answers on this connection belong to other requests")

// receive reads the head of the answer to an order, and skips late answers to earlier requests.
func (p *Pool) receive(c *conn, order Order) (*http.Response, mtexchange.Stated, error) {
	request := &http.Request{
		Method: order.Method,
	}
	c.source.allow(headMost, errHeadTooLong)
	skipped := int64(0)
	for range strays {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, mtexchange.Stated{}, err
		}
		stated := p.reader.ReadAnswer(response.StatusCode, response.Header)
		if order.Heard != nil {
			order.Heard(stated)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		isBare := stated.Attempt == "" && stated.NotRun
		isOurs := stated.Attempt == order.Attempt || isBare && !c.isAmbiguous
		c.isAmbiguous = c.isAmbiguous || isBare
		if isOurs {
			return response, stated, nil
		}
		heads := c.source.left
		c.source.allow(skipMost-skipped, errSkipTooLong)
		n, err := io.Copy(io.Discard, response.Body)
		if err != nil {
			return nil, stated, err
		}
		skipped += n
		c.source.allow(heads, errHeadTooLong)
	}
	return nil, mtexchange.Stated{}, errNotOurs
}

// collect reads a short answer whole, and hands on the rest of a long one.
func (p *Pool) collect(ctx context.Context, c *conn, order Order, response *http.Response, stated mtexchange.Stated, stop func() bool) (*Reply, Fate, error) {
	c.source.allow(bodyMost, errBodyTooLong)
	body, whole, err := p.kept.readBody(response, order.most())
	if err != nil {
		stop()
		c.close()
		return nil, Lost, err
	}
	reply := &Reply{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   body,
		Length: int64(len(body)),
		Stated: stated,
	}
	if whole {
		if stop() {
			p.finish(c, response)
		}
		return reply, Answered, nil
	}
	reply.Length = response.ContentLength
	reply.Rest = &rest{
		pool:     p,
		conn:     c,
		response: response,
		stop:     stop,
	}
	return reply, Answered, nil
}

// finish keeps a connection after a whole answer, if nothing stands behind it.
func (p *Pool) finish(c *conn, response *http.Response) {
	life := lifeOf(response)
	if life <= 0 || c.reader.Buffered() > 0 {
		c.close()
		return
	}
	p.keep(c, life, time.Now())
}

// rest is the body of a long answer.
type rest struct {
	pool     *Pool
	conn     *conn
	response *http.Response
	stop     func() bool
	whole    bool
}

func (r *rest) Read(to []byte) (int, error) {
	n, err := r.response.Body.Read(to)
	if err == io.EOF {
		r.whole = true
	}
	return n, err
}

func (r *rest) Close() error {
	if r.stop() && r.whole {
		r.pool.finish(r.conn, r.response)
	} else {
		r.conn.close()
	}
	return nil
}

// Look asks an endpoint for its load by its health check; heard is told what it states.
func (p *Pool) Look(ctx context.Context, address, path string, heard func(stated mtexchange.Stated)) (mtexchange.Stated, error) {
	limited, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	order := Order{
		Address:    address,
		Method:     http.MethodGet,
		Target:     path,
		Host:       address,
		Idempotent: true,
		Heard:      heard,
		isLook:     true,
	}
	reply, _, err := p.Send(limited, order, time.Now().Add(lookTimeout))
	if err != nil {
		return mtexchange.Stated{}, err
	}
	if reply.Rest != nil {
		_ = reply.Rest.Close()
	}
	return reply.Stated, nil
}
