// The load pattern: endpoints that fail, hang or start cold. They are passed over or assumed to be slower.

package mtplacer

import (
	"math"
	"time"
)

const (
	// peerRequestsHalfLife is the half-life of the reported number of other instances' requests at an endpoint.
	peerRequestsHalfLife = 150 * time.Millisecond
	// hostSlowdownLifetime is how long the slowdown of a host stays about the same.
	hostSlowdownLifetime = 150 * time.Millisecond
	// An endpoint that fails minFailuresToEject times in a row gets no new requests for minEjectionTime, doubled at
	// each further ejection up to maxEjectionTime.
	minFailuresToEject = 3
	minEjectionTime    = 700 * time.Millisecond
	maxEjectionTime    = 6 * time.Second
	// failedProbeEjectionTime is how long an endpoint that didn't report its load is passed over.
	failedProbeEjectionTime = 300 * time.Millisecond
	// maxBackoff bounds the backoff that an endpoint may ask for: a longer one is an error of the endpoint.
	maxBackoff = 5 * time.Minute
	// maxPeerBackoff bounds the backoff that an endpoint gets because of its response to another instance.
	maxPeerBackoff = time.Second
	// coldStartSlowdown is how many times longer a request takes on an endpoint that has just started.
	coldStartSlowdown = 2
	// failureRatioWeight is the weight of one result in the failure ratio.
	failureRatioWeight = 0.15
)

// Verdict is the outcome of a request at an endpoint.
type Verdict int

// The verdicts.
const (
	// Served is a complete response.
	Served Verdict = iota
	// Shed is a rejection by the endpoint, which did not run the request.
	Shed
	// Failed is a failure of the endpoint.
	Failed
	// Abandoned is a request that this instance cancelled.
	Abandoned
)

// Result is the end of a request at an endpoint.
type Result struct {
	Verdict Verdict
	// Took is the time from sending the request to its end.
	Took time.Duration
	// Size is the size of the response in bytes.
	Size int64
}

// Report is the load that an endpoint reports of itself.
type Report struct {
	Running int
	Waiting int
	Slots   int
	// Pace is the present slowdown of the host, as a multiple of the usual processing time, or 0 if not reported.
	Pace float64
	// Own is the number of this instance's requests that Running and Waiting include.
	Own int
}

// Target is one process of an endpoint with the state that one entry instance has of it. The first four fields never
// change, and may be read without the lock that guards the scheduler.
type Target struct {
	ID      string
	Address string
	Centre  string
	// Born distinguishes the processes of one endpoint.
	Born int64

	Slots int
	// Warm is when the warm-up of the endpoint ends and it has full speed.
	Warm time.Time
	// Draining is set when the endpoint gets no new requests.
	Draining bool

	inflight int
	// peerRequests is the number of other instances' requests in the last report.
	peerRequests float64
	// hostSlowdown is the slowdown of the host in the last report that contains one, or 0.
	hostSlowdown float64
	reportedAt   time.Time
	// probing is set while a load probe is in flight.
	probing  bool
	probedAt time.Time
	// probeBucketLevel is the level of the leaky bucket that limits the probes, in probes, at probeBucketAt.
	probeBucketLevel float64
	probeBucketAt    time.Time
	// backoffUntil is when the backoff that the endpoint asked for ends.
	backoffUntil time.Time
	// isPeerBackoff is set when the endpoint asked another instance for the backoff.
	isPeerBackoff bool
	// lastServedAt is when the endpoint last served a request.
	lastServedAt        time.Time
	consecutiveFailures int
	failureRatio        float64
	ejectedUntil        time.Time
	ejectionTime        time.Duration
}

// Inflight returns the number of this instance's requests in flight at the endpoint.
func (e *Target) Inflight() int {
	return e.inflight
}

// Reported returns when the endpoint last reported its load; zero before the first report.
func (e *Target) Reported() time.Time {
	return e.reportedAt
}

// IsEjected reports whether the endpoint gets no requests because of failures.
func (e *Target) IsEjected(now time.Time) bool {
	return now.Before(e.ejectedUntil)
}

// IsResting reports whether a backoff that the endpoint asked for has not ended.
func (e *Target) IsResting(now time.Time) bool {
	return now.Before(e.backoffUntil)
}

