// The transport reads the body of the first attempt while it arrives from the caller, and the bytes read are buffered
// up to a limit. Once the end of the body is read within the limit, the body can be reopened for a retry or a hedge.
// Until then a second reader would compete with the first for bytes, so CanReopen reports false.

package mtbody

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// errClosed is the error of reads after the reader is closed or the body is stopped.
var errClosed = errors.New("body: read after close")

// Body is the request body of one call; it is safe for concurrent use.
type Body struct {
	mu       sync.Mutex
	source   io.Reader
	maxBytes int
	// buffered is all that was read from the source, unless overflowed is set.
	buffered []byte
	// overflowed is set once the body exceeds the limit; nothing is buffered from then on.
	overflowed bool
	// budget bounds the buffers of all bodies, or is nil; reserved is what this one has of it, and lacksMemory is set when it
	// was refused more.
	budget      *Budget
	reserved    int64
	lacksMemory bool
	// end is the error that ended the reading of the source, io.EOF for a complete body.
	end error
	// reading is set while a read of the source is in progress.
	reading atomic.Bool
}

// minBufferBytes is the size of the first buffer of a body.
const minBufferBytes = 4 << 10

// Budget bounds the memory of the buffers of all bodies.
type Budget struct {
	maxBytes int64
	used     atomic.Int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(maxBytes int64) *Budget {
	return &Budget{
		maxBytes: maxBytes,
	}
}

func (b *Budget) reserve(bytes int64) bool {
	if b.used.Add(bytes) > b.maxBytes {
		b.used.Add(-bytes)
		return false
	}
	return true
}

func (b *Budget) release(bytes int64) {
	b.used.Add(-bytes)
}

// Option changes a body from its defaults.
type Option func(body *Body)

// WithBudget makes a body share a bound with others. A body that gets no memory is treated as one that exceeds the limit.
func WithBudget(budget *Budget) Option {
	return func(body *Body) {
		body.budget = budget
	}
}

// NewBody returns a body that reads from source and buffers at most maxBytes bytes.
func NewBody(source io.Reader, maxBytes int, options ...Option) *Body {
	body := &Body{
		source:   source,
		maxBytes: maxBytes,
	}
	for _, option := range options {
		option(body)
	}
	return body
}

// LacksMemory reports whether the body is not buffered because memory is short.
func (b *Body) LacksMemory() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lacksMemory
}

// Release returns the memory of the body, whose call has ended, to the budget. The buffer stays, because an attempt that has not
// noticed the end yet must not take its end for that of the body.
func (b *Body) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseReserved()
}

// releaseReserved returns what the body has to the budget; the caller holds the mutex.
func (b *Body) releaseReserved() {
	if b.reserved > 0 {
		b.budget.release(b.reserved)
		b.reserved = 0
	}
}

// grow makes room for more bytes in the buffer and reports whether there is memory for it. The caller holds the mutex.
func (b *Body) grow(more int) bool {
	needed := len(b.buffered) + more
	if needed <= cap(b.buffered) {
		return true
	}
	size := max(needed, min(2*cap(b.buffered), b.maxBytes), minBufferBytes)
	if b.budget != nil {
		if !b.budget.reserve(int64(size)) {
			b.lacksMemory = true
			return false
		}
		// Both buffers exist until the collector has freed the smaller one.
		b.reserved += int64(size)
	}
	b.buffered = append(make([]byte, 0, size), b.buffered...)
	return true
}

// ReadAll reads the source up to its end and returns all bytes; complete is false when the body exceeds the limit.
func (b *Body) ReadAll() (content []byte, complete bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	chunk := make([]byte, 4096)
	for b.end == nil && !b.overflowed {
		b.readSource(chunk)
	}
	if b.overflowed {
		return nil, false, nil
	}
	if b.end != io.EOF {
		return nil, false, b.end
	}
	return b.buffered, true, nil
}

// CanReopen reports whether the whole body is buffered.
func (b *Body) CanReopen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end == io.EOF && !b.overflowed
}

// StopReading ends all reading of the source; interrupt must make a read that is in progress return.
//
// The source must not be read after the handler of its request returns, because net/http then reads the next request
// from the same connection. The transport may still be reading when an endpoint responds before the end of the body.
func (b *Body) StopReading(interrupt func()) {
	if b.reading.Load() {
		interrupt()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end == nil {
		b.end = errClosed
	}
}

// NewReader returns a reader from the start of the body; a second one may be opened only when CanReopen reports true.
//
// The reader has none of the types that net/http recognizes, so net/http can't replay it.
func (b *Body) NewReader() io.ReadCloser {
	return &reader{
		body: b,
	}
}

// readSource reads once from the source; the caller holds the mutex.
func (b *Body) readSource(buffer []byte) int {
	b.reading.Store(true)
	n, err := b.source.Read(buffer)
	b.reading.Store(false)
	if !b.overflowed && (len(b.buffered)+n > b.maxBytes || !b.grow(n)) {
		b.overflowed = true
		b.buffered = nil
		b.releaseReserved()
	}
	if !b.overflowed {
		b.buffered = append(b.buffered, buffer[:n]...)
	}
	if err != nil {
		b.end = err
	}
	return n
}

// reader reads a Body from its start.
type reader struct {
	body   *Body
	offset int
	mu     sync.Mutex
	closed bool
}

// Read returns the buffered bytes first and then bytes of the source.
func (r *reader) Read(buffer []byte) (int, error) {
	if r.isClosed() {
		return 0, errClosed
	}
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.offset < len(b.buffered) {
		n := copy(buffer, b.buffered[r.offset:])
		r.offset += n
		return n, nil
	}
	if b.end != nil {
		return 0, b.end
	}
	n := b.readSource(buffer)
	r.offset += n
	if n > 0 {
		return n, nil
	}
	return 0, b.end
}

// Close makes further reads fail.
func (r *reader) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	return nil
}

func (r *reader) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}
