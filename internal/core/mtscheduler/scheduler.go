// The flow of a request: it is queued or rejected on arrival, assigned to an endpoint, sent there by the caller of the
// scheduler, and ended. It can be cancelled at any time before it is assigned.

package mtscheduler

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Request is a request that waits for an endpoint.
type Request struct {
	ID uint64
	// Route is the name of the route, for which processing times are learned.
	Route string
	// ArrivedAt is when the request arrived at this instance.
	ArrivedAt time.Time
	// Objective is the end of the latency objective: a response is worth most until then.
	Objective time.Time
	// Deadline is the time after which a response is of no use.
	Deadline time.Time
	// Tenant is the name of the tenant, or empty; TenantWeight is its part of what is scarce, relative to other tenants.
	Tenant       string
	TenantWeight float64
	// TenantPriority is compared before Priority, the priority of the route; 0 is the most urgent.
	TenantPriority int
	Priority       int
	// TriedEndpoints contains the IDs of the endpoints that have already had the request.
	TriedEndpoints []string
	// IsHedge is set for a hedge, which only takes a slot that is free at once.
	IsHedge bool

	// missesObjective is set when the request can't meet its objective, and maxWaitUntil is when such a request has
	// waited for long enough.
	missesObjective bool
	maxWaitUntil    time.Time
	// mayBeLate is set when the request is served in turn even if it misses its objective, until maxWaitUntil.
	mayBeLate bool
	// work is the expected processing time in seconds, once shares are computed.
	work float64
	// startTag and tagOrder order requests of equal urgency by the shares of their tenants; virtualCost is what the
	// request was charged.
	startTag    float64
	tagOrder    uint64
	virtualCost float64
	// firstProbeAt is when endpoints were first probed for the request.
	firstProbeAt time.Time
	// probed are the endpoints that were last probed for the request.
	probed []*Endpoint
}

// Assignment assigns a waiting request to an endpoint.
type Assignment struct {
	ID       uint64
	Endpoint *Endpoint
	// Waited is the time from the arrival of the request until the assignment.
	Waited time.Duration
	// Concurrency is the estimated number of requests at the endpoint, including this one.
	Concurrency int
	// ExpectedResponseTime is the expected response time of the endpoint.
	ExpectedResponseTime time.Duration
	// HostSlowdown is the slowdown of the endpoint's host that the choice assumed.
	HostSlowdown float64
	// ReportAge is the age of the endpoint's last report, if there is one.
	ReportAge time.Duration
	// HasReport is set when the endpoint has reported its load.
	HasReport bool
	// expectedBytes is the size of the response that was reserved on the link.
	expectedBytes float64
	// load is the load that the request is part of, or nil.
	load *urgencyLoad
}

// Scheduler holds the endpoints and the waiting requests of one service.
type Scheduler struct {
	centre         string
	endpoints      []*Endpoint
	queue          []*Request
	routeEstimates map[string]*routeEstimate
	curve          *concurrencyCurve
	// meanHostSlowdown is the mean slowdown of the hosts, goodHostSlowdown the one that a quarter of the reports are below,
	// and meanResponseTime the mean response time of the endpoints.
	meanHostSlowdown ewma
	goodHostSlowdown quantile
	meanResponseTime ewma
	// onTimeRejectionRatio is the ratio, among the last requests that could meet their objective, of those that found
	// no slot.
	onTimeRejectionRatio ewma
	// peerSlotRatio is the mean ratio of an endpoint's slots that other instances use, and lastReportAt is when any
	// endpoint last reported its load.
	peerSlotRatio ewma
	lastReportAt  time.Time
	// slowHostTimeRatio is the mean ratio of the response time to its estimate on slow hosts, and meanRelativeError the
	// mean distance of this ratio from one on all hosts.
	slowHostTimeRatio ewma
	meanRelativeError ewma
	random            *rand.Rand
	// connectionPool holds the connections to the endpoints; it may be nil.
	connectionPool connectionPool
	link           link
	linkBytesAhead func(request *Request, expectedBytes float64) float64
	fairShare      fairShare
	slotReserve    slotReserve
	// probeRate bounds the probes of one endpoint, in probes per second.
	probeRate float64
	// hasReports is set once an endpoint has reported its load, and missingReports is the number of responses without a
	// report before that.
	hasReports     bool
	missingReports int
	// openEndpoints and healthyEndpoints are reused to avoid allocations, because callers hold a lock and must not wait
	// for the garbage collector.
	openEndpoints    []*Endpoint
	healthyEndpoints []*Endpoint
}

