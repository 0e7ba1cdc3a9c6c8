package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	receiptDeadline = 1200 * time.Millisecond
	receiptGateways = 3
	receiptClients  = 300
	receiptTargets  = 20
	// receiptBytes is the length of an answer with a scan of the receipt. One request in scanDivisor asks for one.
	receiptBytes = 1100 << 10
	scanDivisor  = 5
	// refusalPause is the time after which a refused client sends its next request.
	refusalPause = 150 * time.Millisecond
	// plainWork is the time that a request without a scan takes. One with a scan takes an eighth of its deadline, less up to
	// scanSpread, and greySlowness times as long in the disruption.
	plainWork    = 10 * time.Millisecond
	scanSpread   = 14 * time.Millisecond
	greySlowness = 8
	greyTime     = 8500 * time.Millisecond
	greyPause    = time.Second
	greyRounds   = 8
)

// refusedCase sends unsafe requests, some of which finish shortly before their deadline, because their targets are slow.
func refusedCase(w *world) (bool, error) {
	w.configure(7, route{name: "r-receipt", prefix: "/receipt/", kind: "unsafe", service: "receipts", timeoutMS: 2500, goalMS: 1000})
	scan := []byte(strings.Repeat("receipt ", receiptBytes/8))
	// greyUntil is the end of the disruption, counted from the begin of the run, or 0.
	var greyUntil atomic.Int64
	var ran sync.Map
	for n := range receiptTargets {
		err := w.startTarget(&target{
			id: fmt.Sprint("receipts-", n), service: "receipts", slots: 24, queue: 4, address: w.addressOf(n),
			run: func(t *target, call *targetCall) bool {
				isScan := strings.HasSuffix(call.request.URL.Path, "/scan")
				duration := plainWork
				if isScan {
					// The work on a scan would last for this time, eight times as long as usual, while the target is grey: it ends
					// shortly before the deadline that the target received.
					ms, _ := strconv.Atoi(call.request.Header.Get("Mangotack-Request-Deadline"))
					slow := time.Duration(ms)*time.Millisecond - time.Duration(rand.Float64()*float64(scanSpread))
					duration = slow / greySlowness
					// Work that would last beyond the disruption is not slow.
					if end := call.arrived.Add(slow).Sub(w.began); int64(end) < greyUntil.Load() {
						duration = slow
					}
				}
				if !call.work(time.Until(call.arrived.Add(duration))) {
					return false
				}
				ran.Store(call.id, time.Now())
				w.log("target   %s has run %s", t.id, call.id)
				if isScan {
					return t.answer(call, scan)
				}
				return t.answer(call, []byte("receipt "+call.id))
			},
		})
		if err != nil {
			return false, err
		}
	}
	if err := w.startGateways(receiptGateways); err != nil {
		return false, err
	}
	var refusedRun, answered, others atomic.Int64
	done := make(chan struct{})
	var clients sync.WaitGroup
	for range receiptClients {
		clients.Go(func() {
			var conn *clientConn
			for {
				select {
				case <-done:
					return
				default:
				}
				if conn == nil {
					if conn, _ = w.dial(); conn == nil {
						continue
					}
				}
				id := newID()
				path := "/receipt/plain"
				if rand.IntN(scanDivisor) == 0 {
					path = "/receipt/scan"
				}
				w.log("client   sends %s POST %s", id, path)
				conn.Write([]byte(head(http.MethodPost, path, id, receiptDeadline, 0, "")))
				answer := conn.readAnswer(http.MethodPost, time.Now().Add(3*time.Second))
				w.log("client   gets for %s: %v", id, answer)
				_, hasRun := ran.Load(id)
				if answer.err == nil && answer.status == http.StatusServiceUnavailable {
					time.Sleep(refusalPause)
				}
				switch {
				case answer.isSuccess(id):
					answered.Add(1)
				case answer.err == nil && answer.status == http.StatusServiceUnavailable && hasRun:
					refusedRun.Add(1)
					w.log("client   is told by 503 that %s has not run, and a target has run it", id)
				default:
					others.Add(1)
				}
				if answer.err != nil || answer.close {
					conn.Close()
					conn = nil
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	for range greyRounds {
		if w.trouble {
			w.log("targets  turn grey for %v", greyTime)
			greyUntil.Store(int64(time.Since(w.began) + greyTime))
		}
		time.Sleep(greyTime)
		time.Sleep(greyPause)
	}
	close(done)
	clients.Wait()
	w.log("verdict  %d whole answers, %d others; %d unsafe requests were answered 503 and had run", answered.Load(), others.Load(), refusedRun.Load())
	return refusedRun.Load() > 0, nil
}
