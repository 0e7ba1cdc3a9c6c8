// The load pattern: endpoints in need that name the requests a second that they take. This instance gets a share of that,
// so an endpoint with free slots may take no request for a while, and a service whose endpoints are all limited has
// less room than its slots tell.

package mtscheduler

import (
	"time"
)

// limitedRate returns the number of requests a second that an endpoint that is limited or cold can run for this instance.
func (s *Scheduler) limitedRate(endpoint *Endpoint, now time.Time) float64 {
	rate := endpoint.ownRate(now)
	if responseTime := time.Duration(s.meanResponseTime.value); responseTime > 0 {
		rate = min(rate, float64(s.maxConcurrency(endpoint, now))/responseTime.Seconds())
	}
	return rate
}

// nextLimitedSlotAt returns when the next endpoint that is limited or cold takes a request again; found is false if that
// depends on other events.
func (s *Scheduler) nextLimitedSlotAt(now time.Time) (at time.Time, found bool) {
	for _, endpoint := range s.endpoints {
		if !endpoint.IsUsable(now) || endpoint.allowsRequest(now) {
			continue
		}
		if next, hasShare := endpoint.nextRequestAt(now); hasShare && (!found || next.Before(at)) {
			at, found = next, true
		}
	}
	return at, found
}
