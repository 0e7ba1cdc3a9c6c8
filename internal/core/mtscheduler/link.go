// The load pattern: all endpoints have free slots, but the link of this instance can't carry the responses.

package mtscheduler

import "time"

// link is the link over which responses reach this instance; all its schedulers share it.
type link interface {
	Wait(expectedBytes, bytesAhead float64, isLate bool, now time.Time) time.Duration
	Reserve(expectedBytes float64, now time.Time)
	Settle(expectedBytes, actualBytes float64, now time.Time)
}

// unlimitedLink is the link of an instance that does not know how much its link carries.
type unlimitedLink struct{}

// Wait returns 0.
func (unlimitedLink) Wait(float64, float64, bool, time.Time) time.Duration { return 0 }

// Reserve does nothing.
func (unlimitedLink) Reserve(float64, time.Time) {}

// Settle does nothing.
func (unlimitedLink) Settle(float64, float64, time.Time) {}

// WithLink makes requests wait until the link can carry their responses. The function returns the expected bytes of the
// responses to the waiting requests of all schedulers of the instance that go before a request.
func WithLink(link link, bytesAhead func(request *Request, expectedBytes float64) float64) Option {
	return func(s *Scheduler) {
		s.link = link
		s.linkBytesAhead = bytesAhead
	}
}

// maxAheadRatio is how many times larger a response may be to go before another on a full link. Larger ones wait until
// there is more room, and smaller ones pass them.
const maxAheadRatio = 4

// BytesAhead returns the expected bytes of the responses to the waiting requests that go before a request, which may be one
// of another scheduler; expectedBytes are those of its own response.
func (s *Scheduler) BytesAhead(request *Request, expectedBytes float64) float64 {
	bytes := 0.0
	for _, waiting := range s.queue {
		ahead := s.expectedBytes(waiting)
		if waiting.compareUrgency(request) <= 0 && ahead <= maxAheadRatio*expectedBytes {
			bytes += ahead
		}
	}
	return bytes
}

// MostUrgent returns the waiting request that goes first, or nil.
func (s *Scheduler) MostUrgent() *Request {
	if len(s.queue) == 0 {
		return nil
	}
	return s.queue[0]
}

// CompareUrgency orders requests of any scheduler, the most urgent first; nil goes last.
func CompareUrgency(a, b *Request) int {
	switch {
	case a == nil && b == nil:
		return 0
	case a == nil:
		return 1
	case b == nil:
		return -1
	default:
		return a.compareUrgency(b)
	}
}

// linkWait returns how long a request must wait for the link on arrival.
func (s *Scheduler) linkWait(request *Request, now time.Time) time.Duration {
	return s.link.Wait(s.expectedBytes(request), s.linkBytesAhead(request, s.expectedBytes(request)), request.missesObjective, now)
}

// linkWaitOfNext returns how long the request that goes next must wait for the link.
func (s *Scheduler) linkWaitOfNext(request *Request, now time.Time) time.Duration {
	return s.link.Wait(s.expectedBytes(request), 0, request.missesObjective, now)
}

// linkWaitOfHedge returns how long a hedge must wait for the link, which it uses only if nothing else needs it.
func (s *Scheduler) linkWaitOfHedge(request *Request, now time.Time) time.Duration {
	return s.link.Wait(s.expectedBytes(request), 0, true, now)
}

func (s *Scheduler) expectedBytes(request *Request) float64 {
	return s.estimateOf(request).meanResponseBytes.value
}
