package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	pageBytes  = 6 << 20
	pagePieces = 40
	pageWork   = 100 * time.Millisecond
	// Two of the five targets are slow: their work takes pageSlowness times as long.
	pageTargets  = 5
	pageSlow     = 2
	pageSlowness = 12
	pageSlowTime = 9 * time.Second
	pageClients  = 3
	// secondAfter is when a client sends its second request, whether the first is answered or not. bodyAfter is how long it
	// waits for "100 Continue" before it sends the body.
	secondAfter = 500 * time.Millisecond
	bodyAfter   = time.Second
)

// interimCase sends a request that expects "100 Continue" behind one whose answer is under way, because its target is slow.
func interimCase(w *world) (bool, error) {
	w.configure(7, route{name: "r-menu", prefix: "/menu/", kind: "safe", service: "menuboard", timeoutMS: 2500, goalMS: 300, attempts: 1})
	page := []byte(strings.Repeat("menu    ", pageBytes/8))
	var isSlow atomic.Bool
	for n := range pageTargets {
		err := w.startTarget(&target{
			id: fmt.Sprint("menuboard-", n), service: "menuboard", slots: 4, queue: 4, address: w.addressOf(n),
			run: func(t *target, call *targetCall) bool {
				t.answerHead(call, "200 OK", "Mangotack-Response-Seal: "+seal(call.id, page)+"\r\n", len(page))
				for piece := range pagePieces {
					step := pageWork / pagePieces
					if n < pageSlow && isSlow.Load() {
						step *= pageSlowness
					}
					if !call.work(step) {
						return false
					}
					if _, err := call.conn.Write(page[piece*len(page)/pagePieces : (piece+1)*len(page)/pagePieces]); err != nil {
						return false
					}
				}
				return true
			},
		})
		if err != nil {
			return false, err
		}
	}
	if err := w.startGateways(1); err != nil {
		return false, err
	}
	isSlow.Store(w.trouble)
	if w.trouble {
		w.log("targets  %d of %d targets turn slow for %v", pageSlow, pageTargets, pageSlowTime)
		time.AfterFunc(pageSlowTime, func() { isSlow.Store(false) })
	}
	end := time.Now().Add(pageSlowTime)
	var wrong, right, others atomic.Int64
	var clients sync.WaitGroup
	for range pageClients {
		clients.Go(func() {
			for time.Now().Before(end) {
				w.searchBehindPage(&wrong, &right, &others)
			}
		})
	}
	clients.Wait()
	w.log("verdict  %d right answers, %d others, %d successes with another body than the target's", right.Load(), others.Load(), wrong.Load())
	return wrong.Load() > 0, nil
}

// searchBehindPage requests a page, and then a search in the menu on the same connection.
func (w *world) searchBehindPage(wrong, right, others *atomic.Int64) {
	const search = "filter=vegan"
	conn, err := w.dial()
	if err != nil {
		return
	}
	defer conn.Close()
	first, second := newID(), newID()
	deadline := time.Now().Add(4 * time.Second)
	w.log("client   sends %s GET /menu/page", first)
	conn.Write([]byte(head(http.MethodGet, "/menu/page", first, 2500*time.Millisecond, 0, "")))
	continued := make(chan struct{})
	var sender sync.WaitGroup
	sender.Go(func() {
		time.Sleep(secondAfter)
		w.log("client   sends %s POST /menu/search with Expect: 100-continue", second)
		conn.Write([]byte(head(http.MethodPost, "/menu/search", second, 2500*time.Millisecond, len(search), "Expect: 100-continue\r\n")))
		select {
		case <-continued:
		case <-time.After(bodyAfter):
		}
		io.WriteString(conn, search)
	})
	defer sender.Wait()
	for _, id := range []string{first, second} {
		answer := conn.readAnswer(http.MethodGet, deadline)
		if answer.err == nil && answer.status == http.StatusContinue {
			w.log("client   gets 100 Continue")
			close(continued)
			answer = conn.readAnswer(http.MethodGet, deadline)
		}
		w.log("client   gets for %s: %v", id, answer)
		switch {
		case answer.isSuccess(id):
			right.Add(1)
		case answer.err == nil && answer.status/100 == 2 && answer.id == id:
			wrong.Add(1)
			w.log("client   the body of the answer to %s isn't the target's; it contains an interim response at byte %d",
				id, strings.Index(string(answer.body), "HTTP/1.1 100 Continue"))
		default:
			others.Add(1)
		}
		if answer.err != nil {
			return
		}
	}
}
