// The load pattern: more requests than slots. A request waits here, not at an endpoint, and one that can't be answered
// within its objective is rejected on arrival.

package mtscheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// minRetryAfter is the shortest retry delay that a rejected caller is given.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfterRatio bounds the retry delay of a rejected caller, as a ratio of its time left. It also bounds how
	// long a late request waits in the queue.
	maxRetryAfterRatio = 1.0 / 3
	// A hedge is admitted only if more slots are free than all slots divided by hedgeFreeSlotDivisor.
	hedgeFreeSlotDivisor = 4
	// maxLateQueueRatio bounds the number of queued requests that can't meet their objective, as a ratio of the slots.
	maxLateQueueRatio = 0.15
	// overloadRejectionRatio is the ratio, among the requests that could meet their objective, of those that find no
	// slot; from this ratio on, late requests must not wait.
	overloadRejectionRatio = 0.05
	// waitSafetyFactor is the multiple of the expected wait that a request must be able to wait to be admitted: the
	// expected wait is a mean, and requests that are more urgent may arrive meanwhile.
	waitSafetyFactor = 1.5
	// reservedSlotRatio is the ratio of the slots that is reserved for requests that can still meet their objective.
	reservedSlotRatio = 0.2
)

// Rejection is the reason why a request is rejected, and when its caller should retry.
type Rejection struct {
	Reason string
	// QueueTime is the expected time in the queue.
	QueueTime time.Duration
	// ProcessingTime is the expected processing time at the endpoint after that.
	ProcessingTime time.Duration
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration
}

// The reasons for rejections.
const (
	// NoEndpoint means that the service has no usable endpoint.
	NoEndpoint = "noendpoint"
	// NoUntriedEndpoint means that the request has already been sent to every usable endpoint.
	NoUntriedEndpoint = "noother"
	// Overload means that the response would be too late.
	Overload = "overload"
	// LinkFull means that the response would be too late because the link of this instance is full.
	LinkFull = "link"
	// NoFreeHedgeSlot means that no slot is free for a hedge.
	NoFreeHedgeSlot = "nospare"
)

// admit decides on arrival whether a request may wait in the queue.
func (s *Scheduler) admit(request *Request, now time.Time) *Rejection {
	capacity := s.currentCapacity(now)
	if capacity.endpoints == 0 {
		return s.rejectWithoutEndpoint(request, capacity, now)
	}
	if !s.hasUntriedEndpoint(request, now) {
		return s.reject(request, NoUntriedEndpoint, 0, capacity, now)
	}
	if !s.canMeetDeadline(request, now) {
		return s.rejectUnmeetableDeadline(request, capacity, now)
	}
	if request.IsHedge {
		if !s.hasHedgeSlot(capacity) || s.linkWaitOfHedge(request, now) > 0 {
			return s.reject(request, NoFreeHedgeSlot, 0, capacity, now)
		}
		return nil
	}
	capacity.free -= s.reservedSlots(request, capacity, now)
	request.missesObjective = !s.canMeetObjective(request, 0, capacity, now)
	if s.fairShare.isUnderserved(request, now) {
		request.missesObjective = false
		request.mayBeLate = true
		request.maxWaitUntil = s.latestUsefulStart(request, now)
		return nil
	}
	s.fairShare.preview(request, s.queue)
	ahead := s.countAhead(request)
	if ahead >= capacity.free && s.fairShare.exceedsShare(request, now) {
		return s.rejectBeyondShare(request, ahead, capacity, now)
	}
	if request.missesObjective {
		mayWait := !s.isOverloaded() && s.areOnlyLateAhead(ahead) &&
			float64(ahead) < maxLateQueueRatio*float64(capacity.slots)
		if !mayWait && (ahead >= capacity.unreservedSlots() || s.linkWait(request, now) > 0) {
			return s.rejectLate(request, ahead, capacity, now)
		}
		if wait := s.linkWait(request, now); wait > time.Duration(maxRetryAfterRatio*float64(request.Deadline.Sub(now))) {
			return s.reject(request, LinkFull, wait, capacity, now)
		}
		request.maxWaitUntil = s.latestUsefulStart(request, now)
		return nil
	}
	wait := time.Duration(0)
	if ahead >= capacity.free {
		// A slot on a slow host does not become free in time, so it is not waited for.
		wait = s.estimateWait(request, ahead-capacity.free+1, capacity.fastSlots, capacity, now)
	}
	if !s.canMeetObjective(request, time.Duration(waitSafetyFactor*float64(wait)), capacity, now) {
		s.onTimeRejectionRatio.add(1)
		return s.reject(request, Overload, wait, capacity, now)
	}
	linkWait := s.linkWait(request, now)
	if !s.canMeetObjective(request, 0, capacity, now.Add(time.Duration(waitSafetyFactor*float64(linkWait)))) {
		s.onTimeRejectionRatio.add(1)
		return s.reject(request, LinkFull, linkWait, capacity, now)
	}
	s.onTimeRejectionRatio.add(0)
	return nil
}

