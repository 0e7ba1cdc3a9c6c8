package mtpool

import (
	"context"
	"net"
	"sync"
)

// reader watches the reads of an HTTP/1.1 connection. While net/http's reader waits in Read its buffer is empty, so an
// answer that nobody asked for is either not there yet or has closed the connection.
type reader struct {
	net.Conn

	mu      sync.Mutex
	changed sync.Cond
	waiting bool
	closed  bool
}

func newReader(conn net.Conn) *reader {
	r := &reader{
		Conn: conn,
	}
	r.changed.L = &r.mu
	return r
}

// Read reads as the connection does.
func (r *reader) Read(to []byte) (int, error) {
	r.setWaiting(true)
	defer r.setWaiting(false)
	return r.Conn.Read(to)
}

// Close closes the connection.
func (r *reader) Close() error {
	r.mu.Lock()
	r.closed = true
	r.changed.Broadcast()
	r.mu.Unlock()
	return r.Conn.Close()
}

func (r *reader) setWaiting(waiting bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting = waiting
	r.changed.Broadcast()
}

// isQuiet waits until the answer before has been read to its end and reports whether nothing came after it.
func (r *reader) isQuiet() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.waiting && !r.closed {
		r.changed.Wait()
	}
	return !r.closed
}

// readerKey is the key of the place, a **reader, where a dial leaves the reader of its connection.
type readerKey struct{}

func watched(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		watching := newReader(conn)
		if place, ok := ctx.Value(readerKey{}).(**reader); ok {
			*place = watching
		}
		return watching, nil
	}
}
