// The load of an endpoint is the number of calls that this instance has in flight there, which is known exactly, plus
// that of other instances, which is known only from the last load report:
//
//	load = own calls in flight + calls of others at the last report, halved every 100 ms
//
// The lead of an endpoint sends nearly all of its calls, so for the lead the first term is nearly the whole load, and
// an old report soon has no effect. An instance that is not the lead uses at most one slot at a time, and only if the
// last report leaves one free.
//
// Health: three failures in a row eject the endpoint for 1 s, doubled for each further ejection up to 30 s. After that,
// one call at a time is sent until one succeeds. Only a success resets the failures and the back-off, so an endpoint
// that fails at once does not look idle.

package mtendpoint

import (
	"math"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtload"
)

const (
	// othersLoadHalfLife is the time in which the reported load of other instances is halved.
	othersLoadHalfLife = 100 * time.Millisecond
	// reportedSlotsTTL is how long the number of slots in a report is used.
	reportedSlotsTTL = time.Second
	failuresToEject  = 3
	minEjection      = time.Second
	maxEjection      = 30 * time.Second
	warmUpDuration   = 2 * time.Second
	// latencyWeight is the weight of a new answer in the smoothed latency.
	latencyWeight = 0.2
	// A straggler's latency is above stragglerFactor times the median of the pool and above minStragglerLatency.
	stragglerFactor     = 4
	minStragglerLatency = 20 * time.Millisecond
	// latencyTTL is the time without an answer after which the smoothed latency is no longer used.
	latencyTTL = 2 * time.Second
)

// Endpoint is the estimate of one entry instance about one endpoint. It is not safe for concurrent use.
type Endpoint struct {
	Name    string
	Address string
	Centre  string
	// Slots is the maximum number of calls that the endpoint runs at the same time.
	Slots float64
	// IsLead is set when this instance leads the endpoint.
	IsLead bool
	// Leaving is set when the endpoint receives no new calls.
	Leaving bool
	// FirstListedAt is when the endpoint was first listed.
	FirstListedAt time.Time

	inflight int
	// othersLoad is the number of calls of other instances at reportedAt.
	othersLoad float64
	// reportedSlots is the number of slots in the last report, or 0.
	reportedSlots float64
	reportedAt    time.Time
	latency       time.Duration
	// lastSuccess is when the endpoint last answered without a failure.
	lastSuccess         time.Time
	consecutiveFailures int
	ejectedUntil        time.Time
	backoff             time.Duration
}

// Inflight returns the number of this instance's calls at the endpoint.
func (e *Endpoint) Inflight() int {
	return e.inflight
}

// Latency returns the smoothed time from a call of this instance to its answer, or 0 before the first answer.
func (e *Endpoint) Latency() time.Duration {
	return e.latency
}

// LastReportAt returns the time of the last load report; zero before the first.
func (e *Endpoint) LastReportAt() time.Time {
	return e.reportedAt
}

// StartCall counts a call that is sent to the endpoint.
func (e *Endpoint) StartCall() {
	e.inflight++
}

// EndCall records the end of a call: the time that it took and whether it failed.
func (e *Endpoint) EndCall(took time.Duration, failed bool, now time.Time) {
	e.inflight--
	if failed {
		e.recordFailure(now)
		return
	}
	if now.Sub(e.lastSuccess) > latencyTTL {
		e.latency = 0
	}
	e.lastSuccess = now
	e.consecutiveFailures = 0
	e.backoff = 0
	e.ejectedUntil = time.Time{}
	if e.latency == 0 {
		e.latency = took
		return
	}
	e.latency += time.Duration(latencyWeight * float64(took-e.latency))
}

// AbandonCall records the end of a call that says nothing about the health of the endpoint.
func (e *Endpoint) AbandonCall() {
	e.inflight--
}

func (e *Endpoint) recordFailure(now time.Time) {
	e.consecutiveFailures++
	if e.consecutiveFailures < failuresToEject || now.Before(e.ejectedUntil) {
		return
	}
	e.backoff = min(max(minEjection, 2*e.backoff), maxEjection)
	e.ejectedUntil = now.Add(e.backoff)
}

// ApplyReport applies the load report of an answer. The report counts all calls except the answered one, which this instance
// still counts as in flight.
func (e *Endpoint) ApplyReport(report mtload.Report, now time.Time) {
	e.reportedAt = now
	e.othersLoad = max(0, report.Running+report.Queued-float64(e.inflight-1))
	e.reportedSlots = report.Slots
}

// EstimatedLoad returns the estimated number of calls at the endpoint. For an instance that is not the lead, the estimate is
// at least so high that the instance uses at most one slot at a time.
func (e *Endpoint) EstimatedLoad(now time.Time) float64 {
	busy := float64(e.inflight) + e.currentOthersLoad(now)
	if !e.IsLead {
		busy = max(busy, float64(e.inflight)+e.usableSlots(now)-1)
	}
	return busy
}

// currentOthersLoad returns the reported load of other instances, reduced by the age of the report.
func (e *Endpoint) currentOthersLoad(now time.Time) float64 {
	if e.othersLoad == 0 {
		return 0
	}
	age := now.Sub(e.reportedAt)
	return e.othersLoad * math.Exp2(-float64(age)/float64(othersLoadHalfLife))
}

// usableSlots returns the number of slots that calls may use now; it is 1 during the warm-up and until a call succeeds
// after an ejection.
func (e *Endpoint) usableSlots(now time.Time) float64 {
	slots := e.Slots
	if e.reportedSlots > 0 && now.Sub(e.reportedAt) < reportedSlotsTTL {
		slots = min(slots, e.reportedSlots)
	}
	if e.consecutiveFailures >= failuresToEject || now.Sub(e.FirstListedAt) < warmUpDuration {
		return 1
	}
	return slots
}

// FreeSlots returns the estimated number of free slots; it is below 1 when a call would have to wait.
func (e *Endpoint) FreeSlots(now time.Time) float64 {
	return e.usableSlots(now) - e.EstimatedLoad(now)
}

// State returns the state of the endpoint for the status report: leaving, ejected, warming or serving.
func (e *Endpoint) State(now time.Time) string {
	switch {
	case e.Leaving:
		return "leaving"
	case e.IsEjected(now):
		return "ejected"
	case now.Sub(e.FirstListedAt) < warmUpDuration:
		return "warming"
	default:
		return "serving"
	}
}

// IsEjected reports whether the endpoint is ejected because of its failures.
func (e *Endpoint) IsEjected(now time.Time) bool {
	return now.Before(e.ejectedUntil)
}

// IsStraggler reports whether the endpoint's recent answers were much slower than the median of its pool.
//
// An endpoint without a recent answer and without a call in flight is no straggler, so that it receives a few calls
// that measure its latency again.
func (e *Endpoint) IsStraggler(median time.Duration, now time.Time) bool {
	if now.Sub(e.lastSuccess) > latencyTTL && e.inflight == 0 {
		return false
	}
	return e.latency > minStragglerLatency && e.latency > stragglerFactor*median
}
