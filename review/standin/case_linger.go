package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// linkRate is the rate of a machine's link, 10 Mbit/s, in bytes per second, and linkBuffer the receive buffer of its client.
	linkRate   = 1_250_000
	linkBuffer = 128 << 10
	// leafletBytes is the length of a long answer.
	leafletBytes   = 1000 << 10
	leafletWork    = 100 * time.Millisecond
	furtherEvery   = 150 * time.Millisecond
	lingerPause    = 2000 * time.Millisecond
	lingerRestarts = 6
	lingerGap      = 9 * time.Second
)

// slowLink is the client's end of a connection over a slow link.
type slowLink struct {
	net.Conn
	next time.Time
}

// Read reads no faster than the link.
func (s *slowLink) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p[:min(len(p), linkBuffer/8)])
	if now := time.Now(); s.next.Before(now) {
		s.next = now
	}
	s.next = s.next.Add(time.Duration(n) * time.Second / linkRate)
	time.Sleep(time.Until(s.next))
	return n, err
}

// lingerCase stops gateways while clients receive long answers and send further requests.
func lingerCase(w *world) (bool, error) {
	w.configure(7, route{name: "r-leaflet", prefix: "/leaflet/", kind: "safe", service: "menuboard", timeoutMS: 4000, goalMS: 2000},
		route{name: "r-menu", prefix: "/menu/", kind: "safe", service: "menuboard", timeoutMS: 4000, goalMS: 2000})
	leaflet := []byte(strings.Repeat("leaflet ", leafletBytes/8))
	for n := range 8 {
		err := w.startTarget(&target{
			id: fmt.Sprint("menuboard-", n), service: "menuboard", slots: 4, queue: 8, address: w.addressOf(n),
			run: func(t *target, call *targetCall) bool {
				if !call.work(leafletWork) {
					return false
				}
				if strings.HasPrefix(call.request.URL.Path, "/leaflet/") {
					return t.answer(call, leaflet)
				}
				return t.answer(call, []byte("menu"))
			},
		})
		if err != nil {
			return false, err
		}
	}
	w.linkMbps = 10
	if err := w.startGateways(2); err != nil {
		return false, err
	}
	var lost, whole, others atomic.Int64
	done := make(chan struct{})
	asked := make(chan string)
	var client sync.WaitGroup
	client.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(lingerPause):
				w.leafletSession(done, asked, &lost, &whole, &others)
			}
		}
	})
	time.Sleep(lingerGap)
	for range lingerRestarts {
		var address string
		select {
		case address = <-asked:
		case <-time.After(lingerGap):
			return false, fmt.Errorf("the client sends nothing")
		}
		// The machine is stopped while it answers a request.
		time.Sleep(leafletWork / 2)
		for _, g := range w.gateways {
			if g.front() != address || !w.trouble {
				continue
			}
			w.log("platform sends SIGTERM to %s", g.name)
			g.signal(syscall.SIGTERM)
			go func() {
				for g.pid() != 0 {
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(restartDelay)
				g.start()
			}()
		}
		time.Sleep(lingerGap)
	}
	close(done)
	client.Wait()
	w.log("verdict  %d whole answers, %d others; %d requests were passed on to a target, and their connection ended without the whole answer",
		whole.Load(), others.Load(), lost.Load())
	return lost.Load() > 0, nil
}

// leafletSession requests leaflets on one connection until it ends. While an answer is on its way, it sends further requests.
func (w *world) leafletSession(done <-chan struct{}, asked chan<- string, lost, whole, others *atomic.Int64) {
	conn, err := w.dial()
	if err != nil {
		return
	}
	defer conn.Close()
	conn.Conn.(*net.TCPConn).SetReadBuffer(linkBuffer)
	conn.reader.Reset(&slowLink{Conn: conn.Conn})
	for {
		select {
		case <-done:
			return
		default:
		}
		var mu sync.Mutex
		ids := []string{newID()}
		w.log("client   sends %s GET /leaflet/x to %s", ids[0], conn.address)
		io.WriteString(conn, head(http.MethodGet, "/leaflet/x", ids[0], 4*time.Second, 0, ""))
		select {
		case asked <- conn.address:
		default:
		}
		first := make(chan struct{})
		var sender sync.WaitGroup
		sender.Go(func() {
			for {
				select {
				case <-first:
					return
				case <-time.After(furtherEvery):
				}
				id := newID()
				mu.Lock()
				ids = append(ids, id)
				mu.Unlock()
				w.log("client   sends %s GET /menu/x behind it", id)
				if _, err := io.WriteString(conn, head(http.MethodGet, "/menu/x", id, 4*time.Second, 0, "")); err != nil {
					return
				}
			}
		})
		isClosed := false
		for n := 0; ; n++ {
			mu.Lock()
			count := len(ids)
			mu.Unlock()
			if n >= count {
				break
			}
			answer := conn.readAnswer(http.MethodGet, time.Now().Add(5*time.Second))
			w.log("client   gets for %s: %v, close: %v", ids[n], answer, answer.close)
			if n == 0 {
				close(first)
				sender.Wait()
			}
			switch {
			case answer.isSuccess(ids[n]):
				whole.Add(1)
			case n == 0 && answer.err != nil && len(w.arrivalsOf(ids[n])) > 0:
				lost.Add(1)
				w.log("client   has %d of %d bytes of the answer to %s", len(answer.body), leafletBytes, ids[n])
			default:
				others.Add(1)
			}
			if isClosed = answer.err != nil || answer.close; isClosed {
				break
			}
		}
		if isClosed {
			return
		}
		time.Sleep(lingerPause)
	}
}
