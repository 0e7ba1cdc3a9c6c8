package mtresponseguard

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/mangotack/mangotack/internal/adapter/mtresponsehead"
)

const (
	// writerTimeout is how long the end of a response waits for the result of writing the request.
	writerTimeout      = 100 * time.Millisecond
	writerPollInterval = time.Millisecond
)

var (
	errUnsolicited = errors.New("response without a request")
	errTooLarge    = errors.New("response heads exceed 64 KiB")
)

// Conn is a connection that carries one HTTP/1.1 request at a time. It withholds the heads of a response from its reader
// until they are complete and valid.
type Conn struct {
	net.Conn

	// mu guards the fields below; it is a leaf.
	mu    sync.Mutex
	phase phase
	// method is the method of the request.
	method string
	// pending holds the heads of a response until that of the final one is complete; headStart and lineStart are where
	// the current head and the current line of it begin. checked holds the bytes that may be read.
	pending   []byte
	headStart int
	lineStart int
	checked   []byte
	// err is why a head was refused.
	err error
	// isWritten is set once the request has been written, activeWrites counts the writes in progress, and writeFailed is
	// set once one has failed.
	isWritten    bool
	activeWrites int
	writeFailed  bool
}

// phase is what the next bytes from the connection belong to.
type phase int

const (
	// idle means that no request has been sent.
	idle phase = iota
	inHead
	inBody
)

// NewConn returns a Conn that reads from conn.
func NewConn(conn net.Conn) *Conn {
	return &Conn{
		Conn: conn,
	}
}

// BeginRequest tells that a request with the given method is about to be written; the next bytes are heads of its
// response.
func (c *Conn) BeginRequest(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = inHead
	c.method = method
	c.headStart, c.lineStart = 0, 0
	c.isWritten = false
}

// EndRequest tells that the request has been written, or could not be.
func (c *Conn) EndRequest(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isWritten = true
	c.writeFailed = c.writeFailed || err != nil
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.activeWrites++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeWrites--
	c.writeFailed = c.writeFailed || err != nil
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if n, err := c.readChecked(p); n > 0 || err != nil || len(p) == 0 {
		return n, err
	}
	for {
		n, err := c.Conn.Read(p)
		if errors.Is(err, io.EOF) {
			c.awaitWriter()
		}
		n, err = c.handleRead(p, n, err)
		if n > 0 || err != nil {
			return n, err
		}
	}
}

// readChecked returns bytes that were read before.
func (c *Conn) readChecked(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, c.err
	}
	n := copy(p, c.checked)
	c.checked = c.checked[n:]
	return n, nil
}

// handleRead handles n bytes in p and the error that came with them, and returns what Read returns.
func (c *Conn) handleRead(p []byte, n int, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == inHead && n > 0:
		c.pending = append(c.pending, p[:n]...)
		c.err = c.checkHeads()
		if c.err != nil {
			return 0, c.err
		}
		n = copy(p, c.checked)
		c.checked = c.checked[n:]
		if n > 0 {
			// The next read reports an error that came with the bytes again.
			return n, nil
		}
	case c.phase == idle && n > 0:
		c.err = errUnsolicited
		return 0, c.err
	}
	if errors.Is(err, io.EOF) && (len(c.pending) > 0 || c.phase == inBody && !c.isRequestWritten()) {
		// A failed write consumes the error of the socket, and reads then see an ordinary end of the stream.
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// awaitWriter waits until the result of writing the request is known, for writerTimeout at most: the end of the response
// may be read before the last write has returned.
func (c *Conn) awaitWriter() {
	for range writerTimeout / writerPollInterval {
		c.mu.Lock()
		isKnown := c.phase != inBody || c.writeFailed || c.isRequestWritten()
		c.mu.Unlock()
		if isKnown {
			return
		}
		time.Sleep(writerPollInterval)
	}
}

func (c *Conn) isRequestWritten() bool {
	return c.isWritten && c.activeWrites == 0 && !c.writeFailed
}

// checkHeads checks the complete heads in pending. After that of a final response it makes pending readable.
func (c *Conn) checkHeads() error {
	for {
		end := bytes.IndexByte(c.pending[c.lineStart:], '\n')
		if end < 0 {
			if len(c.pending) > mtresponsehead.MaxBytes {
				return errTooLarge
			}
			return nil
		}
		line := c.pending[c.lineStart : c.lineStart+end]
		c.lineStart += end + 1
		if len(line) > 1 || len(line) == 1 && line[0] != '\r' {
			continue
		}
		head, err := mtresponsehead.Parse(string(c.pending[c.headStart:c.lineStart]), c.method)
		if err != nil {
			return err
		}
		c.headStart = c.lineStart
		if head.Status >= http.StatusOK {
			c.checked, c.pending = c.pending, nil
			c.phase = inBody
			return nil
		}
	}
}