// NewScheduler returns a scheduler without endpoints for an instance in a data centre.
func NewScheduler(centre string, random *rand.Rand, options ...Option) *Scheduler {
	scheduler := &Scheduler{
		centre:         centre,
		routeEstimates: map[string]*routeEstimate{},
		curve:          newConcurrencyCurve(),
		meanHostSlowdown: ewma{
			value:       1,
			initialized: true,
			weight:      hostSlowdownWeight,
		},
		goodHostSlowdown: quantile{
			value:  1,
			ratio:  goodHostRatio,
			weight: hostSlowdownWeight,
		},
		meanResponseTime: ewma{
			weight: responseTimeWeight,
		},
		onTimeRejectionRatio: ewma{
			initialized: true,
			weight:      onTimeRejectionWeight,
		},
		peerSlotRatio: ewma{
			value:           contendedPeerSlotRatio,
			initialized:     true,
			hasInitialGuess: true,
			weight:          peerSlotRatioWeight,
		},
		slowHostTimeRatio: ewma{
			value:       1,
			initialized: true,
			weight:      estimateErrorWeight,
		},
		meanRelativeError: ewma{
			value:       initialRelativeError,
			initialized: true,
			weight:      estimateErrorWeight,
		},
		random:    random,
		probeRate: defaultProbeRate,
		link:      unlimitedLink{},
		linkBytesAhead: func(*Request, float64) float64 {
			return 0
		},
	}
	for _, option := range options {
		option(scheduler)
	}
	return scheduler
}

// defaultProbeRate is the limit on probes of one endpoint, in probes per second, until another is set.
const defaultProbeRate = 20

// SetProbeRate sets the limit on probes of one endpoint, in probes per second; with 0, requests don't wait for any.
func (s *Scheduler) SetProbeRate(rate float64) {
	s.probeRate = rate
}

// SetEndpoints replaces the endpoints. An endpoint that stays must be passed as the same pointer.
func (s *Scheduler) SetEndpoints(endpoints []*Endpoint) {
	slices.SortFunc(endpoints, func(a, b *Endpoint) int {
		return cmp.Compare(a.ID, b.ID)
	})
	s.endpoints = endpoints
}

// Endpoints returns the endpoints in the order of their IDs.
func (s *Scheduler) Endpoints() []*Endpoint {
	return s.endpoints
}

// Len returns the number of waiting requests.
func (s *Scheduler) Len() int {
	return len(s.queue)
}

// Enqueue adds a request to the queue, or rejects it when it can't be answered in time.
func (s *Scheduler) Enqueue(request *Request, now time.Time) *Rejection {
	work := s.estimateOf(request).processingTime()
	s.fairShare.recordArrival(request, work, len(s.queue) == 0, now)
	if s.fairShare.isActive() && !request.IsHedge {
		s.slotReserve.recordArrival(request, work, now)
	}
	if rejection := s.admit(request, now); rejection != nil {
		s.fairShare.recordRefusal(request, now)
		return rejection
	}
	s.insert(request)
	return nil
}

func (s *Scheduler) insert(request *Request) {
	s.fairShare.charge(request)
	index, _ := slices.BinarySearchFunc(s.queue, request, compareRequests)
	s.queue = slices.Insert(s.queue, index, request)
	if s.fairShare.isActive() {
		moveAheadInTenant(s.queue, index)
	}
}

