// A head is collected in the buffer of the connection and parsed when it is complete and its parsed form is admitted: a line
// of a few bytes costs some hundred bytes of memory. A body is kept in pieces, because a slice that is doubled holds up to
// three times its bytes.

package mtingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// lineBytes is the memory of a parsed header line and of its copy for the endpoint, textFactor that of its text.
	lineBytes  = 256
	textFactor = 2
	// requestBytes is the memory of a request besides its head and body, mostly stacks of goroutines. With half of
	// it, 2,500 connections with pipelined requests took a process of 184 MB over its memory.
	requestBytes = 16 << 10
	// maxPieceBytes and minPieceBytes bound the pieces of a body; the pieces of a body of unknown length double in size.
	maxPieceBytes = 256 << 10
	minPieceBytes = 4 << 10
)

var errFirstLineTooLong = errors.New("malformed HTTP request: first line too long")

// readRequest returns the next request, or the response to one that can't be read, or neither if there is no further one.
func (c *connection) readRequest() (*Call, *Response) {
	limits := c.server.limits().withDefaults()
	if !c.waitForRequest(limits) {
		return nil, nil
	}
	arrived := time.Now()
	if !c.beginReading(arrived, limits) {
		return nil, nil
	}
	call, refusal := c.readCall(arrived, limits)
	c.shrinkReader()
	if call == nil {
		c.server.memory.abort(c.holder)
		return nil, refusal
	}
	call.grant = c.server.memory.complete(c.holder)
	return call, refusal
}

// readCall reads a request that has begun to arrive.
func (c *connection) readCall(arrived time.Time, limits Limits) (*Call, *Response) {
	if refusal, isReadable := c.readHead(limits); !isReadable {
		return nil, refusal
	}
	request, err := http.ReadRequest(c.reader)
	c.source.remaining = -1
	if err != nil {
		return nil, c.readErrorResponse(err)
	}
	if limits.Body > 0 && request.ContentLength > limits.Body {
		return nil, withConnectionClose(NewResponse(http.StatusRequestEntityTooLarge, http.Header{}, nil))
	}
	if request.ContentLength > 0 && !c.reserve(request.ContentLength, false) {
		return nil, memoryRefusal()
	}
	if request.Header.Get("Expect") == "100-continue" && !c.writeContinue() {
		return nil, nil
	}
	body, refused, err := c.readBody(request, limits)
	if request.ContentLength > maxPieceBytes || len(body) > 1 {
		c.setReceiveBuffer(receiveBufferBytes)
	}
	if err != nil {
		return nil, c.readErrorResponse(err)
	}
	if refused != nil {
		return nil, refused
	}
	call := &Call{
		Request:   request,
		ArrivedAt: arrived,
	}
	if len(body) > 0 {
		call.Body, call.MoreBody = body[0], body[1:]
	}
	return call, nil
}

// readHead collects a head in the buffer of the connection and reserves the memory of its parsed form. A head that is
// malformed at the start is left to the parser. If the head can't be parsed, it returns the response, or nil to close the
// connection.
func (c *connection) readHead(limits Limits) (refusal *Response, isReadable bool) {
	limit := max(minHeaderLimitBytes, limits.Header) + readBufferSize
	c.source.remaining = limit
	scanned := 0
	for {
		head, _ := c.reader.Peek(c.reader.Buffered())
		if size := headSize(head, scanned); size > 0 {
			lines := bytes.Count(head[:size], []byte{'\n'})
			if !c.reserve(int64(textFactor*size+lineBytes*lines+requestBytes), false) {
				return memoryRefusal(), false
			}
			return nil, true
		}
		scanned = len(head)
		if scanned == c.reader.Size() {
			size := min(2*scanned, limit+readBufferSize)
			if size <= scanned {
				return c.headTooLarge(head), false
			}
			if !c.reserve(int64(size), false) {
				return memoryRefusal(), false
			}
			c.growReader(head, size)
		}
		if _, err := c.reader.Peek(scanned + 1); errors.Is(err, errHeaderTooLarge) {
			return c.headTooLarge(head), false
		} else if err != nil {
			return c.readErrorResponse(err), false
		}
	}
}

// headTooLarge returns the response to a head that exceeds the limit.
func (c *connection) headTooLarge(head []byte) *Response {
	if bytes.IndexByte(head, '\n') < 0 {
		return c.headerErrorResponse(errFirstLineTooLong)
	}
	return c.headerErrorResponse(errHeaderTooLarge)
}

