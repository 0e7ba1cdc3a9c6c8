package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// uploadBytes is the size of a large body; the operator's configuration allows 64 MiB.
	uploadBytes = 56 << 20
	// uploadRate is the rate at which a client sends a body, in bytes per second. Three of them stay below the link of a
	// machine, 1,000 Mbit/s.
	uploadRate = 40_000_000
	// uploadPeriod is the time between the starts of two uploads in quiet times. In the burst, 1.8 times as many come.
	uploadPeriod   = 2400 * time.Millisecond
	uploadsInBurst = 3
	uploadWork     = 300 * time.Millisecond
	chargeWork     = 330 * time.Millisecond
	memoryGateways = 1
	chargers       = 32
	memoryQuiet    = 15 * time.Second
	memoryBurst    = 5 * time.Second
	memoryAfter    = 10 * time.Second
	// maxLost is the number of requests that the rule LOST tolerates.
	maxLost = 3
)

// memoryCase sends bodies of a size that the configuration allows. In the burst, three of them come at the same time. The
// platform ends a process whose resident memory exceeds its limit.
func memoryCase(w *world) (bool, error) {
	w.configure(7, route{name: "r-upload", prefix: "/upload/", kind: "unsafe", service: "paydesk", timeoutMS: 3000, goalMS: 1500}, route{name: "r-charge", prefix: "/charge/", kind: "unsafe", service: "larder", timeoutMS: 3000, goalMS: 1500})
	for n := range 4 {
		for index, service := range []string{"paydesk", "larder"} {
			err := w.startTarget(&target{
				id: service + "-" + string(rune('a'+n)), service: service, slots: 12, queue: 4,
				address: w.addressOf(10*index + n),
				run: func(t *target, call *targetCall) bool {
					duration := uploadWork
					if t.service == "larder" {
						duration = chargeWork
					}
					return call.work(duration) && t.answer(call, []byte("done "+call.id))
				},
			})
			if err != nil {
				return false, err
			}
		}
	}
	if err := w.startGateways(memoryGateways); err != nil {
		return false, err
	}
	done := make(chan struct{})
	var kills atomic.Int64
	for _, g := range w.gateways {
		go w.limitMemory(g, &kills, done)
	}
	var clients sync.WaitGroup
	var lost atomic.Int64
	for range chargers {
		clients.Go(func() { w.charge(done, &lost) })
	}
	upload := func(count int, period time.Duration) {
		next := time.Now()
		for range count {
			clients.Go(func() { w.post("/upload/x", make([]byte, uploadBytes), uploadRate, nil) })
			next = next.Add(period)
			time.Sleep(time.Until(next))
		}
	}
	for range 2 {
		upload(int(memoryQuiet/uploadPeriod), uploadPeriod)
		w.log("client   burst begins, %d processes were ended for memory before", kills.Load())
		if w.trouble {
			// The uploads of the burst's time come at once.
			for range uploadsInBurst {
				clients.Go(func() { w.post("/upload/x", make([]byte, uploadBytes), uploadRate, nil) })
			}
			time.Sleep(memoryBurst)
		} else {
			upload(int(memoryBurst/uploadPeriod), uploadPeriod)
		}
		w.log("client   burst ends")
	}
	upload(int(memoryAfter/uploadPeriod), uploadPeriod)
	close(done)
	clients.Wait()
	w.log("verdict  %d processes were ended for memory; %d unsafe requests from kept connections reached a sound target and have no answer",
		kills.Load(), lost.Load())
	return lost.Load() > maxLost, nil
}

// limitMemory ends the process of a gateway when it uses more memory than its limit, and starts it again.
func (w *world) limitMemory(g *gateway, kills *atomic.Int64, done <-chan struct{}) {
	peak := 0
	for {
		kb := g.residentKB()
		if kb > peak+8<<10 {
			peak = kb
			w.log("platform %s uses %d MB", g.name, kb>>10)
		}
		if kb > w.memoryMB<<10 {
			w.log("platform %s uses %d MB of %d MB and is killed", g.name, kb>>10, w.memoryMB)
			kills.Add(1)
			g.signal(syscall.SIGKILL)
			time.Sleep(restartDelay)
			g.start()
			peak = 0
		}
		select {
		case <-done:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// post sends one request and returns its answer; without a connection it opens one of its own. rate is in bytes per second.
func (w *world) post(path string, body []byte, rate int, conn *clientConn) (string, result) {
	id := newID()
	if conn == nil {
		var err error
		if conn, err = w.dial(); err != nil {
			return id, result{err: err}
		}
		defer conn.Close()
	}
	began := time.Now()
	deadline := began.Add(3 * time.Second)
	w.log("client   sends %s POST %s, %d bytes, to %s", id, path, len(body), conn.address)
	conn.SetWriteDeadline(deadline)
	_, err := conn.Write([]byte(head(http.MethodPost, path, id, 3*time.Second, len(body), "")))
	for sent := 0; err == nil && sent < len(body); {
		n := min(256<<10, len(body)-sent)
		_, err = conn.Write(body[sent : sent+n])
		sent += n
		time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / float64(rate) * float64(time.Second)))))
	}
	answer := result{err: err}
	if err == nil {
		answer = conn.readAnswer(http.MethodPost, deadline)
	}
	w.log("client   gets for %s: %v", id, answer)
	return id, answer
}

// charge sends small unsafe requests on kept connections until done is closed, and counts those that a target got and that
// have no answer.
func (w *world) charge(done <-chan struct{}, lost *atomic.Int64) {
	var conn *clientConn
	answered := 0
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if conn == nil {
			answered = 0
			if conn, _ = w.dial(); conn == nil {
				continue
			}
		}
		id, answer := w.post("/charge/x", []byte("amount=1"), uploadRate, conn)
		if answer.err == nil {
			answered++
		} else if answered > 0 && len(w.arrivalsOf(id)) > 0 {
			lost.Add(1)
		}
		if answer.err != nil || answer.close {
			conn.Close()
			conn = nil
		}
	}
}