// compareRequests orders requests: those that can still meet their objective first, then by the priority of the tenant
// and of the route, then by the shares of the tenants, then by objective.
func compareRequests(a, b *Request) int {
	return cmp.Or(a.compareClass(b), a.compareTag(b), compareObjective(a, b))
}

// compareUrgency orders requests as compareRequests does, without the shares and the order of arrival.
func (r *Request) compareUrgency(other *Request) int {
	return cmp.Or(r.compareClass(other), r.Objective.Compare(other.Objective))
}

// compareClass orders requests by whether they can meet their objective, and by priority.
func (r *Request) compareClass(other *Request) int {
	if r.missesObjective != other.missesObjective {
		if r.missesObjective {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(r.TenantPriority, other.TenantPriority), cmp.Compare(r.Priority, other.Priority))
}

// Cancel removes a waiting request and reports whether it was still in the queue.
func (s *Scheduler) Cancel(id uint64) bool {
	for i, request := range s.queue {
		if request.ID == id {
			s.fairShare.refund(request)
			s.queue = slices.Delete(s.queue, i, i+1)
			return true
		}
	}
	return false
}

// RemoveAll removes all waiting requests and returns their IDs.
func (s *Scheduler) RemoveAll() []uint64 {
	ids := make([]uint64, 0, len(s.queue))
	for _, request := range s.queue {
		s.fairShare.refund(request)
		ids = append(ids, request.ID)
	}
	clear(s.queue)
	s.queue = s.queue[:0]
	return ids
}

// Decisions is the result of one run of the scheduler.
type Decisions struct {
	Assignments []Assignment
	// Dropped are waiting requests that are rejected.
	Dropped []DroppedRequest
	// Probes are the endpoints to probe now.
	Probes []*Endpoint
	// NextRun is the latest time of the next run; zero when no request waits.
	NextRun time.Time
}

// runAgainBy moves the next run forward to a moment if it would be later.
func (d *Decisions) runAgainBy(moment time.Time) {
	if d.NextRun.IsZero() || moment.Before(d.NextRun) {
		d.NextRun = moment
	}
}

// DroppedRequest is a waiting request that is rejected.
type DroppedRequest struct {
	ID        uint64
	Rejection *Rejection
}

// Schedule assigns endpoints to waiting requests, and rejects those that can't be answered in time.
func (s *Scheduler) Schedule(now time.Time) Decisions {
	decisions := Decisions{
		Dropped: s.dropOverdue(now),
	}
	waiting := s.queue[:0]
	hasFreeSlot := len(s.queue) > 0 && s.hasFreeSlot(now)
	var free capacity
	if s.fairShare.isActive() {
		free = s.currentCapacity(now)
	}
	for _, request := range s.queue {
		if !hasFreeSlot {
			waiting = append(waiting, request)
			decisions.runAgainBy(s.nextDecisionAt(request, now))
			continue
		}
		if len(waiting) >= maxEvaluatedRequests && s.isContended(now) {
			waiting = append(waiting, request)
			decisions.runAgainBy(s.nextDecisionAt(request, now))
			continue
		}
		if reserved := s.reservedSlots(request, free, now); reserved > 0 && free.free <= reserved {
			waiting = append(waiting, request)
			decisions.runAgainBy(s.nextDecisionAt(request, now))
			decisions.runAgainBy(now.Add(reserveRecheckInterval))
			continue
		}
		if wait := s.linkWaitOfNext(request, now); wait > 0 {
			waiting = append(waiting, request)
			decisions.runAgainBy(s.nextDecisionAt(request, now))
			decisions.runAgainBy(now.Add(wait))
			continue
		}
		assignment, retryAt := s.chooseEndpoint(request, now, &decisions.Probes)
		if assignment != nil {
			assignment.expectedBytes = s.expectedBytes(request)
			s.link.Reserve(assignment.expectedBytes, now)
			assignment.Endpoint.recordStart(now)
			s.estimateOf(request).recordSent(now)
			s.fairShare.recordStart(request)
			if s.fairShare.isActive() {
				free.free--
				assignment.load = s.slotReserve.loadOf(request)
				assignment.load.running++
			}
			decisions.Assignments = append(decisions.Assignments, *assignment)
			hasFreeSlot = s.hasFreeSlot(now)
			continue
		}
		waiting = append(waiting, request)
		decisions.runAgainBy(s.nextDecisionAt(request, now))
		if !retryAt.IsZero() {
			decisions.runAgainBy(retryAt)
		}
	}
	clear(s.queue[len(waiting):])
	s.queue = waiting
	if len(waiting) > 0 {
		if at, found := s.nextLimitedSlotAt(now); found {
			decisions.runAgainBy(at)
		}
	}
	return decisions
}

// ExpectedProcessingTime returns the estimated processing time of a request at an otherwise idle endpoint.
func (s *Scheduler) ExpectedProcessingTime(request *Request) time.Duration {
	return s.estimateOf(request).processingTime()
}

// Complete records the end of an assigned request.
func (s *Scheduler) Complete(assignment Assignment, route string, result AttemptResult, now time.Time) {
	assignment.Endpoint.recordResult(result, now)
	if assignment.load != nil {
		assignment.load.running--
	}
	s.link.Settle(assignment.expectedBytes, float64(result.ResponseBytes), now)
	s.addEstimateError(assignment, result)
	if result.Verdict != Served {
		return
	}
	s.meanResponseTime.add(float64(result.ResponseTime))
	normalized := float64(result.ResponseTime) / max(1, assignment.HostSlowdown)
	if estimate := s.routeEstimates[route]; estimate != nil {
		// Each of the estimate and the curve is learned from the part of the time that the other doesn't explain.
		s.curve.addSample(assignment.Concurrency, normalized/max(1, float64(estimate.processingTime())))
		estimate.meanResponseBytes.add(float64(result.ResponseBytes))
		estimate.addSample(time.Duration(normalized / s.curve.slowdown(assignment.Concurrency, assignment.Endpoint.Slots)))
	}
}

// RecordReport records a report of an endpoint's load.
func (s *Scheduler) RecordReport(endpoint *Endpoint, report LoadReport, now time.Time) {
	// Reports within a short time are samples of the same state of the host, and slow hosts are probed more often.
	if report.HostSlowdown > 0 && now.Sub(endpoint.reportedAt) > 2*hostSlowdownLifetime {
		s.meanHostSlowdown.add(report.HostSlowdown)
		s.goodHostSlowdown.add(report.HostSlowdown)
	}
	s.hasReports = true
	s.lastReportAt = now
	endpoint.recordReport(report, now)
	s.peerSlotRatio.add(min(1, endpoint.peerRequests/float64(max(1, endpoint.Slots))))
}

// minMissingReports is the number of responses without a report from which on a service counts as one that doesn't
// report.
const minMissingReports = 5

// RecordMissingReport records a response without a report, to a request or to a probe.
func (s *Scheduler) RecordMissingReport(endpoint *Endpoint, now time.Time) {
	wasProbed := endpoint.probing
	endpoint.probing = false
	if !s.hasReports {
		s.missingReports++
		return
	}
	if wasProbed {
		endpoint.recordFailedProbe(now)
	}
}

// canProbe reports whether probes are enabled and endpoints report their load.
func (s *Scheduler) canProbe() bool {
	return s.probeRate > 0 && (s.hasReports || s.missingReports < minMissingReports)
}

// isSlowHost reports whether a slowdown is well above that of a good host of the service.
//
// A good host and not the mean is the measure: if some hosts are slow for long, the mean is so high that the others
// would no longer count as slow when they are.
func (s *Scheduler) isSlowHost(slowdown float64) bool {
	return slowdown > maxNormalSlowdown*max(1, s.goodHostSlowdown.value)
}

// goodHostRatio is the ratio of the reported slowdowns that are below that of a good host.
const goodHostRatio = 0.25

// RecordFailedProbe records that an endpoint didn't answer a probe.
func (s *Scheduler) RecordFailedProbe(endpoint *Endpoint, now time.Time) {
	endpoint.recordFailedProbe(now)
}
