// The load of an endpoint is what this instance has in flight there, known exactly, plus what others have there, known
// only from the last report:
//
//	busy = own in flight + others at the report, halved every 100 ms for the lead
//
// The lead of an endpoint sends nearly all of its calls, so for the lead the first term is nearly everything and an old
// report soon counts for nothing. An instance that is not the lead takes at most one slot, and only one that the last
// report showed as spare.
//
// Health: three failures in a row eject the endpoint for 1 s, doubled each time up to 30 s. After that one call at a
// time goes there until one succeeds. A failure is counted, never a fast answer alone, so a server that fails at once
// does not look idle.

package mtendpoint

import (
	"math"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtload"
)

const (
	othersHalfLife   = 100 * time.Millisecond
	reportLife       = time.Second
	failuresToEject  = 3
	ejectionFirst    = time.Second
	ejectionLongest  = 30 * time.Second
	warmUp           = 2 * time.Second
	latencyWeight    = 0.2
	stragglerFactor  = 4
	stragglerMinimum = 20 * time.Millisecond
	stragglerMemory  = 2 * time.Second
)

// Endpoint is one endpoint as one entry instance sees it.
type Endpoint struct {
	Name    string
	Address string
	Centre  string
	// Slots is the number of calls that the endpoint runs at the same moment.
	Slots float64
	// Lead is set when this instance leads the endpoint.
	Lead bool
	// Leaving is set when the endpoint receives no new calls.
	Leaving bool
	// Joined is when the endpoint was first listed.
	Joined time.Time

	inflight int
	others   float64
	slotsNow float64
	reported time.Time
	latency  time.Duration
	answered time.Time
	failures int
	ejected  time.Time
	backoff  time.Duration
}

// Inflight returns the number of this instance's calls at the endpoint.
func (e *Endpoint) Inflight() int {
	return e.inflight
}

// Latency returns the smoothed time of this instance's answers, or 0 before the first.
func (e *Endpoint) Latency() time.Duration {
	return e.latency
}

// Reported returns when the endpoint last reported its load; zero before the first.
func (e *Endpoint) Reported() time.Time {
	return e.reported
}

// Start counts a call that is sent to the endpoint.
func (e *Endpoint) Start() {
	e.inflight++
}

// End counts a call that is over and whether it failed.
func (e *Endpoint) End(took time.Duration, failed bool, now time.Time) {
	e.inflight--
	if failed {
		e.fail(now)
		return
	}
	if now.Sub(e.answered) > stragglerMemory {
		e.latency = 0
	}
	e.answered = now
	e.failures = 0
	e.backoff = 0
	e.ejected = time.Time{}
	if e.latency == 0 {
		e.latency = took
		return
	}
	e.latency += time.Duration(latencyWeight * float64(took-e.latency))
}

// Abandon counts a call that is over and tells nothing of the endpoint's health.
func (e *Endpoint) Abandon() {
	e.inflight--
}

func (e *Endpoint) fail(now time.Time) {
	e.failures++
	if e.failures < failuresToEject || now.Before(e.ejected) {
		return
	}
	e.backoff = min(max(ejectionFirst, 2*e.backoff), ejectionLongest)
	e.ejected = now.Add(e.backoff)
}

// Report takes in the load report of an answer; the report counts all calls but the one answered, which is not over yet.
func (e *Endpoint) Report(report mtload.Report, now time.Time) {
	e.reported = now
	e.others = max(0, report.Running+report.Queued-float64(e.inflight-1))
	e.slotsNow = report.Slots
}

// Busy returns the estimated number of calls at the endpoint.
func (e *Endpoint) Busy(now time.Time) float64 {
	busy := float64(e.inflight) + e.othersNow(now)
	if !e.Lead {
		busy = max(busy, float64(e.inflight)+e.capacity(now)-1)
	}
	return busy
}

func (e *Endpoint) othersNow(now time.Time) float64 {
	if e.others == 0 {
		return 0
	}
	age := now.Sub(e.reported)
	return e.others * math.Exp2(-float64(age)/float64(othersHalfLife))
}

func (e *Endpoint) capacity(now time.Time) float64 {
	slots := e.Slots
	if e.slotsNow > 0 && now.Sub(e.reported) < reportLife {
		slots = min(slots, e.slotsNow)
	}
	if e.failures >= failuresToEject || now.Sub(e.Joined) < warmUp {
		return 1
	}
	return slots
}

// Free returns the estimated number of free slots; it is below 1 when a call would have to wait.
func (e *Endpoint) Free(now time.Time) float64 {
	return e.capacity(now) - e.Busy(now)
}

// State returns the state of the endpoint as one word.
func (e *Endpoint) State(now time.Time) string {
	switch {
	case e.Leaving:
		return "leaving"
	case e.IsEjected(now):
		return "ejected"
	case now.Sub(e.Joined) < warmUp:
		return "warming"
	default:
		return "serving"
	}
}

// IsEjected reports whether the endpoint has failed too often to be called.
func (e *Endpoint) IsEjected(now time.Time) bool {
	return now.Before(e.ejected)
}

// IsStraggler reports whether the endpoint answered far slower than the median of its pool lately.
//
// After a while without a call it counts as well, so that a few calls find out whether it is.
func (e *Endpoint) IsStraggler(median time.Duration, now time.Time) bool {
	if now.Sub(e.answered) > stragglerMemory && e.inflight == 0 {
		return false
	}
	return e.latency > stragglerMinimum && e.latency > stragglerFactor*median
}
