package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// historyGateways machines of the smallest size take part.
	historyGateways = 3
	historyMemoryMB = 184
	historyCPUShare = 0.16
	historyLinkMbps = 10
	// idleRoutes is the number of routes without traffic by which the configuration has grown. Its record stays below the
	// maxRecordBytes of the store.
	idleRoutes = 1620
	// In a storm of stormTime at most, changes come stormGap or more after each other. A storm begins every stormPeriod.
	stormGap       = 60 * time.Millisecond
	stormTime      = 1500 * time.Millisecond
	stormPeriod    = 2500 * time.Millisecond
	storms         = 32
	maxRecordBytes = 262144
	// quietPeriod is the time between two changes of the configuration without a disruption.
	quietPeriod = 8 * time.Second
)

// historyCase changes a configuration with many routes again and again. The platform ends a process whose resident memory
// exceeds its limit.
func historyCase(w *world) (bool, error) {
	w.memoryMB, w.cpuShare, w.linkMbps = historyMemoryMB, historyCPUShare, historyLinkMbps
	version := 7
	change := func() {
		version += 2
		w.configure(version, w.grownRoutes(version)...)
	}
	change()
	size := w.store.size("keyed.op", "config")
	w.log("operator's configuration has %d routes and %d bytes", idleRoutes+1, size)
	if size > maxRecordBytes {
		return false, fmt.Errorf("the configuration has %d bytes, and the store takes %d", size, maxRecordBytes)
	}
	for n := range 4 {
		err := w.startTarget(&target{
			id: fmt.Sprint("larder-", n), service: "larder", slots: 12, queue: 4, address: w.addressOf(n),
			run: func(t *target, call *targetCall) bool {
				return call.work(chargeWork) && t.answer(call, []byte("done "+call.id))
			},
		})
		if err != nil {
			return false, err
		}
	}
	if err := w.startGateways(historyGateways); err != nil {
		return false, err
	}
	done := make(chan struct{})
	var kills, lost atomic.Int64
	for _, g := range w.gateways {
		go w.limitMemory(g, &kills, done)
	}
	var clients sync.WaitGroup
	for range chargers {
		clients.Go(func() { w.charge(done, &lost) })
	}
	next := time.Now()
	for n := range storms {
		// The margin is for the time that a change takes.
		for end := time.Now().Add(stormTime - stormGap); w.trouble && time.Now().Before(end); time.Sleep(stormGap) {
			change()
		}
		if !w.trouble && n%int(quietPeriod/stormPeriod) == 0 {
			change()
		}
		next = next.Add(stormPeriod)
		time.Sleep(time.Until(next))
	}
	close(done)
	clients.Wait()
	w.log("verdict  after %d changes, %d processes were ended for memory; %d unsafe requests from kept connections reached a sound target and have no answer",
		(version-9)/2, kills.Load(), lost.Load())
	return lost.Load() > maxLost, nil
}

// grownRoutes returns the routes of a version: the one with traffic and many without any.
func (w *world) grownRoutes(version int) []route {
	routes := []route{{name: "r-charge", prefix: "/charge/", kind: "unsafe", service: "larder", timeoutMS: 3000, goalMS: 1500}}
	for n := range idleRoutes {
		routes = append(routes, route{
			name: fmt.Sprintf("r%d", n), prefix: fmt.Sprintf("/i%d/", n), kind: "safe", service: "larder",
			timeoutMS: 2500 + version%100, goalMS: 500,
		})
	}
	return routes
}
