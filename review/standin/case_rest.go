package main

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	restTargets = 5
	restTime    = 30 * time.Second
	// restSlack is the time after the refusal in which requests may still arrive, and maxInRest the number that may come later.
	restSlack = 500 * time.Millisecond
	maxInRest = 2
	// cutTime is how long the target is cut off the store.
	cutTime = 5 * time.Second
)

// restCase has one target ask for a rest. While it lasts, the target is cut off the store, so that its entry lapses.
func restCase(w *world) (bool, error) {
	w.configure(7, route{name: "r-menu", prefix: "/menu/", kind: "safe", service: "menuboard", timeoutMS: 2500, goalMS: 300})
	var isAsking atomic.Bool
	var askedAt, inRest atomic.Int64
	var resting *target
	for n := range restTargets {
		t := &target{
			id: "menuboard-" + strconv.Itoa(n), service: "menuboard", slots: 2, queue: 8, address: w.addressOf(n),
			run: func(t *target, call *targetCall) bool {
				return call.work(menuWork) && t.answer(call, []byte("menu"))
			},
		}
		if n == 0 {
			resting = t
			t.reject = func(t *target, call *targetCall) bool {
				if asked := askedAt.Load(); asked > 0 {
					if since := call.arrived.Sub(w.began) - time.Duration(asked); since > restSlack && since < restTime {
						inRest.Add(1)
						w.log("target   %s gets %s %.1f s after it asked for a rest", t.id, call.id, since.Seconds())
					}
					return false
				}
				if !isAsking.Load() {
					return false
				}
				askedAt.Store(int64(call.arrived.Sub(w.began)))
				w.log("target   %s asks for a rest of %v", t.id, restTime)
				t.answerHead(call, "503 Service Unavailable", "Mangotack-Not-Executed: 1\r\nRetry-After: "+strconv.Itoa(int(restTime.Seconds()))+"\r\n", 0)
				return true
			}
		}
		if err := w.startTarget(t); err != nil {
			return false, err
		}
	}
	if err := w.startGateways(1); err != nil {
		return false, err
	}
	done := make(chan struct{})
	var clients sync.WaitGroup
	for range 8 {
		clients.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(100 * time.Millisecond):
				}
				if conn, err := w.dial(); err == nil {
					conn.Write([]byte(head(http.MethodGet, "/menu/x", newID(), 2500*time.Millisecond, 0, "")))
					conn.readAnswer(http.MethodGet, time.Now().Add(3*time.Second))
					conn.Close()
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	isAsking.Store(true)
	time.Sleep(3 * time.Second)
	if w.trouble {
		w.log("target   %s is cut off the store", resting.id)
		resting.silent.Store(true)
		time.Sleep(cutTime)
		resting.silent.Store(false)
		w.log("target   %s reaches the store again", resting.id)
	}
	time.Sleep(restTime - 6*time.Second)
	close(done)
	clients.Wait()
	w.log("verdict  %d requests came within the rest", inRest.Load())
	return inRest.Load() > maxInRest, nil
}
