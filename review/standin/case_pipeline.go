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
	// longAnswer is the length of an answer with pictures, and brokenAnswer what a faulty target sends of it.
	longAnswer   = 1200 << 10
	brokenAnswer = 1100 << 10
	// Half of the targets of the pictures break off one in garbleInterval of their answers, twice for garbleTime.
	garbleInterval = 50
	garbleTime     = 5 * time.Second
	garblePause    = 4 * time.Second
	pipelineDepth  = 5
	// Each of the clients sends its batches one after the other.
	pipelineClients = 12
	menuWork        = 120 * time.Millisecond
)

// pipelineCase sends safe requests before earlier ones are answered. The target of the first request of a batch may break
// off its answer; those of the requests behind it are sound.
func pipelineCase(w *world) (bool, error) {
	w.configure(7, route{name: "r-pictures", prefix: "/pictures/", kind: "safe", service: "packshelf", timeoutMS: 2500, goalMS: 400}, route{name: "r-menu", prefix: "/menu/", kind: "safe", service: "menuboard", timeoutMS: 2500, goalMS: 300})
	pictures := []byte(strings.Repeat("picture ", longAnswer/8))
	var faultyAnswers, brokenOff atomic.Int64
	var isGarbling atomic.Bool
	for n := range 6 {
		isFaulty := n < 3
		err := w.startTarget(&target{
			id: fmt.Sprint("packshelf-", n), service: "packshelf", slots: 8, queue: 8, address: w.addressOf(n),
			run: func(t *target, call *targetCall) bool {
				if !call.work(20 * time.Millisecond) {
					return false
				}
				if !isFaulty || !isGarbling.Load() || faultyAnswers.Add(1)%garbleInterval != 0 {
					return t.answer(call, pictures)
				}
				brokenOff.Add(1)
				w.log("target   %s breaks off its answer to %s", t.id, call.id)
				t.answerHead(call, "200 OK", "Mangotack-Response-Seal: "+seal(call.id, pictures)+"\r\n", len(pictures))
				call.conn.Write(pictures[:brokenAnswer])
				return false
			},
		})
		if err != nil {
			return false, err
		}
	}
	for n := range 8 {
		err := w.startTarget(&target{
			id: fmt.Sprint("menuboard-", n), service: "menuboard", slots: 8, queue: 8, address: w.addressOf(10 + n),
			run: func(t *target, call *targetCall) bool {
				return call.work(menuWork) && t.answer(call, []byte("menu for "+call.id))
			},
		})
		if err != nil {
			return false, err
		}
	}
	if err := w.startGateways(1); err != nil {
		return false, err
	}
	var lost, answered atomic.Int64
	var clients sync.WaitGroup
	done := make(chan struct{})
	for range pipelineClients {
		clients.Go(func() {
			var conn *clientConn
			for {
				select {
				case <-done:
					return
				case <-time.After(100 * time.Millisecond):
				}
				if conn == nil {
					if conn, _ = w.dial(); conn == nil {
						continue
					}
					// The connection is a kept one from its first answer on.
					id := newID()
					conn.Write([]byte(head(http.MethodGet, "/menu/first", id, 2500*time.Millisecond, 0, "")))
					if answer := conn.readAnswer(http.MethodGet, time.Now().Add(3*time.Second)); !answer.isSuccess(id) {
						w.log("client   gets for %s: %v", id, answer)
						conn.Close()
						conn = nil
						continue
					}
				}
				if !w.sendBatch(conn, &lost, &answered) {
					conn.Close()
					conn = nil
				}
			}
		})
	}
	for range 2 {
		time.Sleep(garblePause)
		isGarbling.Store(w.trouble)
		time.Sleep(garbleTime)
		isGarbling.Store(false)
	}
	time.Sleep(garblePause)
	close(done)
	clients.Wait()
	w.log("verdict  %d answers were broken off; of the requests to sound targets behind them, %d were answered, and %d reached their target and have no answer",
		brokenOff.Load(), answered.Load(), lost.Load())
	return lost.Load() > maxLost, nil
}

// sendBatch sends one request for pictures and others for menus behind it; it returns false if the connection has ended.
func (w *world) sendBatch(conn *clientConn, lost, answered *atomic.Int64) bool {
	ids := make([]string, pipelineDepth)
	var text strings.Builder
	for n := range ids {
		ids[n] = newID()
		path := "/menu/x"
		if n == 0 {
			path = "/pictures/x"
		}
		text.WriteString(head(http.MethodGet, path, ids[n], 2500*time.Millisecond, 0, ""))
		w.log("client   sends %s GET %s to %s", ids[n], path, conn.address)
	}
	conn.Write([]byte(text.String()))
	deadline := time.Now().Add(3 * time.Second)
	isOpen := true
	for n, id := range ids {
		answer := result{err: fmt.Errorf("connection has ended")}
		if isOpen {
			answer = conn.readAnswer(http.MethodGet, deadline)
		}
		w.log("client   gets for %s: %v", id, answer)
		isOpen = isOpen && answer.err == nil && !answer.close
		switch {
		case n == 0:
		case answer.err == nil:
			answered.Add(1)
		case len(w.arrivalsOf(id)) > 0:
			lost.Add(1)
		}
	}
	return isOpen
}
