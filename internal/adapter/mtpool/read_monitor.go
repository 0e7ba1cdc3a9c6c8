package mtpool

import (
	"context"
	"net"
	"sync"

	"github.com/mangotack/mangotack/internal/adapter/mtresponseguard"
)

// readMonitor tracks whether net/http is reading from an HTTP/1.1 connection. While net/http waits in Read, its buffer
// is empty, so an unsolicited response has either not arrived yet or has made net/http close the connection.
type readMonitor struct {
	net.Conn
	// guard is Conn, which checks the responses before net/http reads them.
	guard *mtresponseguard.Conn

	mu           sync.Mutex
	stateChanged sync.Cond
	inRead       bool
	closed       bool
}

func newReadMonitor(conn net.Conn) *readMonitor {
	guard := mtresponseguard.NewConn(conn)
	m := &readMonitor{
		Conn:  guard,
		guard: guard,
	}
	m.stateChanged.L = &m.mu
	return m
}

// Read implements net.Conn.
func (m *readMonitor) Read(buffer []byte) (int, error) {
	m.setInRead(true)
	defer m.setInRead(false)
	return m.Conn.Read(buffer)
}

// Close implements net.Conn.
func (m *readMonitor) Close() error {
	m.mu.Lock()
	m.closed = true
	m.stateChanged.Broadcast()
	m.mu.Unlock()
	return m.Conn.Close()
}

func (m *readMonitor) setInRead(inRead bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inRead = inRead
	m.stateChanged.Broadcast()
}

// waitIdle waits until net/http has read the previous response to its end and waits for more data, and reports whether
// the connection is still open.
func (m *readMonitor) waitIdle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for !m.inRead && !m.closed {
		m.stateChanged.Wait()
	}
	return !m.closed
}

// readMonitorKey is the context key of a **readMonitor, to which the dial function writes its connection's monitor.
type readMonitorKey struct{}

// monitorReads returns a dial function that wraps each connection of dial in a readMonitor.
func monitorReads(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		monitor := newReadMonitor(conn)
		if result, ok := ctx.Value(readMonitorKey{}).(**readMonitor); ok {
			*result = monitor
		}
		return monitor, nil
	}
}
