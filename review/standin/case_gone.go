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
	goneDepth   = 24
	goneClients = 4
	goneRounds  = 4
	checkWork   = 1200 * time.Millisecond
	// leaveAfter is when a client leaves: half of the latency objective.
	leaveAfter = 150 * time.Millisecond
	// leaveBound is when the target must have stopped, after the client has left.
	leaveBound = 500 * time.Millisecond
	// maxLate is the number of requests that may reach a target later than that; the rule says a few.
	maxLate = 5
)

// goneCase lets clients leave that have sent many safe requests before the first was answered.
func goneCase(w *world) (bool, error) {
	w.configure(7, route{name: "r-check", prefix: "/check/", kind: "safe", service: "floatdesk", timeoutMS: 2500, goalMS: 300})
	var mu sync.Mutex
	left := map[string]time.Time{}
	var atWork, stopped, late atomic.Int64
	for n := range 23 {
		err := w.startTarget(&target{
			id: fmt.Sprint("floatdesk-", n), service: "floatdesk", slots: 6, queue: 4, address: w.addressOf(n),
			run: func(t *target, call *targetCall) bool {
				finished := call.work(checkWork)
				mu.Lock()
				leftAt, hasLeft := left[call.id]
				mu.Unlock()
				if hasLeft {
					after := time.Since(leftAt)
					w.log("target   %s stops work on %s %.3f s after its client has left, finished: %v", t.id, call.id, after.Seconds(), finished)
					switch {
					case call.arrived.After(leftAt.Add(leaveBound)):
						late.Add(1)
					case after > leaveBound:
						atWork.Add(1)
					default:
						stopped.Add(1)
					}
				}
				return finished && t.answer(call, []byte("float for "+call.id))
			},
		})
		if err != nil {
			return false, err
		}
	}
	if err := w.startGateways(1); err != nil {
		return false, err
	}
	for range goneRounds {
		var clients sync.WaitGroup
		for range goneClients {
			clients.Go(func() {
				conn, err := w.dial()
				if err != nil {
					return
				}
				var text strings.Builder
				ids := make([]string, goneDepth)
				for n := range ids {
					ids[n] = newID()
					text.WriteString(head(http.MethodGet, "/check/x", ids[n], 2500*time.Millisecond, 0, ""))
					w.log("client   sends %s GET /check/x", ids[n])
				}
				conn.Write([]byte(text.String()))
				if !w.trouble {
					for range ids {
						conn.readAnswer(http.MethodGet, time.Now().Add(3*time.Second))
					}
					conn.Close()
					return
				}
				time.Sleep(leaveAfter)
				mu.Lock()
				for _, id := range ids {
					left[id] = time.Now()
				}
				mu.Unlock()
				conn.Close()
				w.log("client   leaves")
			})
		}
		clients.Wait()
		time.Sleep(3 * time.Second)
	}
	total := atWork.Load() + stopped.Load()
	w.log("verdict  targets were at work on %d of %d requests half a second after their client had left; %d requests reached a target later than that",
		atWork.Load(), total, late.Load())
	return atWork.Load()*4 > total || late.Load() > maxLate, nil
}
