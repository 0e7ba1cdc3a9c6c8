package mtplacer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestBackingOffEndpointGetsNeitherRequestsNorProbes(t *testing.T) {
	one, two := newEndpoint("one", 2), newEndpoint("two", 2)
	scheduler := newTestScheduler(one, two)
	one.Rest(2*time.Second, t0)
	for n := range 2 {
		require.Nil(t, scheduler.Offer(newRequest(uint64(n), t0), t0))
	}
	decisions := scheduler.Bind(t0)
	require.Equal(t, []*Target{two}, decisions.Looks)
	scheduler.Observe(two, Report{Slots: 2, Pace: 1}, t0)
	for _, assignment := range scheduler.Bind(t0).Grants {
		require.Same(t, two, assignment.Target)
	}
}

// All endpoints are in backoff: the retry delay of a caller must not end before the first backoff does.
func TestRetryAfterCoversEndpointBackoff(t *testing.T) {
	one, two := newEndpoint("one", 2).withReport(0, 1, t0), newEndpoint("two", 2).withReport(0, 1, t0)
	scheduler := newTestScheduler(one, two)
	one.recordStart()
	one.recordStart()
	two.recordStart()
	two.recordStart()
	require.Nil(t, scheduler.Offer(newRequest(1, t0), t0))
	require.Empty(t, scheduler.Bind(t0).Grants, "the request waits")
	one.Rest(4*time.Second, t0)
	two.Rest(2*time.Second, t0)
	rejection := scheduler.Offer(newRequest(2, t0), t0)
	require.NotNil(t, rejection)
	require.Equal(t, NoEndpoint, rejection.Reason)
	require.Equal(t, 2*time.Second, rejection.After)
	dropped := scheduler.Bind(t0).Drops
	require.Len(t, dropped, 1, "requests that already wait get the same delay")
	require.Equal(t, 2*time.Second, dropped[0].Refusal.After)
}

// A retry must not wait for an endpoint when all have already had the request.
func TestRetryIsRejectedWithoutUntriedEndpoint(t *testing.T) {
	one, two := newEndpoint("one", 2).withReport(0, 1, t0), newEndpoint("two", 2).withReport(0, 1, t0)
	scheduler := newTestScheduler(one, two)
	request := newRequest(1, t0)
	request.Avoid = []string{"one", "two"}
	require.NotNil(t, scheduler.Offer(request, t0))
	two.recordStart()
	two.recordStart()
	request = newRequest(2, t0)
	request.Avoid = []string{"one"}
	require.Nil(t, scheduler.Offer(request, t0), "the request waits for a slot")
	require.Empty(t, scheduler.Bind(t0).Drops)
	two.Draining = true
	require.Len(t, scheduler.Bind(t0).Drops, 1)
}

func TestEndpointAfterBackoffGetsOneRequestFirst(t *testing.T) {
	one := newEndpoint("one", 2)
	scheduler := newTestScheduler(one)
	scheduler.SetLooks(0)
	one.Rest(time.Second, t0)
	later := t0.Add(time.Second)
	for n := range 2 {
		scheduler.Offer(newRequest(uint64(n), later), later)
	}
	assignments := scheduler.Bind(later).Grants
	require.Len(t, assignments, 1)
	later = later.Add(100 * time.Millisecond)
	scheduler.End(assignments[0], "r", Result{Verdict: Served, Took: 100 * time.Millisecond}, later)
	for n := range 2 {
		scheduler.Offer(newRequest(uint64(10+n), later), later)
	}
	require.NotEmpty(t, scheduler.Bind(later).Grants)
	require.Equal(t, 2, one.inflight)
}

func TestBackoffIsBounded(t *testing.T) {
	one := newEndpoint("one", 2)
	one.Rest(100*365*24*time.Hour, t0)
	require.False(t, one.IsResting(t0.Add(maxBackoff)))
	require.True(t, one.IsResting(t0.Add(maxBackoff-time.Second)))
}

// An endpoint may have rejected the requests of one instance only; the instances that it serves must keep using it.
func TestPeerBackoffIsOnlyAHint(t *testing.T) {
	one := newEndpoint("one", 2)
	one.recordStart()
	one.recordResult(Result{Verdict: Served}, t0)
	one.RestAsOthers(10*time.Second, t0.Add(maxPeerBackoff/2))
	require.False(t, one.IsResting(t0.Add(maxPeerBackoff/2)))
	one.RestAsOthers(10*time.Second, t0.Add(maxPeerBackoff))
	require.True(t, one.IsResting(t0.Add(maxPeerBackoff)))
	require.Zero(t, one.RestLeft(t0.Add(maxPeerBackoff)), "a backoff from another instance is not passed on")
	require.False(t, one.IsResting(t0.Add(2*maxPeerBackoff)))
}
