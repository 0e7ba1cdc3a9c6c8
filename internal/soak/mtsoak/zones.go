package mtsoak

import (
	"sync"
	"time"

	"github.com/mangotack/mangotack/internal/soak/mtinvariant"
	"github.com/mangotack/mangotack/platform/mtfake"
	"github.com/mangotack/mangotack/platform/mtname"
)

const (
	// evacuateTimeout is the time after which an endpoint of an evacuated zone must get no requests: evacuate_ms of the users'
	// sites.
	evacuateTimeout = 5 * time.Second
	// coldTime is how long an endpoint is cold after its start, and coldPerSecond the requests a second that it takes meanwhile.
	coldTime      = 3 * time.Second
	coldPerSecond = 3.7
	// coldWindow is the time in which requests to a cold endpoint are counted.
	coldWindow = time.Second
)

// zoneState is the state of the faults of one zone.
type zoneState struct {
	// faultMu is locked while the zone has a fault.
	faultMu sync.Mutex

	mu sync.Mutex
	// evacuatedAt is when the evacuation was requested, or 0, and wasEvacuated is set once one was.
	evacuatedAt  time.Duration
	wasEvacuated bool
}

func (z *zoneState) setEvacuated(at time.Duration) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.evacuatedAt = at
	z.wasEvacuated = true
}

func (z *zoneState) evacuation() (at time.Duration, wasEvacuated bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.evacuatedAt, z.wasEvacuated
}

// evacuateZone requests the evacuation of a zone, and ends it after a duration. It does nothing while the zone has a fault.
func (r *run) evacuateZone(index int, duration time.Duration) {
	zone := &r.zones[index]
	if !zone.faultMu.TryLock() {
		return
	}
	defer zone.faultMu.Unlock()
	r.writeEvacuation(index, true)
	zone.setEvacuated(r.now())
	r.sleep(duration)
	zone.setEvacuated(0)
	r.writeEvacuation(index, false)
}

func (r *run) writeEvacuation(index int, evacuated bool) {
	var value []byte
	if evacuated {
		value = []byte("{}")
	}
	r.store.Put(mtname.ConfigurationTopic, mtname.EvacuationKeyPrefix+centre(index), value)
}

// rewriteEvacuations writes the state of each zone again, after the store has lost it.
func (r *run) rewriteEvacuations() {
	for index := range r.zones {
		if at, wasEvacuated := r.zones[index].evacuation(); wasEvacuated {
			r.writeEvacuation(index, at > 0)
		}
	}
}

// checkEvacuation reports a violation if a request arrives at an endpoint of an evacuated zone.
func (e *endpoint) checkEvacuation(id string, instance int, now time.Duration) {
	at, _ := e.run.zones[e.zone()].evacuation()
	// The instances read the record in the first half of the time, unless the store has a fault then.
	if at == 0 || now-at <= evacuateTimeout ||
		e.run.faults.overlaps(at, now, e.run.instanceNames[instance], e.name()) ||
		e.run.faults.overlaps(at, at+evacuateTimeout/2, "store") {
		return
	}
	e.run.checker.Report(now, mtinvariant.EvacuatedIdle, "request %s arrived at %s %v after the evacuation of %s", id, e.fake.ID,
		now-at, e.fake.Centre)
}

// zone returns the index of the endpoint's zone.
func (e *endpoint) zone() int {
	return e.index / 2 % centreCount
}

// returnZoneCold stops the endpoints of a zone, and starts them after a duration as new processes that are cold. It does nothing
// while the zone has a fault, and leaves out endpoints that drain or restart.
func (r *run) returnZoneCold(index int, duration time.Duration) {
	zone := &r.zones[index]
	if !zone.faultMu.TryLock() {
		return
	}
	defer zone.faultMu.Unlock()
	var group sync.WaitGroup
	for _, e := range r.endpoints {
		if e.zone() != index || !e.lifecycleMu.TryLock() {
			continue
		}
		group.Go(func() {
			defer e.lifecycleMu.Unlock()
			r.withFault(e.name(), duration, e.stop, func() {
				e.fake.SetCold(coldTime)
				e.cold.begin(r.now())
				r.restoreEndpoint(e)
			})
			r.sleep(coldTime)
		})
	}
	group.Wait()
}

// coldArrivals counts the requests that an endpoint gets while it is cold.
type coldArrivals struct {
	mu    sync.Mutex
	since time.Duration
	times []time.Duration
}

func (c *coldArrivals) begin(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since = now
	c.times = nil
}

// record records a request and returns the number of those in the window that ends now, if the endpoint is cold.
func (c *coldArrivals) record(now time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since == 0 || now-c.since >= coldTime {
		return 0
	}
	c.times = append(c.times, now)
	count := 0
	for _, at := range c.times {
		if now-at < coldWindow {
			count++
		}
	}
	return count
}

// checkColdRate reports a violation if a request exceeds what the endpoint takes while it is cold.
func (e *endpoint) checkColdRate(id string, now time.Duration) {
	const allowed = coldPerSecond*mtfake.WarmUpOverage + mtfake.WarmUpSlack
	if count := e.cold.record(now); float64(count) > allowed {
		e.run.checker.Report(now, mtinvariant.ColdRateKept, "request %s is the %d. at cold %s in %v, allowed are %.1f", id, count,
			e.fake.ID, coldWindow, float64(allowed))
	}
}
