package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The figures of the case.
const (
	drainClients = 12
	// drainBytes is the size of a download; the sheet's mean is 90,000 and its maximum 540,000.
	drainBytes = 300_000
	// clientRate is what the link of a client carries in bytes a second, some 0.8 Mbit/s, so that a download takes 3 s.
	clientRate = 100_000
	// termAfter is when SIGTERM is sent, from the start of the downloads, and secondAfter when a client sends its next request.
	termAfter   = 500 * time.Millisecond
	secondAfter = 2200 * time.Millisecond
)

// playDrain stops a machine in order while clients read downloads over slow links and send a further request meanwhile.
func playDrain(w *world, hasTrouble bool) int {
	body := bytes.Repeat([]byte("0123456789"), drainBytes/10)
	for n := range 4 {
		if _, err := w.addTarget(fmt.Sprintf("i-ledger-%d", n), "ledgerhouse", "za", 6, func(t *target, conn net.Conn, r *http.Request, _ []byte) bool {
			time.Sleep(96 * time.Millisecond)
			w.note("target %s runs %s and answers", t.id, r.Header.Get("Mangotack-Attempt-Id"))
			return t.answer(conn, r, body)
		}); err != nil {
			w.say("target: %v", err)
			return cannotRun
		}
	}
	w.publish(`{"version":"r1","services":[{"name":"ledgerhouse","health_path":"/health","max_connections":260}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"virtual_hosts":[{"host":"a.example","paths":[
{"name":"r-ledger","path_prefix":"/ledger/","kind":"download","latency_goal_ms":2000,"priority":2,"service":"ledgerhouse","attempts":2}]}]}`)
	for n := range 2 {
		if _, err := w.addGateway([]string{"za", "zb"}[n], settings{memoryMB: 284, maxFDs: 4100, graceS: 6}); err != nil {
			w.say("gateway: %v", err)
			return cannotRun
		}
	}
	if !w.awaitReady(20 * time.Second) {
		w.say("the gateways are not ready")
		return cannotRun
	}
	// The first calm request shows that the way is open.
	time.Sleep(4 * time.Second)
	g := w.gateways[0]
	var group sync.WaitGroup
	var whole, lost atomic.Int64
	started := time.Now()
	for n := range drainClients {
		group.Go(func() {
			switch got, err := download(w, g, n, started, body); {
			case err == nil:
				whole.Add(1)
			default:
				w.note("client %d: the answer ended after %d of %d bytes: %v", n, got, len(body), err)
				lost.Add(1)
			}
		})
	}
	time.Sleep(time.Until(started.Add(termAfter)))
	if hasTrouble {
		g.signal(syscall.SIGTERM)
	}
	group.Wait()
	w.say("%d downloads, %d arrived whole, %d were cut", drainClients, whole.Load(), lost.Load())
	if whole.Load()+lost.Load() != drainClients {
		return cannotRun
	}
	if lost.Load() > 0 {
		return broken
	}
	return held
}

// download reads one answer at the rate of the client's link, and sends a second request before the first is answered in full.
func download(w *world, g *gateway, n int, started time.Time, body []byte) (got int, err error) {
	dialer := net.Dialer{
		Control: func(_, _ string, raw syscall.RawConn) error {
			// The link of the client has a small window.
			return raw.Control(func(descriptor uintptr) {
				_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
			})
		},
	}
	conn, err := dialer.Dial("tcp", g.front())
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	request := "GET /ledger/%d HTTP/1.1\r\nHost: a.example\r\nMangotack-Attempt-Id: %s%d\r\nMangotack-Request-Deadline: 8000\r\n\r\n"
	fmt.Fprintf(conn, request, n, "first", n)
	w.note("client %d sends its first request", n)
	go func() {
		time.Sleep(time.Until(started.Add(secondAfter)))
		w.note("client %d sends its second request", n)
		fmt.Fprintf(conn, request, n, "second", n)
	}()
	_ = conn.SetReadDeadline(time.Now().Add(8 * time.Second))
	reader := bufio.NewReaderSize(conn, 4<<10)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", response.StatusCode)
	}
	w.note("client %d gets a head with Connection %q and Content-Length %d", n, response.Header.Get("Connection"), response.ContentLength)
	piece := make([]byte, clientRate/20)
	for {
		read, err := io.ReadFull(response.Body, piece)
		if !bytes.Equal(piece[:read], body[got:got+read]) {
			return got, fmt.Errorf("wrong bytes")
		}
		got += read
		if got == len(body) {
			w.note("client %d has its whole answer %.1f s after the start", n, time.Since(started).Seconds())
			return got, nil
		}
		if err != nil {
			return got, err
		}
		time.Sleep(time.Second / 20)
	}
}
