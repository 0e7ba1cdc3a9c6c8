package mtscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtrequestlimit"
)

// withRequestLimit gives an endpoint a limit in requests per second, of which this instance has a share.
func (e *Endpoint) withRequestLimit(perSecond, share float64) *Endpoint {
	e.RequestLimit.SetShare(share, t0)
	e.RequestLimit.Apply(mtrequestlimit.Statement{
		PerSecond: perSecond,
		IsLimited: true,
		At:        t0,
	}, t0)
	return e
}

func TestLimitedEndpointIsPassedOver(t *testing.T) {
	now := t0.Add(10 * time.Second)
	limited, other := newEndpoint("one", 8).withRequestLimit(1, 1), newEndpoint("two", 8)
	scheduler := newTestScheduler(limited, other)
	for _, endpoint := range scheduler.Endpoints() {
		scheduler.RecordReport(endpoint, LoadReport{Slots: 8, HostSlowdown: 1}, now)
	}
	for n := range 6 {
		require.Nil(t, scheduler.Enqueue(newRequest(uint64(n), now), now))
	}
	require.Len(t, scheduler.Schedule(now).Assignments, 6)
	require.LessOrEqual(t, limited.Inflight(), 1)
	require.GreaterOrEqual(t, other.Inflight(), 5)
}

// All endpoints are limited: a request waits for the next token, and the scheduler runs when there is one.
func TestRequestWaitsForLimitedEndpoint(t *testing.T) {
	limited := newEndpoint("one", 8).withRequestLimit(10, 1).withReport(0, 1, t0)
	scheduler := newTestScheduler(limited)
	require.Nil(t, scheduler.Enqueue(newRequest(1, t0), t0))
	decisions := scheduler.Schedule(t0)
	require.Empty(t, decisions.Assignments)
	require.Equal(t, t0.Add(100*time.Millisecond), decisions.NextRun)
	now := decisions.NextRun
	scheduler.RecordReport(limited, LoadReport{Slots: 8, HostSlowdown: 1}, now)
	require.Len(t, scheduler.Schedule(now).Assignments, 1)
}

// The load pattern: far more requests than the limits of all endpoints allow. Those that can't be served within their
// objective are rejected on arrival, although slots are free.
func TestRequestsBeyondAllLimitsAreRejectedOnArrival(t *testing.T) {
	const requests = 40
	limited := newEndpoint("one", 8).withRequestLimit(2, 1).withReport(0, 1, t0)
	scheduler := newTestScheduler(limited)
	scheduler.meanResponseTime.add(float64(100 * time.Millisecond))
	rejected := 0
	for n := range requests {
		request := newRequest(uint64(n), t0)
		if rejection := scheduler.Enqueue(request, t0); rejection != nil {
			require.Equal(t, Overload, rejection.Reason)
			require.Positive(t, rejection.RetryAfter)
			rejected++
		}
	}
	objective := newRequest(0, t0).Objective.Sub(t0)
	require.GreaterOrEqual(t, rejected, requests-1-int(2*objective.Seconds()))
}

func TestWithoutShareInAnyLimitRequestsAreRejectedAtOnce(t *testing.T) {
	limited := newEndpoint("one", 8).withRequestLimit(100, 1).withReport(0, 1, t0)
	scheduler := newTestScheduler(limited)
	require.Nil(t, scheduler.Enqueue(newRequest(1, t0), t0))
	limited.RequestLimit.SetShare(0, t0)
	rejection := scheduler.Enqueue(newRequest(2, t0), t0)
	require.NotNil(t, rejection)
	require.Equal(t, NoEndpoint, rejection.Reason)
	require.Len(t, scheduler.Schedule(t0).Dropped, 1, "the request that waits is told at once, too")
}

// A hedge or retry must not wait for an endpoint that takes no requests of this instance.
func TestRetryIsRejectedIfOnlyLimitedEndpointWithoutShareIsLeft(t *testing.T) {
	limited, tried := newEndpoint("one", 2).withRequestLimit(1, 0), newEndpoint("two", 2)
	scheduler := newTestScheduler(limited, tried)
	request := newRequest(1, t0)
	request.TriedEndpoints = []string{"two"}
	rejection := scheduler.Enqueue(request, t0)
	require.NotNil(t, rejection)
	require.Equal(t, NoUntriedEndpoint, rejection.Reason)
}

func TestHedgesSpendNoLimitOfServiceWithoutOtherEndpoints(t *testing.T) {
	now := t0.Add(10 * time.Second)
	limited := newEndpoint("one", 8).withRequestLimit(2, 1)
	require.True(t, limited.RequestLimit.Allows(now))
	scheduler := newTestScheduler(limited)
	require.False(t, scheduler.HasHedgeSlot(now))
	hedge := newRequest(1, now)
	hedge.IsHedge = true
	require.Equal(t, NoFreeHedgeSlot, scheduler.Enqueue(hedge, now).Reason)
}
