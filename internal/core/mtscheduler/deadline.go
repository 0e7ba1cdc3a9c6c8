// The load pattern: hosts several times slower than usual, or requests with little time left. A request that is sent to
// an endpoint that can't answer it in time takes a slot in vain, and its caller learns only at the deadline that it may
// have run.

package mtscheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// estimateErrorWeight is the weight of one sample in the error of the estimate.
	estimateErrorWeight = 0.05
	// minTimeRatio and maxTimeRatio bound the samples of the ratio of the response time to the estimate.
	minTimeRatio = 0.5
	maxTimeRatio = 1.5
	// initialRelativeError is the mean distance of that ratio from one before the first samples.
	initialRelativeError = 0.15
	// relativeErrorFactor is how many mean errors are added to an estimate: nearly nine in ten samples of a normal
	// distribution are below the sum.
	relativeErrorFactor = 1.5
	// A request is sent in spite of the estimate when the route has sent none for minTrialInterval and
	// minTrialRejections requests were rejected since then: an estimate that is too high would never be corrected
	// otherwise.
	minTrialInterval   = time.Second
	minTrialRejections = 3
	// minEstimateSamples is the number of responses that an estimate needs to reject requests. The initial guess, which
	// rejects none, is no part of it from then on.
	minEstimateSamples = 3
)

// meetingDeadline returns the candidates that should answer a request before its deadline, in the same order.
func (s *Scheduler) meetingDeadline(request *Request, candidates []candidate, now time.Time) []candidate {
	timeLeft := request.Deadline.Sub(now)
	missesDeadline := func(c candidate) bool {
		return s.upperEstimate(c.expected, c.hostSlowdown) > timeLeft
	}
	if !slices.ContainsFunc(candidates, missesDeadline) || s.estimateOf(request).isUnreliable(now) {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), missesDeadline)
}

// canMeetDeadline reports whether an otherwise idle endpoint on a host of usual speed could answer a request before its
// deadline.
func (s *Scheduler) canMeetDeadline(request *Request, now time.Time) bool {
	estimate := s.estimateOf(request)
	return s.upperEstimate(estimate.processingTime(), 1) <= request.Deadline.Sub(now) || estimate.isUnreliable(now)
}

// isUnreliable reports whether the estimate has too few samples, or has rejected all requests for so long that it needs
// a new one.
func (r *routeEstimate) isUnreliable(now time.Time) bool {
	return r.meanProcessingTime.sampleCount < minEstimateSamples || r.needsTrial(now)
}

// needsTrial reports whether the estimate has rejected all requests for a while.
func (r *routeEstimate) needsTrial(now time.Time) bool {
	return r.rejectedSinceSent >= minTrialRejections && now.Sub(r.lastSentAt) >= minTrialInterval
}

// recordSent records that a request was sent, so that its end gives a sample.
func (r *routeEstimate) recordSent(now time.Time) {
	r.trialInFlight = r.trialInFlight || r.needsTrial(now)
	r.lastSentAt = now
	r.rejectedSinceSent = 0
}

// upperEstimate returns the time within which most requests with an estimate end, for a host with a slowdown.
func (s *Scheduler) upperEstimate(expected time.Duration, hostSlowdown float64) time.Duration {
	ratio := 1.0
	if s.isSlowHost(hostSlowdown) {
		ratio = s.slowHostTimeRatio.value
	}
	return time.Duration((ratio + relativeErrorFactor*s.meanRelativeError.value) * float64(expected))
}

// addEstimateError compares the end of a request with its estimate. For a request that failed at its deadline, the time
// is only a lower bound of the processing time.
func (s *Scheduler) addEstimateError(assignment Assignment, result AttemptResult) {
	if assignment.ExpectedResponseTime <= 0 || result.Verdict != Served && result.Verdict != Failed {
		return
	}
	ratio := min(maxTimeRatio, max(minTimeRatio, float64(result.ResponseTime)/float64(assignment.ExpectedResponseTime)))
	if result.Verdict == Failed && ratio < 1 {
		return
	}
	s.meanRelativeError.add(math.Abs(ratio - 1))
	if s.isSlowHost(assignment.HostSlowdown) {
		s.slowHostTimeRatio.add(ratio)
	}
}
