package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// packBytes is the length of a recipe pack, which its target produces in pieces while it sends it.
	packBytes  = 20 << 20
	packPieces = 400
	// A target makes a pack in packWork alone, and in twice the time while both of its slots are in use.
	packWork     = 5750 * time.Millisecond
	packTargets  = 5
	packSlots    = 2
	fullFactor   = 2
	packDeadline = 12 * time.Second
	// usualClients come in each round, usualGap apart, and burstClients at once in a burst.
	usualClients = 5
	usualGap     = 400 * time.Millisecond
	burstClients = 9
	packRounds   = 4
	packPause    = 5 * time.Second
	// listPath is the path of a request with a short answer, with which a client begins on a new connection.
	listPath = "/pack/list"
)

// streamCase requests downloads. In a burst, they take longer than usual, because the targets are full, but not as long as their
// deadline and the route's timeout.
func streamCase(w *world) (bool, error) {
	w.configure(7, route{name: "r-pack", prefix: "/pack/", kind: "download", service: "packshelf", timeoutMS: 12000, goalMS: 6000, attempts: 1})
	pack := []byte(strings.Repeat("recipe  ", packBytes/8))
	for n := range packTargets {
		err := w.startTarget(&target{
			id: fmt.Sprint("packshelf-", n), service: "packshelf", slots: packSlots, queue: 4, address: w.addressOf(n),
			run: func(t *target, call *targetCall) bool {
				if call.request.URL.Path == listPath {
					return call.work(10*time.Millisecond) && t.answer(call, []byte("packs"))
				}
				t.answerHead(call, "200 OK", "Mangotack-Response-Seal: "+seal(call.id, pack)+"\r\n", len(pack))
				next := time.Now()
				for piece := range packPieces {
					step := packWork / packPieces
					if t.running.Load() >= packSlots {
						step *= fullFactor
					}
					next = next.Add(step)
					if !call.work(time.Until(next)) {
						w.log("target   %s: the caller of %s has left after %.2f s", t.id, call.id, time.Since(call.arrived).Seconds())
						return false
					}
					if _, err := call.conn.Write(pack[piece*len(pack)/packPieces : (piece+1)*len(pack)/packPieces]); err != nil {
						w.log("target   %s: the caller of %s has left after %.2f s", t.id, call.id, time.Since(call.arrived).Seconds())
						return false
					}
				}
				w.log("target   %s has sent the whole answer to %s after %.2f s", t.id, call.id, time.Since(call.arrived).Seconds())
				return true
			},
		})
		if err != nil {
			return false, err
		}
	}
	if err := w.startGateways(3); err != nil {
		return false, err
	}
	var lost, whole, others atomic.Int64
	conns := make([]*clientConn, burstClients)
	usedAt := make([]time.Time, burstClients)
	for range packRounds {
		count := usualClients
		if w.trouble {
			count = burstClients
		}
		w.log("clients  %d come at once", count)
		var clients sync.WaitGroup
		for n := range count {
			clients.Go(func() {
				if !w.trouble {
					time.Sleep(time.Duration(n) * usualGap)
				}
				if conns[n] != nil && time.Since(usedAt[n]) > maxClientIdle {
					conns[n].Close()
					conns[n] = nil
				}
				if conns[n] == nil {
					conns[n] = w.dialKept()
				}
				conn := conns[n]
				if conn == nil {
					others.Add(1)
					return
				}
				id := newID()
				began := time.Now()
				w.log("client   sends %s GET /pack/x to %s", id, conn.address)
				conn.Write([]byte(head(http.MethodGet, "/pack/x", id, packDeadline, 0, "")))
				answer := conn.readAnswer(http.MethodGet, began.Add(packDeadline))
				took := time.Since(began)
				w.log("client   gets for %s: %v, after %.2f s", id, answer, took.Seconds())
				switch {
				case answer.isSuccess(id):
					whole.Add(1)
				case answer.err != nil && len(w.arrivalsOf(id)) > 0 && took < packDeadline-100*time.Millisecond:
					lost.Add(1)
				default:
					others.Add(1)
				}
				if answer.err != nil || answer.close {
					conn.Close()
					conns[n] = nil
				}
				if conns[n] != nil {
					usedAt[n] = time.Now()
				}
			})
		}
		clients.Wait()
		time.Sleep(packPause)
	}
	w.log("verdict  %d whole answers, %d others; %d requests were passed on to a sound target, and their connection was closed before their deadline without the whole answer",
		whole.Load(), others.Load(), lost.Load())
	return lost.Load() > maxLost, nil
}

// dialKept opens a connection and sends a first request on it, or returns nil.
func (w *world) dialKept() *clientConn {
	conn, err := w.dial()
	if err != nil {
		return nil
	}
	id := newID()
	conn.Write([]byte(head(http.MethodGet, listPath, id, packDeadline, 0, "")))
	answer := conn.readAnswer(http.MethodGet, time.Now().Add(packDeadline))
	w.log("client   gets for %s: %v", id, answer)
	if !answer.isSuccess(id) || answer.close {
		conn.Close()
		return nil
	}
	return conn
}
