// The load pattern: hosts whose speed changes several times a second. The best endpoints are probed for their load
// before a request is sent, unless a response reported it just now.

package mtscheduler

import (
	"slices"
	"time"
)

const (
	// maxReportAge is the age up to which the report of an endpoint is used as it is, and minProbeInterval the age up
	// to which no new report is requested: it is of the same round of probes.
	maxReportAge     = 40 * time.Millisecond
	minProbeInterval = 8 * time.Millisecond
	// probeCost is the delay that a probe adds to a request.
	probeCost = 2 * time.Millisecond
	// probeTimeout is how long an endpoint may take to answer a probe before it is passed over, and maxProbeWait how
	// long a request waits for probes in all.
	probeTimeout = 8 * time.Millisecond
	maxProbeWait = 60 * time.Millisecond
	// slowHostProbeInterval is the time between two probes of an endpoint on a slow host.
	slowHostProbeInterval = 25 * time.Millisecond
	// maxProbesPerRound is the number of endpoints that are probed at once for a request.
	maxProbesPerRound = 2
	// maxSlowHostWait bounds how long a request waits for a faster host: a host that is slow for longer stays slow.
	maxSlowHostWait = 500 * time.Millisecond
	// maxSampledEndpoints is the number of endpoints that a choice compares; the best of 24 is as good as the best of
	// hundreds.
	maxSampledEndpoints = 24
	// maxLocalSampledEndpoints is the number of those that are taken from the local data centre first.
	maxLocalSampledEndpoints = 16
	// maxNormalSlowdown is the slowdown up to which a host counts as good as any other.
	maxNormalSlowdown = 1.5
	// costJitterRatio is the random part of the cost, as a ratio of the estimate, so that equal endpoints share the
	// requests.
	costJitterRatio = 0.05
	// remoteCostRatio is the extra cost of an endpoint in another data centre, as a ratio of the estimate.
	// remoteCostBytes is the size of a response, in bytes, that adds as much as the whole estimate, up to
	// maxRemoteCostRatio: traffic between data centres is paid for.
	remoteCostRatio    = 0.03
	remoteCostBytes    = 250e3
	maxRemoteCostRatio = 0.4
	// failureCostFactor is the extra cost of an endpoint that always fails, as a multiple of the estimate.
	failureCostFactor = 5
	// unusedShareCostRatio is the ratio of its cost at which a cold endpoint competes once its share is unused for long: it
	// becomes warm only by requests.
	unusedShareCostRatio = 0.1
)

// candidate is an endpoint with a free slot for a request.
type candidate struct {
	endpoint *Endpoint
	// concurrency is the estimated number of requests at the endpoint, including this one.
	concurrency  int
	hostSlowdown float64
	// expected is the expected response time.
	expected time.Duration
	// cost is the expected response time with all extra costs, in nanoseconds.
	cost float64
}

// chooseEndpoint assigns an endpoint to a request, or returns when to try again.
func (s *Scheduler) chooseEndpoint(request *Request, now time.Time, probes *[]*Endpoint) (*Assignment, time.Time) {
	if s.isContended(now) && request.awaitsProbes(now) {
		// Evaluating the endpoints again at each event of a full pool costs more than it gains when a probe for another
		// request happens to find a free slot.
		return nil, now.Add(probeTimeout)
	}
	candidates := s.candidates(request, now)
	if len(candidates) == 0 {
		return nil, time.Time{}
	}
	feasible := s.meetingDeadline(request, candidates, now)
	if len(feasible) == 0 {
		// A host may become faster, or another endpoint may free a slot, while the request can still meet its deadline.
		if s.canProbe() {
			s.probe(request, candidates, now, probes)
		}
		return nil, now.Add(slowHostProbeInterval)
	}
	best := feasible[0]
	if s.mayAwaitProbes(request, now) {
		var needsProbe bool
		if best, needsProbe = s.bestCandidate(feasible, now); needsProbe {
			return nil, s.probe(request, feasible, now, probes)
		}
	}
	if s.shouldWaitForFasterHost(request, best, now) {
		s.probe(request, feasible, now, probes)
		return nil, now.Add(slowHostProbeInterval)
	}
	return &Assignment{
		ID:                   request.ID,
		Endpoint:             best.endpoint,
		Waited:               now.Sub(request.ArrivedAt),
		Concurrency:          best.concurrency,
		ExpectedResponseTime: best.expected,
		HostSlowdown:         best.hostSlowdown,
		ReportAge:            now.Sub(best.endpoint.reportedAt),
		HasReport:            !best.endpoint.reportedAt.IsZero(),
	}, time.Time{}
}

// awaitsProbes reports whether none of the probes for a request has been answered, and all of them still may be.
func (r *Request) awaitsProbes(now time.Time) bool {
	if len(r.probed) == 0 {
		return false
	}
	return !slices.ContainsFunc(r.probed, func(endpoint *Endpoint) bool {
		return !endpoint.probing || now.Sub(endpoint.probedAt) >= probeTimeout
	})
}