// areOnlyLateAhead reports whether all waiting requests before one that misses its objective miss theirs; ahead is their
// number.
func (s *Scheduler) areOnlyLateAhead(ahead int) bool {
	late := s.countLate()
	if s.fairShare.isActive() {
		// Late requests of other tenants may be behind it.
		return late == len(s.queue)
	}
	return ahead == late
}

// rejectBeyondShare rejects a request of a tenant that has got more than its part of the service.
func (s *Scheduler) rejectBeyondShare(request *Request, ahead int, capacity capacity, now time.Time) *Rejection {
	if !request.missesObjective {
		s.onTimeRejectionRatio.add(1)
	}
	return s.reject(request, Overload, s.estimateWait(request, ahead-capacity.free+1, capacity.fastSlots, capacity, now), capacity, now)
}

// latestUsefulStart returns until when a request may wait although it misses its objective.
func (s *Scheduler) latestUsefulStart(request *Request, now time.Time) time.Time {
	return earlier(
		now.Add(time.Duration(maxRetryAfterRatio*float64(request.Deadline.Sub(now)))),
		s.latestStart(request, now),
	)
}

// HasHedgeSlot reports whether a slot is free for a hedge.
func (s *Scheduler) HasHedgeSlot(now time.Time) bool {
	return s.hasHedgeSlot(s.currentCapacity(now))
}

func (s *Scheduler) hasHedgeSlot(capacity capacity) bool {
	// An endpoint that limits its requests gets no hedges if there is no other.
	return len(s.queue) == 0 && capacity.slots > 0 && capacity.free > capacity.slots/hedgeFreeSlotDivisor
}

// capacity is the number of requests that the endpoints can run at a moment.
type capacity struct {
	endpoints int
	// slots is the number of requests that the endpoints run at once, and free is how many of these slots are free on
	// hosts that are not known to be slow.
	slots int
	free  int
	// fastSlots is the number of slots on hosts that are not known to be slow, free or not.
	fastSlots int
	// limitedRate is the number of requests a second that limited and cold endpoints take from this instance; the
	// numbers of slots leave these endpoints out, except for free, which counts those that take a request now.
	limitedRate float64
	// slowdownWhenFull is how many times longer a request takes when all slots are in use.
	slowdownWhenFull float64
}

// unreservedSlots returns the number of free slots beyond those reserved for requests that can still meet their
// objective.
func (c capacity) unreservedSlots() int {
	return c.free - int(math.Ceil(reservedSlotRatio*float64(c.slots)))
}

// currentCapacity returns the capacity of the usable endpoints.
func (s *Scheduler) currentCapacity(now time.Time) capacity {
	result := capacity{
		slowdownWhenFull: 1,
	}
	peerSlotRatio := s.currentPeerSlotRatio(now)
	free := 0.0
	for _, endpoint := range s.usableEndpoints(now) {
		maxConcurrency := s.maxConcurrency(endpoint, now)
		result.endpoints++
		if endpoint.isLimited(now) {
			result.limitedRate += s.limitedRate(endpoint, now)
			if s.hasFreeSlotAt(endpoint, now) {
				free++
			}
			continue
		}
		result.slots += maxConcurrency
		result.slowdownWhenFull = max(result.slowdownWhenFull, s.curve.slowdown(maxConcurrency, endpoint.Slots))
		// A host whose last report was good is not known to be slow, whatever the age of the report.
		if endpoint.hostSlowdown <= maxNormalSlowdown || !s.isSlowHost(endpoint.expectedHostSlowdown(1, now)) {
			result.fastSlots += maxConcurrency
			free += max(0, float64(maxConcurrency)-endpoint.expectedConcurrency(peerSlotRatio, now))
		}
	}
	result.free = int(free)
	return result
}

// canMeetObjective reports whether a request that starts after a wait can be answered within its objective.
func (s *Scheduler) canMeetObjective(request *Request, wait time.Duration, capacity capacity, now time.Time) bool {
	return now.Add(wait + s.processingTimeAfter(request, wait, capacity)).Before(request.Objective)
}

