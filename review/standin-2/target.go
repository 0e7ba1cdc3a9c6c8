package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// target is a stand-in of one target. It runs a request only if the request expects it, and writes its own entry to the store.
type target struct {
	world   *world
	id      string
	service string
	zone    string
	slots   int
	born    int64
	address string

	seq      atomic.Int64
	running  atomic.Int64
	listener net.Listener
	// run answers a request on a connection; it reports whether the connection stays open.
	run func(t *target, conn net.Conn, request *http.Request, body []byte) bool

	mu    sync.Mutex
	state string
	stop  chan struct{}
}

// addTarget starts a target and registers it.
func (w *world) addTarget(id, service, zone string, slots int, run func(*target, net.Conn, *http.Request, []byte) bool) (*target, error) {
	listener, err := net.Listen("tcp", w.base+"200:0")
	if err != nil {
		return nil, err
	}
	t := &target{
		world: w, id: id, service: service, zone: zone, slots: slots, born: time.Now().UnixMilli(),
		address: listener.Addr().String(), listener: listener, run: run, state: "ready", stop: make(chan struct{}),
	}
	go t.serve()
	t.beat()
	go func() {
		ticker := time.NewTicker(1500 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-t.stop:
				return
			case <-ticker.C:
				t.beat()
			}
		}
	}()
	return t, nil
}

// beat writes the entry of the target to the store.
func (t *target) beat() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.world.store.put("keyed.servers", t.id, fmt.Appendf(nil,
		`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"seq":%d,"warmup_left_ms":0}}`,
		t.address, t.born, t.service, t.zone, t.slots, t.state, t.seq.Add(1)))
}

func (t *target) serve() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.serveConn(conn)
	}
}

func (t *target) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if request.URL.Path == "/health" {
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nMangotack-Instance-Id: %s\r\n%sContent-Length: 0\r\n\r\n", t.id, t.load()); err != nil {
				return
			}
			continue
		}
		if expected := request.Header.Get("Mangotack-Expect-Instance"); expected != "" && expected != t.id {
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nMangotack-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", t.id); err != nil {
				return
			}
			continue
		}
		t.running.Add(1)
		stays := t.run(t, conn, request, body)
		t.running.Add(-1)
		if !stays {
			return
		}
	}
}

// load returns the header with the load of the target.
func (t *target) load() string {
	running := int(t.running.Load())
	return fmt.Sprintf("Mangotack-Server-Load: %d,%d,%d,100\r\nKeep-Alive: timeout=10\r\n", min(running, t.slots), max(0, running-t.slots), t.slots)
}

// answer writes a complete answer with the seal of the target.
func (t *target) answer(conn net.Conn, request *http.Request, body []byte) bool {
	head := "HTTP/1.1 200 OK\r\nMangotack-Attempt-Id: " + request.Header.Get("Mangotack-Attempt-Id") +
		"\r\nMangotack-Response-Seal: " + t.id + "\r\n" + t.load() + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	buffers := net.Buffers{[]byte(head), body}
	_, err := buffers.WriteTo(conn)
	return err == nil
}