// mayAwaitProbes reports whether a request may still wait for probes.
func (s *Scheduler) mayAwaitProbes(request *Request, now time.Time) bool {
	return s.canProbe() &&
		(request.firstProbeAt.IsZero() || now.Sub(request.firstProbeAt) < maxProbeWait || s.isContended(now))
}

// bestCandidate returns the cheapest candidate, and whether its report is stale and a probe is worth while; endpoints
// that leave a probe unanswered are passed over.
func (s *Scheduler) bestCandidate(candidates []candidate, now time.Time) (best candidate, needsProbe bool) {
	for _, candidate := range candidates {
		endpoint := candidate.endpoint
		switch {
		case hasFreshReport(candidate, now):
			return candidate, false
		case endpoint.probing && now.Sub(endpoint.probedAt) < probeTimeout,
			!endpoint.probing && s.isProbeDue(endpoint, now):
			return candidate, true
		}
	}
	return candidates[0], false
}

// hasFreshReport reports whether the report of an endpoint is fresh enough to choose it by. It is not when its host may
// have become slow since, and the expected loss of the request from that is longer than a probe. An endpoint that
// doesn't report its slowdown has no such figure that could age.
func hasFreshReport(candidate candidate, now time.Time) bool {
	age := now.Sub(candidate.endpoint.reportedAt)
	switch {
	case age <= minProbeInterval:
		return true
	case age > maxReportAge:
		return false
	case candidate.endpoint.hostSlowdown == 0:
		return true
	}
	expectedLoss := float64(candidate.expected) * (1 - candidate.endpoint.hostSlowdown/candidate.hostSlowdown)
	return expectedLoss <= float64(probeCost)
}

// isProbeDue reports whether enough time has passed since the last probe of an endpoint; a slow host stays slow for
// longer.
func (s *Scheduler) isProbeDue(endpoint *Endpoint, now time.Time) bool {
	interval := minProbeInterval
	if s.isSlowHost(endpoint.hostSlowdown) {
		interval = slowHostProbeInterval
	}
	return now.Sub(endpoint.probedAt) >= interval
}

// shouldWaitForFasterHost reports whether a request should wait for a faster host than the best of those with a free
// slot.
//
// The speed of a host at the start of a request applies to all of its processing, and the speed of a host changes about
// every hostSlowdownLifetime. Waiting for that costs less than a start on a slow host.
func (s *Scheduler) shouldWaitForFasterHost(request *Request, best candidate, now time.Time) bool {
	if !s.canProbe() || !s.isSlowHost(best.hostSlowdown) ||
		!request.firstProbeAt.IsZero() && now.Sub(request.firstProbeAt) > maxSlowHostWait {
		return false
	}
	expectedGain := float64(best.expected) * (1 - s.goodHostSlowdown.value/best.hostSlowdown)
	return expectedGain > float64(hostSlowdownLifetime) &&
		now.Add(hostSlowdownLifetime+best.expected).Before(request.Deadline)
}

// candidates returns the endpoints with a free slot for a request, cheapest first.
func (s *Scheduler) candidates(request *Request, now time.Time) []candidate {
	estimate := s.estimateOf(request)
	processingTime := float64(estimate.processingTime())
	remoteRatio := min(maxRemoteCostRatio, remoteCostRatio+estimate.meanResponseBytes.value/remoteCostBytes)
	var candidates []candidate
	for _, endpoint := range s.withProbed(s.sample(now), request, now) {
		if slices.Contains(request.TriedEndpoints, endpoint.ID) {
			continue
		}
		if !s.hasFreeSlotAt(endpoint, now) {
			continue
		}
		concurrency := endpoint.estimatedConcurrency(now) + 1
		hostSlowdown := endpoint.expectedHostSlowdown(s.meanHostSlowdown.value, now)
		expected := processingTime * hostSlowdown * s.curve.slowdown(concurrency, endpoint.Slots)
		if now.Before(endpoint.WarmUpEnd) || endpoint.WarmUp.IsCold(now) {
			expected *= coldStartSlowdown
		}
		// The cost includes the delay of the other requests at the endpoint that the further slot slows down.
		neighbourCost := processingTime * float64(concurrency-1) *
			(s.curve.slowdown(concurrency, endpoint.Slots) - s.curve.slowdown(concurrency-1, endpoint.Slots))
		cost := expected*(1+failureCostFactor*endpoint.failureRatio) + neighbourCost
		if endpoint.Centre != s.centre {
			cost += processingTime * remoteRatio
		}
		cost += processingTime * s.dialCost(endpoint)
		cost += processingTime * costJitterRatio * s.random.Float64()
		if endpoint.WarmUp.IsShareUnused(now) {
			cost *= unusedShareCostRatio
		}
		candidates = append(candidates, candidate{
			endpoint:     endpoint,
			concurrency:  concurrency,
			hostSlowdown: hostSlowdown,
			expected:     time.Duration(expected),
			cost:         cost,
		})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		default:
			return 0
		}
	})
	return candidates
}

