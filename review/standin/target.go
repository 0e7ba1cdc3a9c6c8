package main

import (
	"bufio"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the time between two writes of a target to the store.
const heartbeat = 1500 * time.Millisecond

// lapseAfter is the silence after which the store removes the entry of a target.
const lapseAfter = 3 * heartbeat

// targetCall is one request that a target runs.
type targetCall struct {
	id      string
	request *http.Request
	body    []byte
	conn    net.Conn
	// gone is closed once the caller has closed the connection.
	gone    chan struct{}
	arrived time.Time
}

// target is the stand-in for one target of a service.
type target struct {
	id, service, address string
	slots, queue         int
	// run answers a request; it returns false if the connection must be closed.
	run func(t *target, call *targetCall) bool
	// reject, if set, may answer a request before it waits for a slot; it returns true if it did.
	reject func(t *target, call *targetCall) bool

	world   *world
	born    int64
	running atomic.Int64
	waiting atomic.Int64
	slot    chan struct{}
	// silent is set while the target doesn't reach the store.
	silent atomic.Bool

	mu       sync.Mutex
	seq      int
	lastBeat time.Time
	listed   bool
}

func (w *world) startTarget(t *target) error {
	t.world = w
	t.born = time.Now().UnixMilli()
	t.slot = make(chan struct{}, t.slots)
	listener, err := net.Listen("tcp", t.address)
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go t.serve(conn)
		}
	}()
	go t.beat()
	return nil
}

// beat keeps the entry of the target in the store. The store drops it after three heartbeats of silence.
func (t *target) beat() {
	for {
		t.mu.Lock()
		now := time.Now()
		if !t.silent.Load() {
			t.seq++
			t.lastBeat = now
			if !t.listed {
				// The entry changes when more than seq changes.
				t.world.store.put("keyed.servers", t.id, []byte(fmt.Sprintf(
					`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":"ready","seq":%d,"warmup_left_ms":0}}`,
					t.address, t.born, t.service, zone, t.slots, t.seq)))
				t.listed = true
				t.world.log("store    entry of %s is listed", t.id)
			}
		} else if t.listed && now.Sub(t.lastBeat) > lapseAfter {
			t.world.store.put("keyed.servers", t.id, nil)
			t.listed = false
			t.world.log("store    entry of %s is removed after three heartbeats of silence", t.id)
		}
		t.mu.Unlock()
		if t.silent.Load() {
			time.Sleep(heartbeat / 10)
		} else {
			time.Sleep(heartbeat)
		}
	}
}

func (t *target) load() string {
	return fmt.Sprintf("%d,%d,%d", t.running.Load(), t.waiting.Load(), t.slots)
}

func (t *target) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, 64<<10)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/health" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nMangotack-Instance-Id: %s\r\nMangotack-Server-Load: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n", t.id, t.load())
			continue
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		call := &targetCall{
			id:      request.Header.Get("Mangotack-Attempt-Id"),
			request: request,
			body:    body,
			conn:    conn,
			gone:    make(chan struct{}),
			arrived: time.Now(),
		}
		if expected := request.Header.Get("Mangotack-Expect-Instance"); expected != "" && expected != t.id {
			t.answerHead(call, "421 Misdirected Request", "Mangotack-Not-Executed: 1\r\n", 0)
			continue
		}
		t.world.targetArrival(t, call)
		if t.reject != nil && t.reject(t, call) {
			continue
		}
		if int(t.waiting.Load()) >= t.queue && int(t.running.Load()) >= t.slots {
			t.answerHead(call, "503 Service Unavailable", "Mangotack-Not-Executed: 1\r\n", 0)
			continue
		}
		// The caller sends one request at a time, so a byte or an end of the connection tells that it has left.
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			if _, err := reader.Peek(1); err != nil {
				select {
				case <-call.gone:
				default:
					close(call.gone)
				}
			}
		}()
		t.waiting.Add(1)
		select {
		case t.slot <- struct{}{}:
			t.waiting.Add(-1)
		case <-call.gone:
			t.waiting.Add(-1)
			return
		}
		t.running.Add(1)
		keep := t.run(t, call)
		t.running.Add(-1)
		<-t.slot
		if !keep {
			return
		}
		<-watched
	}
}

// work lasts for a time, or until the caller has left; it reports whether the work was finished.
func (c *targetCall) work(duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-c.gone:
		return false
	}
}

// seal returns the value of the seal header for a body.
func seal(id string, body []byte) string {
	return fmt.Sprintf("%s.%d.%08x", id, len(body), crc32.ChecksumIEEE(body))
}

func (t *target) answerHead(call *targetCall, status, extra string, length int) {
	fmt.Fprintf(call.conn, "HTTP/1.1 %s\r\nMangotack-Attempt-Id: %s\r\nMangotack-Instance-Id: %s\r\nMangotack-Server-Load: %s\r\nKeep-Alive: timeout=10\r\n%sContent-Length: %d\r\n\r\n",
		status, call.id, t.id, t.load(), extra, length)
}

// answer sends a complete success.
func (t *target) answer(call *targetCall, body []byte) bool {
	t.answerHead(call, "200 OK", "Mangotack-Response-Seal: "+seal(call.id, body)+"\r\n", len(body))
	_, err := call.conn.Write(body)
	return err == nil
}
