// A faulty endpoint may send an endless status line, header section, series of interim responses, body, or response
// that matches no request. Each has a size limit, so that an instance with little memory survives.

package mtupstream

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
)

const (
	// maxHeaderBytes bounds the response header bytes read for one request, including interim and skipped responses.
	maxHeaderBytes = 64 << 10
	// maxSkippedBodyBytes bounds the body bytes of skipped responses for one request.
	maxSkippedBodyBytes = 256 << 10
	// maxProbeBodyBytes bounds the body bytes that are read of a response to a probe.
	maxProbeBodyBytes = 16 << 10
	// maxBodyBytes bounds a response body: a link of 1 Gbit/s can't carry more within the longest request deadline.
	maxBodyBytes = 4 << 30
	// minBufferedBodyBytes is the body size up to which a response is always buffered. Longer bodies are buffered
	// while their total stays within maxTotalBufferedBytes, and streamed otherwise.
	minBufferedBodyBytes = 64 << 10
	// maxTotalBufferedBytes applies unless LimitBuffers sets a lower limit; it is a sixth of the memory of the smallest
	// instance.
	maxTotalBufferedBytes = 32 << 20
)

var (
	errHeaderTooLarge  = errors.New("response headers exceed 64 KiB")
	errSkippedTooLarge = errors.New("bodies of skipped responses exceed 256 KiB")
	errBodyTooLarge    = errors.New("response body exceeds 4 GiB")
)

// boundedReader reads from a socket until a byte limit is reached.
type boundedReader struct {
	socket    net.Conn
	remaining int64
	// limitErr is returned by Read once remaining is 0.
	limitErr error
}

func (r *boundedReader) setLimit(maxBytes int64, limitErr error) {
	r.remaining, r.limitErr = maxBytes, limitErr
}

func (r *boundedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, r.limitErr
	}
	n, err := r.socket.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}

// bufferBudget limits the memory for buffered bodies longer than minBufferedBodyBytes; used and limit are in bytes. A limit of
// 0 selects maxTotalBufferedBytes.
type bufferBudget struct {
	used  atomic.Int64
	limit int64
}

// LimitBuffers limits the memory for buffered bodies of responses in bytes. It is called before the pool is used.
func (p *Pool) LimitBuffers(limit int64) {
	p.bodyBudget.limit = min(limit, maxTotalBufferedBytes)
}

func (b *bufferBudget) reserve(size int64) bool {
	if b.used.Add(size) > cmp.Or(b.limit, maxTotalBufferedBytes) {
		b.used.Add(-size)
		return false
	}
	return true
}

func (b *bufferBudget) release(size int64) {
	b.used.Add(-size)
}

// releaseWhenFreed releases reserved bytes once the garbage collector has freed the body.
func (b *bufferBudget) releaseWhenFreed(body []byte, size int64) {
	if size > 0 {
		runtime.AddCleanup(&body[0], b.release, size)
	}
}

// readBody reads at most maxBytes of a body and reports whether that is all of it. It stops sooner when the budget is
// used up.
func (b *bufferBudget) readBody(response *http.Response, maxBytes int64) (body []byte, complete bool, err error) {
	reserved := int64(0)
	buffer := &bytes.Buffer{}
	minimum := min(minBufferedBodyBytes, maxBytes)
	if size := response.ContentLength; size > 0 {
		buffer.Grow(int(min(size, minimum)) + bytes.MinRead)
	}
	for limit := minimum; ; limit = min(2*limit, maxBytes) {
		n, err := io.Copy(buffer, io.LimitReader(response.Body, limit-int64(buffer.Len())))
		switch {
		case err != nil:
			b.release(reserved)
			return nil, false, err
		case n == 0 || int64(buffer.Len()) < limit:
			b.releaseWhenFreed(buffer.Bytes(), reserved)
			return buffer.Bytes(), true, nil
		case limit == maxBytes || !b.reserve(limit):
			b.releaseWhenFreed(buffer.Bytes(), reserved)
			return buffer.Bytes(), false, nil
		}
		reserved += limit
	}
}