// maxConcurrency returns how many requests an endpoint gets at once.
func (s *Scheduler) maxConcurrency(endpoint *Endpoint, now time.Time) int {
	if endpoint.consecutiveFailures >= minFailuresToEject {
		return 1
	}
	return s.curve.optimalConcurrency(endpoint.Slots)
}

// probe probes the best endpoints with stale reports, unless probes for the request are in flight, and returns when to
// go on without them.
func (s *Scheduler) probe(request *Request, candidates []candidate, now time.Time, probes *[]*Endpoint) time.Time {
	if request.firstProbeAt.IsZero() {
		request.firstProbeAt = now
	}
	if slices.ContainsFunc(request.probed, func(endpoint *Endpoint) bool {
		return endpoint.probing && now.Sub(endpoint.probedAt) < probeTimeout
	}) {
		return now.Add(probeTimeout)
	}
	request.probed = request.probed[:0]
	for _, candidate := range candidates {
		endpoint := candidate.endpoint
		if len(request.probed) >= maxProbesPerRound {
			break
		}
		if endpoint.probing {
			request.probed = append(request.probed, endpoint)
			continue
		}
		if hasFreshReport(candidate, now) || !s.isProbeDue(endpoint, now) || !endpoint.takeProbe(s.probeRate, now) {
			continue
		}
		endpoint.probing = true
		endpoint.probedAt = now
		*probes = append(*probes, endpoint)
		request.probed = append(request.probed, endpoint)
	}
	return now.Add(probeTimeout)
}

// sample returns endpoints that may get a request: all of a small pool, and a new random sample of a large one each
// time, so that the cost of a choice doesn't grow with the pool and instances don't all choose the same endpoint. Most
// of the sample is in the local data centre, as far as endpoints there have a free slot.
func (s *Scheduler) sample(now time.Time) []*Endpoint {
	usable := s.usableEndpoints(now)
	if len(usable) <= maxSampledEndpoints {
		return usable
	}
	local := make([]*Endpoint, 0, maxSampledEndpoints)
	remote := make([]*Endpoint, 0, maxSampledEndpoints)
	start := s.random.IntN(len(usable))
	for i := range usable {
		endpoint := usable[(start+i)%len(usable)]
		if !s.hasFreeSlotAt(endpoint, now) {
			continue
		}
		if endpoint.Centre == s.centre && len(local) < maxLocalSampledEndpoints {
			local = append(local, endpoint)
		} else if len(remote) < maxSampledEndpoints {
			remote = append(remote, endpoint)
		}
		if len(local) == maxLocalSampledEndpoints && len(remote) >= maxSampledEndpoints-maxLocalSampledEndpoints {
			break
		}
	}
	return append(local, remote[:min(len(remote), maxSampledEndpoints-len(local))]...)
}

// withProbed adds the endpoints that were probed for a request to the sample, as far as they are usable.
func (s *Scheduler) withProbed(sample []*Endpoint, request *Request, now time.Time) []*Endpoint {
	for _, endpoint := range request.probed {
		if !endpoint.mayGetRequests(now) || endpoint.IsEjected(now) ||
			slices.Contains(sample, endpoint) || !slices.Contains(s.endpoints, endpoint) {
			continue
		}
		sample = append(sample, endpoint)
	}
	return sample
}

// hasFreeSlot reports whether any endpoint can take another request.
func (s *Scheduler) hasFreeSlot(now time.Time) bool {
	return slices.ContainsFunc(s.usableEndpoints(now), func(endpoint *Endpoint) bool {
		return s.hasFreeSlotAt(endpoint, now)
	})
}

// hasFreeSlotAt reports whether an endpoint can take another request of this instance.
func (s *Scheduler) hasFreeSlotAt(endpoint *Endpoint, now time.Time) bool {
	return endpoint.estimatedConcurrency(now) < s.maxConcurrency(endpoint, now) && endpoint.allowsRequest(now)
}

// usableEndpoints returns the endpoints that may get requests. Ejected ones are included when more than two thirds are
// ejected. The slice is valid until the next call.
func (s *Scheduler) usableEndpoints(now time.Time) []*Endpoint {
	s.openEndpoints, s.healthyEndpoints = s.openEndpoints[:0], s.healthyEndpoints[:0]
	for _, endpoint := range s.endpoints {
		if !endpoint.mayGetRequests(now) {
			continue
		}
		s.openEndpoints = append(s.openEndpoints, endpoint)
		if !endpoint.IsEjected(now) {
			s.healthyEndpoints = append(s.healthyEndpoints, endpoint)
		}
	}
	if 3*len(s.healthyEndpoints) < len(s.openEndpoints) {
		return s.openEndpoints
	}
	return s.healthyEndpoints
}