// processingTimeAfter returns how long a request takes at an endpoint; after a wait, all other slots of the endpoint
// are assumed to be in use.
func (s *Scheduler) processingTimeAfter(request *Request, wait time.Duration, capacity capacity) time.Duration {
	processingTime := s.estimateOf(request).processingTime()
	if wait > 0 {
		return time.Duration(capacity.slowdownWhenFull * float64(processingTime))
	}
	return processingTime
}

// isOverloaded reports whether requests that could meet their objective are rejected, so that no slot will be left for
// late ones.
func (s *Scheduler) isOverloaded() bool {
	return s.onTimeRejectionRatio.value >= overloadRejectionRatio
}

// rejectLate rejects a request that can't meet its objective; ahead is the number of requests that are served before
// it.
func (s *Scheduler) rejectLate(request *Request, ahead int, capacity capacity, now time.Time) *Rejection {
	return s.reject(
		request,
		Overload,
		max(
			s.estimateWait(request, ahead-capacity.unreservedSlots()+1, capacity.slots, capacity, now),
			s.linkWait(request, now),
		),
		capacity,
		now,
	)
}

// rejectUnmeetableDeadline rejects a request that no host can answer before its deadline.
func (s *Scheduler) rejectUnmeetableDeadline(request *Request, capacity capacity, now time.Time) *Rejection {
	s.estimateOf(request).rejectedSinceSent++
	return s.reject(request, Overload, 0, capacity, now)
}

// hasUntriedEndpoint reports whether any usable endpoint has not had the request yet.
func (s *Scheduler) hasUntriedEndpoint(request *Request, now time.Time) bool {
	return len(request.TriedEndpoints) == 0 || slices.ContainsFunc(s.endpoints, func(endpoint *Endpoint) bool {
		return endpoint.mayGetRequests(now) && !slices.Contains(request.TriedEndpoints, endpoint.ID)
	})
}

// rejectWithoutEndpoint rejects a request of a service without a usable endpoint. While endpoints are in backoff, the
// caller's retry delay doesn't end before the first backoff does.
func (s *Scheduler) rejectWithoutEndpoint(request *Request, capacity capacity, now time.Time) *Rejection {
	rejection := s.reject(request, s.reasonWithoutEndpoint(), 0, capacity, now)
	backoffEnd := time.Time{}
	for _, endpoint := range s.endpoints {
		if !endpoint.Draining && !endpoint.Evacuated && (backoffEnd.IsZero() || endpoint.backoffUntil.Before(backoffEnd)) {
			backoffEnd = endpoint.backoffUntil
		}
	}
	if !backoffEnd.IsZero() {
		rejection.RetryAfter = max(rejection.RetryAfter, backoffEnd.Sub(now))
	}
	return rejection
}

// nextDecisionAt returns when a waiting request must be decided on again although no endpoint has changed.
func (s *Scheduler) nextDecisionAt(request *Request, now time.Time) time.Time {
	switch {
	case request.IsHedge:
		return s.latestStart(request, now)
	case request.missesObjective, request.mayBeLate:
		return request.maxWaitUntil
	default:
		return request.Objective.Add(-s.estimateOf(request).processingTime())
	}
}

