package mtscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestBackingOffEndpointGetsNeitherRequestsNorProbes(t *testing.T) {
	one, two := newEndpoint("one", 2), newEndpoint("two", 2)
	scheduler := newTestScheduler(one, two)
	one.ApplyBackoff(2*time.Second, t0)
	for n := range 2 {
		require.Nil(t, scheduler.Enqueue(newRequest(uint64(n), t0), t0))
	}
	decisions := scheduler.Schedule(t0)
	require.Equal(t, []*Endpoint{two}, decisions.Probes)
	scheduler.RecordReport(two, LoadReport{Slots: 2, HostSlowdown: 1}, t0)
	for _, assignment := range scheduler.Schedule(t0).Assignments {
		require.Same(t, two, assignment.Endpoint)
	}
}

// All endpoints are in backoff: the retry delay of a caller must not end before the first backoff does.
func TestRetryAfterCoversEndpointBackoff(t *testing.T) {
	one, two := newEndpoint("one", 2).withReport(0, 1, t0), newEndpoint("two", 2).withReport(0, 1, t0)
	scheduler := newTestScheduler(one, two)
	one.recordStart(t0)
	one.recordStart(t0)
	two.recordStart(t0)
	two.recordStart(t0)
	require.Nil(t, scheduler.Enqueue(newRequest(1, t0), t0))
	require.Empty(t, scheduler.Schedule(t0).Assignments, "the request waits")
	one.ApplyBackoff(4*time.Second, t0)
	two.ApplyBackoff(2*time.Second, t0)
	rejection := scheduler.Enqueue(newRequest(2, t0), t0)
	require.NotNil(t, rejection)
	require.Equal(t, NoEndpoint, rejection.Reason)
	require.Equal(t, 2*time.Second, rejection.RetryAfter)
	dropped := scheduler.Schedule(t0).Dropped
	require.Len(t, dropped, 1, "requests that already wait get the same delay")
	require.Equal(t, 2*time.Second, dropped[0].Rejection.RetryAfter)
}

// A retry must not wait for an endpoint when all have already had the request.
func TestRetryIsRejectedWithoutUntriedEndpoint(t *testing.T) {
	one, two := newEndpoint("one", 2).withReport(0, 1, t0), newEndpoint("two", 2).withReport(0, 1, t0)
	scheduler := newTestScheduler(one, two)
	request := newRequest(1, t0)
	request.TriedEndpoints = []string{"one", "two"}
	require.NotNil(t, scheduler.Enqueue(request, t0))
	two.recordStart(t0)
	two.recordStart(t0)
	request = newRequest(2, t0)
	request.TriedEndpoints = []string{"one"}
	require.Nil(t, scheduler.Enqueue(request, t0), "the request waits for a slot")
	require.Empty(t, scheduler.Schedule(t0).Dropped)
	two.Draining = true
	require.Len(t, scheduler.Schedule(t0).Dropped, 1)
}

func TestEndpointAfterBackoffGetsOneRequestFirst(t *testing.T) {
	one := newEndpoint("one", 2)
	scheduler := newTestScheduler(one)
	scheduler.SetProbeRate(0)
	one.ApplyBackoff(time.Second, t0)
	later := t0.Add(time.Second)
	for n := range 2 {
		scheduler.Enqueue(newRequest(uint64(n), later), later)
	}
	assignments := scheduler.Schedule(later).Assignments
	require.Len(t, assignments, 1)
	later = later.Add(100 * time.Millisecond)
	scheduler.Complete(assignments[0], "r", AttemptResult{Verdict: Served, ResponseTime: 100 * time.Millisecond}, later)
	for n := range 2 {
		scheduler.Enqueue(newRequest(uint64(10+n), later), later)
	}
	require.NotEmpty(t, scheduler.Schedule(later).Assignments)
	require.Equal(t, 2, one.inflight)
}

func TestBackoffIsBounded(t *testing.T) {
	one := newEndpoint("one", 2)
	one.ApplyBackoff(100*365*24*time.Hour, t0)
	require.False(t, one.IsInBackoff(t0.Add(maxBackoff)))
	require.True(t, one.IsInBackoff(t0.Add(maxBackoff-time.Second)))
}

// An endpoint may have rejected the requests of one instance only; the instances that it serves must keep using it.
func TestPeerBackoffIsOnlyAHint(t *testing.T) {
	one := newEndpoint("one", 2)
	one.recordStart(t0)
	one.recordResult(AttemptResult{Verdict: Served}, t0)
	one.ApplyPeerBackoff(10*time.Second, t0.Add(maxPeerBackoff/2))
	require.False(t, one.IsInBackoff(t0.Add(maxPeerBackoff/2)))
	one.ApplyPeerBackoff(10*time.Second, t0.Add(maxPeerBackoff))
	require.True(t, one.IsInBackoff(t0.Add(maxPeerBackoff)))
	require.Zero(t, one.RemainingBackoff(t0.Add(maxPeerBackoff)), "a backoff from another instance is not passed on")
	require.False(t, one.IsInBackoff(t0.Add(2*maxPeerBackoff)))
}
