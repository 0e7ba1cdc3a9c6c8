// The load pattern: several instances send to one pool that is nearly full. An instance learns the load of an endpoint
// only when it sends a request or a probe there, and in between its estimate of the other instances' requests decays to
// zero, so that full endpoints look free. A request that is sent to one of them waits there behind those of other
// instances, while a slot becomes free elsewhere; and a request that is admitted because of them waits here in vain.
// Therefore the ratio of slots that other instances use is learned for the pool as a whole, and replaces reports that
// are old.

package mtscheduler

import (
	"math"
	"time"
)

const (
	// peerSlotRatioWeight halves the weight of a sample in some thirty reports.
	peerSlotRatioWeight = 0.02
	// contendedPeerSlotRatio is the ratio of slots used by other instances from which on an endpoint without a fresh
	// report is not assumed to be free.
	contendedPeerSlotRatio = 0.4
	// minOwnSlotRatio is the lowest assumed ratio of slots that become free for this instance.
	minOwnSlotRatio = 0.05
	// maxEvaluatedRequests is the number of waiting requests for which endpoints of a contended pool are evaluated and
	// probed at a time: probes of an endpoint are limited, and those for the first requests in the queue must not wait
	// for those for the last.
	maxEvaluatedRequests = 8
	// peerSlotRatioTimeout is how long the last report of any endpoint proves that endpoints answer probes.
	peerSlotRatioTimeout = 100 * time.Millisecond
)

// isContended reports whether other instances use so much of the pool that requests should be sent on fresh reports
// only.
func (s *Scheduler) isContended(now time.Time) bool {
	return s.currentPeerSlotRatio(now) >= contendedPeerSlotRatio
}

// currentPeerSlotRatio returns the ratio of an endpoint's slots that other instances use, or 0 when no endpoint has
// reported recently.
func (s *Scheduler) currentPeerSlotRatio(now time.Time) float64 {
	if now.Sub(s.lastReportAt) >= peerSlotRatioTimeout {
		return 0
	}
	return s.peerSlotRatio.value
}

// expectedConcurrency returns the expected number of requests at the endpoint. The number of other instances' requests
// returns to their mean ratio of the slots as the last report ages.
func (e *Endpoint) expectedConcurrency(peerSlotRatio float64, now time.Time) float64 {
	peerRequests := peerSlotRatio * float64(e.Slots)
	if !e.reportedAt.IsZero() {
		reportWeight := math.Exp2(-float64(now.Sub(e.reportedAt)) / float64(peerRequestsHalfLife))
		peerRequests += reportWeight * (e.peerRequests - peerRequests)
	}
	return float64(e.inflight) + peerRequests
}
