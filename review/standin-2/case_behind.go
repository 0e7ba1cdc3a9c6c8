package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// The figures of the case. The doses of the fault are within those of the site file.
const (
	behindClients = 10
	behindRounds  = 60 * time.Second
	// behindBytes is the size of a download; pages are the requests behind it.
	behindBytes = 6 << 20
	behindPages = 5
	// garbleShare of the targets of downloads break off every garbleEach-th of their answers.
	garbleShare = 0.4
	garbleEach  = 50
	garbleFor   = 5 * time.Second
	garblePause = time.Second
	// lostTolerance is the number of requests that the rule allows to be lost.
	lostTolerance = 3
)

// playBehind lets targets of downloads break off some of their answers while clients send further requests behind a download.
func playBehind(w *world, hasTrouble bool) int {
	body := bytes.Repeat([]byte("d"), behindBytes)
	var isGarbling atomic.Bool
	var ran sync.Map
	var brokenOff atomic.Int64
	const downloadTargets = 5
	for n := range downloadTargets {
		// inGarble counts the answers of this target while it garbles.
		var inGarble atomic.Int64
		if _, err := w.addTarget(fmt.Sprintf("i-ledger-%d", n), "ledgerhouse", "za", 6, func(t *target, conn net.Conn, r *http.Request, _ []byte) bool {
			time.Sleep(50 * time.Millisecond)
			if n < garbleShare*downloadTargets && isGarbling.Load() && inGarble.Add(1)%garbleEach == 0 {
				brokenOff.Add(1)
				id := r.Header.Get("Mangotack-Attempt-Id")
				w.note("target %s breaks off its answer to %s", t.id, id)
				head := "HTTP/1.1 200 OK\r\nMangotack-Attempt-Id: " + id + "\r\nMangotack-Response-Seal: " + t.id + "\r\n" + t.load() +
					"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
				buffers := net.Buffers{[]byte(head), body[:len(body)*5/6]}
				_, _ = buffers.WriteTo(conn)
				return false
			}
			w.note("target %s runs %s and answers", t.id, r.Header.Get("Mangotack-Attempt-Id"))
			return t.answer(conn, r, body)
		}); err != nil {
			w.say("target: %v", err)
			return cannotRun
		}
		if _, err := w.addTarget(fmt.Sprintf("i-float-%d", n), "floatdesk", "za", 6, func(t *target, conn net.Conn, r *http.Request, _ []byte) bool {
			time.Sleep(20 * time.Millisecond)
			w.note("target %s runs %s", t.id, r.Header.Get("Mangotack-Attempt-Id"))
			ran.Store(r.Header.Get("Mangotack-Attempt-Id"), t.id)
			return t.answer(conn, r, []byte("balance"))
		}); err != nil {
			w.say("target: %v", err)
			return cannotRun
		}
	}
	w.publish(`{"version":"r1","services":[{"name":"ledgerhouse","health_path":"/health","max_connections":260},{"name":"floatdesk","health_path":"/health","max_connections":260}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"virtual_hosts":[{"host":"a.example","paths":[
{"name":"r-ledger","path_prefix":"/ledger/","kind":"download","latency_goal_ms":2000,"priority":2,"service":"ledgerhouse","attempts":2},
{"name":"r-float","path_prefix":"/float/","kind":"safe","timeout_ms":4000,"latency_goal_ms":1500,"priority":2,"service":"floatdesk","attempts":2}]}]}`)
	if _, err := w.addGateway("za", settings{memoryMB: 284, maxFDs: 4100, graceS: 6}); err != nil || !w.awaitReady(20*time.Second) {
		w.say("the gateway is not ready: %v", err)
		return cannotRun
	}
	time.Sleep(4 * time.Second)
	end := time.Now().Add(behindRounds)
	if hasTrouble {
		go func() {
			for time.Now().Before(end) {
				isGarbling.Store(true)
				time.Sleep(garbleFor)
				isGarbling.Store(false)
				time.Sleep(garblePause)
			}
		}()
	}
	var group sync.WaitGroup
	var rounds, lost, notRun atomic.Int64
	for n := range behindClients {
		group.Go(func() {
			for round := 0; time.Now().Before(end); round++ {
				unanswered := pageBehindDownload(w, w.gateways[0], fmt.Sprintf("%d-%d", n, round))
				rounds.Add(1)
				for _, id := range unanswered {
					if by, found := ran.Load(id); found {
						w.note("request %s ran at %v and got no answer", id, by)
						lost.Add(1)
					} else {
						notRun.Add(1)
					}
				}
			}
		})
	}
	group.Wait()
	w.say("%d downloads with %d requests behind each; %d answers were broken off by their target", rounds.Load(), behindPages, brokenOff.Load())
	w.say("requests that ran at a sound target and got no answer: %d (the rule allows %d); that were not passed on: %d", lost.Load(), lostTolerance, notRun.Load())
	switch {
	case rounds.Load() < 50 || w.gateways[0].hasExited():
		return cannotRun
	case lost.Load() > lostTolerance:
		return broken
	default:
		return held
	}
}

// pageBehindDownload sends a first request on a new connection, and when that is answered a download with requests behind it. It
// returns the ids of the requests behind that got no answer.
func pageBehindDownload(w *world, g *gateway, name string) (unanswered []string) {
	conn, err := net.Dial("tcp", g.front())
	if err != nil {
		return nil
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReaderSize(conn, 64<<10)
	request := func(path, id string) string {
		return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nMangotack-Attempt-Id: " + id + "\r\nMangotack-Request-Deadline: 8000\r\n\r\n"
	}
	read := func() bool {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return false
		}
		_, err = io.Copy(io.Discard, response.Body)
		return err == nil
	}
	_, _ = io.WriteString(conn, request("/float/a", "kept-"+name))
	if !read() {
		return nil
	}
	text := request("/ledger/b", "download-"+name)
	for n := range behindPages {
		id := fmt.Sprintf("behind-%s-%d", name, n)
		text += request("/float/c", id)
		unanswered = append(unanswered, id)
	}
	_, _ = io.WriteString(conn, text)
	w.note("client sends download-%s and %d requests behind it", name, behindPages)
	for n := range behindPages + 1 {
		if !read() {
			w.note("connection of download-%s ended; %d answers were whole", name, n)
			return unanswered[max(0, n-1):]
		}
	}
	w.note("download-%s and all requests behind it are answered", name)
	return nil
}