// RestLeft returns how much of the backoff that the endpoint asked this instance for is left, or 0; what it asked other
// instances for does not count.
func (e *Target) RestLeft(now time.Time) time.Duration {
	if e.isPeerBackoff {
		return 0
	}
	return max(0, e.backoffUntil.Sub(now))
}

// IsOpen reports whether the endpoint may get requests and probes.
func (e *Target) IsOpen(now time.Time) bool {
	return !e.Draining && !e.IsResting(now)
}

// Rest stops requests and probes for a backoff time; after it one request is sent first, and more once that one is
// served.
func (e *Target) Rest(duration time.Duration, now time.Time) {
	if until := now.Add(min(duration, maxBackoff)); until.After(e.backoffUntil) {
		e.backoffUntil = until
	}
	e.isPeerBackoff = false
	e.consecutiveFailures = max(e.consecutiveFailures, minFailuresToEject)
}

// RestAsOthers does the same for a backoff that the endpoint asked another instance for. The endpoint may have meant
// that instance alone, so the time is bounded, and an endpoint that serves this instance stays in use.
func (e *Target) RestAsOthers(duration time.Duration, now time.Time) {
	if e.IsResting(now) || now.Sub(e.lastServedAt) < maxPeerBackoff {
		return
	}
	e.Rest(min(duration, maxPeerBackoff), now)
	e.isPeerBackoff = true
}

func (e *Target) recordStart() {
	e.inflight++
}

func (e *Target) recordResult(result Result, now time.Time) {
	e.inflight--
	switch result.Verdict {
	case Served:
		e.consecutiveFailures = 0
		e.lastServedAt = now
		e.ejectionTime = 0
		e.ejectedUntil = time.Time{}
		e.failureRatio -= failureRatioWeight * e.failureRatio
	case Failed:
		e.failureRatio += failureRatioWeight * (1 - e.failureRatio)
		e.recordFailure(now)
	case Shed:
		e.recordFailure(now)
	}
}

func (e *Target) recordFailure(now time.Time) {
	e.consecutiveFailures++
	if e.consecutiveFailures < minFailuresToEject || now.Before(e.ejectedUntil) {
		return
	}
	e.ejectionTime = min(max(minEjectionTime, 2*e.ejectionTime), maxEjectionTime)
	e.ejectedUntil = now.Add(e.ejectionTime)
}

func (e *Target) recordReport(report Report, now time.Time) {
	e.probing = false
	e.reportedAt = now
	e.peerRequests = max(0, float64(report.Running+report.Waiting-report.Own))
	if report.Pace > 0 {
		e.hostSlowdown = report.Pace
	}
}

func (e *Target) recordFailedProbe(now time.Time) {
	e.probing = false
	if until := now.Add(failedProbeEjectionTime); until.After(e.ejectedUntil) {
		e.ejectedUntil = until
	}
}

// probeBurst is the time for which unused probes of an endpoint accumulate.
const probeBurst = 4 * time.Second

// takeProbe counts a probe of the endpoint and reports whether the rate, in probes per second, allows it.
func (e *Target) takeProbe(rate float64, now time.Time) bool {
	if !e.probeBucketAt.IsZero() {
		e.probeBucketLevel = max(0, e.probeBucketLevel-rate*now.Sub(e.probeBucketAt).Seconds())
	}
	e.probeBucketAt = now
	if e.probeBucketLevel+1 > max(1, rate*probeBurst.Seconds()) {
		return false
	}
	e.probeBucketLevel++
	return true
}

// estimatedConcurrency returns the estimated number of requests at the endpoint. The number of other instances'
// requests decays to zero as the last report ages.
func (e *Target) estimatedConcurrency(now time.Time) int {
	peerRequests := e.peerRequests
	if peerRequests > 0 {
		peerRequests *= math.Exp2(-float64(now.Sub(e.reportedAt)) / float64(peerRequestsHalfLife))
	}
	return e.inflight + int(peerRequests+0.5)
}

// expectedHostSlowdown returns the expected slowdown of the host, which returns to the mean as the last report ages.
func (e *Target) expectedHostSlowdown(mean float64, now time.Time) float64 {
	if e.hostSlowdown == 0 {
		return mean
	}
	reportWeight := math.Exp(-float64(now.Sub(e.reportedAt)) / float64(hostSlowdownLifetime))
	return mean + reportWeight*(e.hostSlowdown-mean)
}
