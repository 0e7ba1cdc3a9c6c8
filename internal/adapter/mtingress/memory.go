package mtingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtmemory"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

const (
	// memoryPollInterval is the time after which a request that waits for memory is decided on again: another request may
	// have become so old meanwhile that it can be refused.
	memoryPollInterval = 25 * time.Millisecond
	// reasonMemory is the refusal reason of a request that is not read on because memory is short.
	reasonMemory = "memory"
	// receiveBufferBytes is the size of the receive buffer of a connection; Linux holds up to 24 KiB of payload in it.
	receiveBufferBytes = 16 << 10
	// bodyReceiveBufferBytes is that of a connection while a large body is read. The 48 KiB of payload that it holds carry 210
	// Mbit/s at a round-trip time of 1.8 ms, more than the link of an instance.
	bodyReceiveBufferBytes = 32 << 10
	// memoryRetryAfter is the Retry-After of such a refusal in seconds; most requests are read and answered within it.
	memoryRetryAfter = "1"
)

// Memory bounds what the requests of all connections of one or more servers hold. Its mutex is a leaf.
type Memory struct {
	mu     sync.Mutex
	budget *mtmemory.Budget
	// released is closed and replaced when memory is released that a large request may wait for.
	released chan struct{}
}

// NewMemory returns a bound for a division of the memory.
func NewMemory(division mtmemory.Division) *Memory {
	return &Memory{
		budget:   mtmemory.NewBudget(division),
		released: make(chan struct{}),
	}
}

// Counts returns what is granted now, and how many requests and connections were turned away.
func (m *Memory) Counts() mtmemory.Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Counts()
}

// open adds a connection, and closes another if there are too many. It returns nil if it is the new one that must be closed.
func (m *Memory) open(c *connection) *mtmemory.Holder {
	m.mu.Lock()
	added, closed := m.budget.Open(c, time.Now())
	m.mu.Unlock()
	if added != nil && closed != nil {
		_ = closed.Owner.(*connection).conn.Close()
	}
	return added
}

// close releases all that a connection holds.
func (m *Memory) close(holder *mtmemory.Holder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Close(holder)
	m.notifyLocked()
}

// abort releases what the request holds that a connection does not read any further.
func (m *Memory) abort(holder *mtmemory.Holder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Abort(holder)
	m.notifyLocked()
}

// complete returns the grant of the request that a connection has read.
func (m *Memory) complete(holder *mtmemory.Holder) mtmemory.Grant {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Complete(holder)
}

// release releases the grant of a request that was answered.
func (m *Memory) release(holder *mtmemory.Holder, grant mtmemory.Grant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Release(holder, grant, time.Now())
	if grant.Bytes() > mtmemory.OrdinaryBytes {
		m.notifyLocked()
	}
}

// notifyLocked wakes the requests that wait; the caller holds the mutex.
func (m *Memory) notifyLocked() {
	if m.budget.IsAwaited() {
		close(m.released)
		m.released = make(chan struct{})
	}
}

// received records that bytes of a large body have arrived.
func (m *Memory) received(holder *mtmemory.Holder, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Received(holder, int64(bytes), time.Now())
}

// reserve decides on memory, and refuses the requests of other connections for it if needed. After Wait, released is closed
// when memory was released.
func (m *Memory) reserve(holder *mtmemory.Holder, bytes int64, isGrowing bool) (verdict mtmemory.Verdict, released <-chan struct{}) {
	m.mu.Lock()
	verdict = m.budget.Reserve(holder, bytes, isGrowing, time.Now())
	released = m.released
	var evicted []*mtmemory.Holder
	if verdict != mtmemory.Granted {
		evicted = m.budget.TakeEvicted()
	}
	m.mu.Unlock()
	for _, other := range evicted {
		other.Owner.(*connection).stopReading()
	}
	return verdict, released
}

// reserve waits until the request that is being read may hold more memory. It returns false if the request must be refused.
func (c *connection) reserve(bytes int64, isGrowing bool) bool {
	for {
		verdict, released := c.server.memory.reserve(c.holder, bytes, isGrowing)
		if verdict != mtmemory.Wait {
			return verdict == mtmemory.Granted
		}
		timer := time.NewTimer(memoryPollInterval)
		select {
		case <-released:
		case <-timer.C:
		case <-c.ctx.Done():
			timer.Stop()
			return false
		}
		timer.Stop()
	}
}

// stopReading makes the connection refuse the request that it is reading.
func (c *connection) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	if c.reading {
		_ = c.conn.SetReadDeadline(time.Now())
	}
}

// memoryRefusal returns the response to a request that is not read on because memory is short.
func memoryRefusal() *Response {
	return withConnectionClose(NewResponse(http.StatusServiceUnavailable, http.Header{
		mtoutcome.ReasonHeader: {reasonMemory},
		"Retry-After":          {memoryRetryAfter},
	}, nil))
}

// setReceiveBuffer changes the size of the receive buffer of the connection; net.Pipe in tests has none.
func (c *connection) setReceiveBuffer(size int) {
	if conn, ok := c.conn.(interface{ SetReadBuffer(size int) error }); ok {
		// An error leaves the size as it is; reading goes on.
		_ = conn.SetReadBuffer(size)
	}
}

// listen opens a listener whose connections have small receive buffers of a fixed size. The kernel would otherwise let the
// buffer of a connection that is not read grow to several megabytes.
func listen(address string) (net.Listener, error) {
	config := net.ListenConfig{
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(descriptor uintptr) {
				optionErr = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
	return config.Listen(context.Background(), "tcp", address)
}
