// The load pattern: endpoints that fail, hang or start cold. They are passed over or assumed to be slower.

package mtscheduler

import (
	"math"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtrequestlimit"
	"github.com/mangotack/mangotack/internal/core/mtwarmup"
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

// AttemptResult is the end of a request at an endpoint.
type AttemptResult struct {
	Verdict Verdict
	// ResponseTime is the time from sending the request to its end.
	ResponseTime time.Duration
	// ResponseBytes is the size of the response in bytes.
	ResponseBytes int64
}

// LoadReport is the load that an endpoint reports of itself.
type LoadReport struct {
	Running int
	Waiting int
	Slots   int
	// HostSlowdown is the present slowdown of the host, as a multiple of the usual processing time, or 0 if not reported.
	HostSlowdown float64
	// OwnRequests is the number of this instance's requests that Running and Waiting include.
	OwnRequests int
}

// Endpoint is one process of an endpoint with the state that one entry instance has of it. The first four fields never
// change, and may be read without the lock that guards the scheduler.
type Endpoint struct {
	ID      string
	Address string
	Centre  string
	// Born distinguishes the processes of one endpoint.
	Born int64

	Slots int
	// WarmUpEnd is when the warm-up of the endpoint ends and it has full speed.
	WarmUpEnd time.Time
	// Draining is set when the endpoint gets no new requests.
	Draining bool
	// Evacuated is set while the zone of the endpoint is evacuated, so that the endpoint gets neither requests nor probes.
	Evacuated bool
	// RequestLimit is the limit that the endpoint names for the requests of all instances.
	RequestLimit mtrequestlimit.Limit
	// WarmUp bounds the requests while the endpoint is cold.
	WarmUp mtwarmup.WarmUp

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

// AtAddress returns a new endpoint for the same process at another address. What the process has asked for still applies.
func (e *Endpoint) AtAddress(address string) *Endpoint {
	return &Endpoint{
		ID:            e.ID,
		Address:       address,
		Centre:        e.Centre,
		Born:          e.Born,
		RequestLimit:  e.RequestLimit,
		WarmUp:        e.WarmUp,
		backoffUntil:  e.backoffUntil,
		isPeerBackoff: e.isPeerBackoff,

		consecutiveFailures: e.consecutiveFailures,
	}
}

// Inflight returns the number of this instance's requests in flight at the endpoint.
func (e *Endpoint) Inflight() int {
	return e.inflight
}

// LastReportAt returns when the endpoint last reported its load; zero before the first report.
func (e *Endpoint) LastReportAt() time.Time {
	return e.reportedAt
}

// IsEjected reports whether the endpoint gets no requests because of failures.
func (e *Endpoint) IsEjected(now time.Time) bool {
	return now.Before(e.ejectedUntil)
}

// IsInBackoff reports whether a backoff that the endpoint asked for has not ended.
func (e *Endpoint) IsInBackoff(now time.Time) bool {
	return now.Before(e.backoffUntil)
}

// RemainingBackoff returns how much of the backoff that the endpoint asked this instance for is left, or 0; what it asked other
// instances for does not count.
func (e *Endpoint) RemainingBackoff(now time.Time) time.Duration {
	if e.isPeerBackoff {
		return 0
	}
	return max(0, e.backoffUntil.Sub(now))
}

// IsUsable reports whether the endpoint may get requests and probes.
func (e *Endpoint) IsUsable(now time.Time) bool {
	return !e.Draining && !e.Evacuated && !e.IsInBackoff(now)
}

// ApplyBackoff stops requests and probes for a backoff time; after it one request is sent first, and more once that one is
// served.
func (e *Endpoint) ApplyBackoff(duration time.Duration, now time.Time) {
	if until := now.Add(min(duration, maxBackoff)); until.After(e.backoffUntil) {
		e.backoffUntil = until
	}
	e.isPeerBackoff = false
	e.consecutiveFailures = max(e.consecutiveFailures, minFailuresToEject)
}

// ApplyPeerBackoff does the same for a backoff that the endpoint asked another instance for. The endpoint may have meant
// that instance alone, so the time is bounded, and an endpoint that serves this instance stays in use.
func (e *Endpoint) ApplyPeerBackoff(duration time.Duration, now time.Time) {
	if e.IsInBackoff(now) || now.Sub(e.lastServedAt) < maxPeerBackoff {
		return
	}
	e.ApplyBackoff(min(duration, maxPeerBackoff), now)
	e.isPeerBackoff = true
}

// mayGetRequests reports whether this instance may send requests to the endpoint, now or later: it is usable, and this
// instance has a share of its request limit and, while it is cold, of its rate.
func (e *Endpoint) mayGetRequests(now time.Time) bool {
	return e.IsUsable(now) && e.ownRate(now) > 0
}

// isLimited reports whether the endpoint limits its requests or is cold.
func (e *Endpoint) isLimited(now time.Time) bool {
	return e.RequestLimit.IsLimited(now) || e.WarmUp.IsCold(now)
}

// ownRate returns the requests a second that this instance may send to the endpoint, or +Inf without a limit.
func (e *Endpoint) ownRate(now time.Time) float64 {
	return min(e.RequestLimit.OwnRate(now), e.WarmUp.OwnRate(now))
}

// allowsRequest reports whether the limits of the endpoint allow a request now.
func (e *Endpoint) allowsRequest(now time.Time) bool {
	return e.RequestLimit.Allows(now) && e.WarmUp.Allows(now)
}

// nextRequestAt returns when the limits of the endpoint allow the next request; found is false if this instance has no share.
func (e *Endpoint) nextRequestAt(now time.Time) (at time.Time, found bool) {
	byLimit, hasLimitShare := e.RequestLimit.NextAt(now)
	byWarmUp, hasWarmUpShare := e.WarmUp.NextAt(now)
	if byWarmUp.After(byLimit) {
		byLimit = byWarmUp
	}
	return byLimit, hasLimitShare && hasWarmUpShare
}

func (e *Endpoint) recordStart(now time.Time) {
	e.inflight++
	e.RequestLimit.RecordRequest(now)
	e.WarmUp.RecordRequest(now)
}

func (e *Endpoint) recordResult(result AttemptResult, now time.Time) {
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

func (e *Endpoint) recordFailure(now time.Time) {
	e.consecutiveFailures++
	if e.consecutiveFailures < minFailuresToEject || now.Before(e.ejectedUntil) {
		return
	}
	e.ejectionTime = min(max(minEjectionTime, 2*e.ejectionTime), maxEjectionTime)
	e.ejectedUntil = now.Add(e.ejectionTime)
}

func (e *Endpoint) recordReport(report LoadReport, now time.Time) {
	e.probing = false
	e.reportedAt = now
	e.peerRequests = max(0, float64(report.Running+report.Waiting-report.OwnRequests))
	if report.HostSlowdown > 0 {
		e.hostSlowdown = report.HostSlowdown
	}
}

func (e *Endpoint) recordFailedProbe(now time.Time) {
	e.probing = false
	if until := now.Add(failedProbeEjectionTime); until.After(e.ejectedUntil) {
		e.ejectedUntil = until
	}
}

// probeBurst is the time for which unused probes of an endpoint accumulate.
const probeBurst = 4 * time.Second

// takeProbe counts a probe of the endpoint and reports whether the rate, in probes per second, allows it.
func (e *Endpoint) takeProbe(rate float64, now time.Time) bool {
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
func (e *Endpoint) estimatedConcurrency(now time.Time) int {
	peerRequests := e.peerRequests
	if peerRequests > 0 {
		peerRequests *= math.Exp2(-float64(now.Sub(e.reportedAt)) / float64(peerRequestsHalfLife))
	}
	return e.inflight + int(peerRequests+0.5)
}

// expectedHostSlowdown returns the expected slowdown of the host, which returns to the mean as the last report ages.
func (e *Endpoint) expectedHostSlowdown(mean float64, now time.Time) float64 {
	if e.hostSlowdown == 0 {
		return mean
	}
	reportWeight := math.Exp(-float64(now.Sub(e.reportedAt)) / float64(hostSlowdownLifetime))
	return mean + reportWeight*(e.hostSlowdown-mean)
}