// latestStart returns when a request must be sent at the latest to be answered before its deadline.
func (s *Scheduler) latestStart(request *Request, now time.Time) time.Time {
	if s.estimateOf(request).isUnreliable(now) {
		return request.Deadline
	}
	return request.Deadline.Add(-s.upperEstimate(s.estimateOf(request).processingTime(), 1))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// dropOverdue removes waiting requests that can no longer meet their objective, unless a slot becomes free for them
// soon.
//
// If they were served first, because their objective is nearest, each request after them would be late as well.
func (s *Scheduler) dropOverdue(now time.Time) []DroppedRequest {
	if len(s.queue) == 0 {
		return nil
	}
	capacity := s.currentCapacity(now)
	var dropped []DroppedRequest
	var late []*Request
	waiting := s.queue[:0]
	for _, request := range s.queue {
		switch {
		case capacity.endpoints == 0:
			dropped = append(dropped, s.drop(request, s.rejectWithoutEndpoint(request, capacity, now), now))
		case !s.hasUntriedEndpoint(request, now):
			dropped = append(dropped, s.drop(request, s.reject(request, NoUntriedEndpoint, 0, capacity, now), now))
		case !s.canMeetDeadline(request, now):
			dropped = append(dropped, s.drop(request, s.rejectUnmeetableDeadline(request, capacity, now), now))
		case request.mayBeLate && !now.Before(request.maxWaitUntil):
			dropped = append(dropped, s.drop(request, s.rejectLate(request, len(waiting), capacity, now), now))
		case request.IsHedge, request.mayBeLate, !request.missesObjective && s.canMeetObjective(request, 0, capacity, now):
			waiting = append(waiting, request)
		case !request.missesObjective:
			s.fairShare.refund(request)
			late = append(late, request)
		case !now.Before(request.maxWaitUntil), s.isOverloaded() && len(waiting) >= capacity.unreservedSlots():
			dropped = append(dropped, s.drop(request, s.rejectLate(request, len(waiting), capacity, now), now))
		default:
			waiting = append(waiting, request)
		}
	}
	clear(s.queue[len(waiting):])
	s.queue = waiting
	return append(dropped, s.readmitLate(late, now)...)
}

// drop rejects a waiting request.
func (s *Scheduler) drop(request *Request, rejection *Rejection, now time.Time) DroppedRequest {
	s.fairShare.refund(request)
	s.fairShare.recordRefusal(request, now)
	return DroppedRequest{
		ID:        request.ID,
		Rejection: rejection,
	}
}

// readmitLate puts requests that have become late back into the queue, or rejects them.
func (s *Scheduler) readmitLate(late []*Request, now time.Time) []DroppedRequest {
	var dropped []DroppedRequest
	for _, request := range late {
		request.missesObjective = true
		s.onTimeRejectionRatio.add(1)
		if rejection := s.admit(request, now); rejection != nil {
			dropped = append(dropped, s.drop(request, rejection, now))
			continue
		}
		s.insert(request)
	}
	return dropped
}

// countLate returns the number of waiting requests that can't meet their objective.
func (s *Scheduler) countLate() int {
	count := 0
	for _, waiting := range s.queue {
		if waiting.missesObjective {
			count++
		}
	}
	return count
}

// countAhead returns the number of waiting requests that are served before a request.
func (s *Scheduler) countAhead(request *Request) int {
	count := 0
	for _, waiting := range s.queue {
		if compareRequests(waiting, request) <= 0 {
			count++
		}
	}
	return count
}

// estimateWait estimates how long it takes until a number of slots have become free for this instance, which gets the
// slots that other instances leave. Until the first response, the processing time of the request stands in for the mean
// response time.
func (s *Scheduler) estimateWait(
	request *Request, neededSlots, slots int, capacity capacity, now time.Time,
) time.Duration {
	responseTime := s.meanResponseTime.value
	if !s.meanResponseTime.initialized {
		responseTime = float64(s.estimateOf(request).processingTime())
	}
	ownSlots := capacity.limitedRate * time.Duration(responseTime).Seconds()
	if slots > 0 || ownSlots == 0 {
		ownSlots += max(1, float64(slots)*max(minOwnSlotRatio, 1-s.currentPeerSlotRatio(now)))
	}
	return time.Duration(float64(max(0, neededSlots)) * responseTime / ownSlots)
}

// reject returns the rejection of a request, with a random retry delay that is not shorter than the expected wait
// unless that exceeds the maximum.
func (s *Scheduler) reject(
	request *Request,
	reason string,
	wait time.Duration,
	capacity capacity,
	now time.Time,
) *Rejection {
	maxRetryAfter := time.Duration(maxRetryAfterRatio * float64(request.Deadline.Sub(now)))
	lowest, span := request.retryDelayRange()
	retryAfter := max(wait, time.Duration((lowest+span*s.random.Float64())*float64(maxRetryAfter)))
	return &Rejection{
		Reason:         reason,
		QueueTime:      wait,
		ProcessingTime: s.processingTimeAfter(request, wait, capacity),
		RetryAfter:     max(minRetryAfter, min(retryAfter, maxRetryAfter)),
	}
}

const (
	// The random part of the retry delay of a rejected caller, as a ratio of the longest delay, is from minRetryRatio to
	// 1. With a tenant, it is divided between maxRetryPriorities priorities of tenants, and each part between as many
	// priorities of routes, so that callers return in the order of their urgency.
	minRetryRatio      = 0.4
	maxRetryPriorities = 4
)

// retryDelayRange returns the lowest ratio of the longest retry delay, and what is drawn at random beyond it.
func (r *Request) retryDelayRange() (lowest, span float64) {
	if r.Tenant == "" {
		return minRetryRatio, 1 - minRetryRatio
	}
	part := func(priority int) float64 {
		return float64(max(0, min(priority, maxRetryPriorities-1))) / maxRetryPriorities
	}
	span = (1 - minRetryRatio) / (maxRetryPriorities * maxRetryPriorities)
	return minRetryRatio + (1-minRetryRatio)*(part(r.TenantPriority)+part(r.Priority)/maxRetryPriorities), span
}
