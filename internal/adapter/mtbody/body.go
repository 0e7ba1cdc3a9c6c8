// The transport reads the body of the first attempt while it comes from the caller, and the bytes are kept on the way
// up to a limit. Once the end was seen within the limit, the body can be opened again for a retry or a hedge. Until then
// a second reader could compete with the first for bytes, so CanReopen says no.

package mtbody

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// errClosed is what a reader gets after it was closed.
var errClosed = errors.New("body: read after close")

// Body is the body of one call; it is safe for use by many goroutines.
type Body struct {
	mu     sync.Mutex
	source io.Reader
	limit  int
	kept   []byte
	lost   bool
	end    error
	// reading is set while a read of the source is under way.
	reading atomic.Bool
}

// NewBody returns a body that keeps at most limit bytes of source.
func NewBody(source io.Reader, limit int) *Body {
	return &Body{
		source: source,
		limit:  limit,
	}
}

// ReadAll reads up to the end and returns all bytes; whole is false when they exceed the limit.
func (b *Body) ReadAll() (all []byte, whole bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	buffer := make([]byte, 4096)
	for b.end == nil && !b.lost {
		b.pull(buffer)
	}
	if b.lost {
		return nil, false, nil
	}
	if b.end != io.EOF {
		return nil, false, b.end
	}
	return b.kept, true, nil
}

// CanReopen reports whether the whole body is kept.
func (b *Body) CanReopen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end == io.EOF && !b.lost
}

// Stop ends all reading of the source; interrupt must make a read that is under way return.
//
// The source must not be read after the handler of its request has returned, because net/http then reads the next request
// from the same connection. The transport may still be reading when an endpoint answers early.
func (b *Body) Stop(interrupt func()) {
	if b.reading.Load() {
		interrupt()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end == nil {
		b.end = errClosed
	}
}

// Open returns a reader from the start; a second one may be opened only when CanReopen reports true.
//
// The reader is of no type that net/http knows, so net/http can't replay it.
func (b *Body) Open() io.ReadCloser {
	return &reader{
		body: b,
	}
}

// pull reads once from the source; the mutex is held.
func (b *Body) pull(buffer []byte) int {
	b.reading.Store(true)
	n, err := b.source.Read(buffer)
	b.reading.Store(false)
	if len(b.kept)+n > b.limit {
		b.lost = true
		b.kept = nil
	}
	if !b.lost {
		b.kept = append(b.kept, buffer[:n]...)
	}
	if err != nil {
		b.end = err
	}
	return n
}

type reader struct {
	body     *Body
	position int
	mu       sync.Mutex
	closed   bool
}

// Read returns kept bytes first and then bytes of the source.
func (r *reader) Read(buffer []byte) (int, error) {
	if r.isClosed() {
		return 0, errClosed
	}
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.position < len(b.kept) {
		n := copy(buffer, b.kept[r.position:])
		r.position += n
		return n, nil
	}
	if b.end != nil {
		return 0, b.end
	}
	n := b.pull(buffer)
	r.position += n
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