// headSize returns the size of a head with its blank line, or 0 if it is incomplete; scanned bytes of it were searched
// before. A head whose first line is no request line ends with that line.
func headSize(head []byte, scanned int) int {
	const blankLineBytes = 3
	start := max(0, scanned-blankLineBytes)
	for offset := start; ; {
		next := bytes.IndexByte(head[offset:], '\n')
		if next < 0 {
			return 0
		}
		offset += next + 1
		switch {
		case bytes.HasPrefix(head[offset:], []byte("\n")):
			return offset + 1
		case bytes.HasPrefix(head[offset:], []byte("\r\n")):
			return offset + 2
		case scanned == 0 && offset == next+1 && !bytes.Contains(head[:offset], []byte(" HTTP/")):
			return offset
		}
	}
}

// growReader replaces the buffer of the connection, which is full, by a larger one.
func (c *connection) growReader(buffered []byte, size int) {
	// The reader of the first bytes is read first, and as a whole, because the new buffer is larger.
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c.source), size)
}

// shrinkReader replaces a large buffer by one of the usual size, so that only requests that are read have large ones.
func (c *connection) shrinkReader() {
	buffered := c.reader.Buffered()
	if c.reader.Size() == readBufferSize || buffered > readBufferSize {
		return
	}
	next, _ := c.reader.Peek(buffered)
	source := io.Reader(c.source)
	if buffered > 0 {
		source = io.MultiReader(bytes.NewReader(bytes.Clone(next)), c.source)
	}
	c.reader = bufio.NewReaderSize(source, readBufferSize)
	// Whether bytes are buffered decides whether the connection waits for a request.
	_, _ = c.reader.Peek(buffered)
}

// readBody returns the complete body of a request in pieces, or the response to one that exceeds a limit. The memory of a
// body with a length is reserved already.
func (c *connection) readBody(request *http.Request, limits Limits) ([][]byte, *Response, error) {
	if request.Body == http.NoBody || request.ContentLength == 0 {
		return nil, nil, nil
	}
	if request.ContentLength > 0 {
		body, err := c.readBodyOfLength(request)
		return body, nil, err
	}
	return c.readChunkedBody(request, limits)
}

func (c *connection) readBodyOfLength(request *http.Request) ([][]byte, error) {
	left := request.ContentLength
	if left > maxPieceBytes {
		c.setReceiveBuffer(bodyReceiveBufferBytes)
	}
	body := make([][]byte, 0, (left+maxPieceBytes-1)/maxPieceBytes)
	for left > 0 {
		piece := make([]byte, min(left, maxPieceBytes))
		if _, err := io.ReadFull(request.Body, piece); err != nil {
			return nil, err
		}
		left -= int64(len(piece))
		body = append(body, piece)
		if left > 0 {
			c.server.memory.received(c.holder, len(piece))
		}
	}
	return body, nil
}

func (c *connection) readChunkedBody(request *http.Request, limits Limits) ([][]byte, *Response, error) {
	var body [][]byte
	total := int64(0)
	for {
		// The first byte shows whether there is another piece to reserve.
		var first [1]byte
		if n, err := readPiece(request.Body, first[:]); n == 0 && err == io.EOF {
			return body, nil, nil
		} else if n == 0 {
			return nil, nil, err
		}
		if total >= limits.Body {
			return nil, withConnectionClose(NewResponse(http.StatusRequestEntityTooLarge, http.Header{}, nil)), nil
		}
		size := max(minPieceBytes, min(total, maxPieceBytes, limits.Body-total))
		if !c.reserve(size, true) {
			return nil, memoryRefusal(), nil
		}
		piece := make([]byte, size)
		piece[0] = first[0]
		n, err := readPiece(request.Body, piece[1:])
		total += int64(n) + 1
		body = append(body, piece[:n+1])
		if total > maxPieceBytes && total-int64(n+1) <= maxPieceBytes {
			c.setReceiveBuffer(bodyReceiveBufferBytes)
		}
		switch {
		case total > limits.Body:
			return nil, withConnectionClose(NewResponse(http.StatusRequestEntityTooLarge, http.Header{}, nil)), nil
		case err == io.EOF:
			return body, nil, nil
		case err != nil:
			return nil, nil, err
		}
		c.server.memory.received(c.holder, len(piece))
	}
}

// readPiece reads until a piece is full. Unlike io.ReadFull it returns the error of the source as it is: io.EOF is the end of the
// body, io.ErrUnexpectedEOF that of the connection.
func readPiece(source io.Reader, piece []byte) (n int, err error) {
	for n < len(piece) && err == nil {
		var more int
		more, err = source.Read(piece[n:])
		n += more
	}
	return n, err
}
