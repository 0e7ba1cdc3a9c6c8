package mtplacer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRestingEndpointGetsNeitherRequestsNorLooks(t *testing.T) {
	one, two := newTarget("one", 2), newTarget("two", 2)
	placer := newTestPlacer(one, two)
	one.Rest(2*time.Second, t0)
	for n := range 2 {
		require.Nil(t, placer.Offer(newRequest(uint64(n), t0), t0))
	}
	binding := placer.Bind(t0)
	require.Equal(t, []*Target{two}, binding.Looks)
	placer.Observe(two, Report{Slots: 2, Pace: 1}, t0)
	for _, grant := range placer.Bind(t0).Grants {
		require.Same(t, two, grant.Target)
	}
}

// All endpoints rest: a caller must not be told to come back before one of them takes requests.
func TestCallersAreNotToldToComeBackToRestingEndpoints(t *testing.T) {
	one, two := newTarget("one", 2).withReport(0, 1, t0), newTarget("two", 2).withReport(0, 1, t0)
	placer := newTestPlacer(one, two)
	one.start()
	one.start()
	two.start()
	two.start()
	require.Nil(t, placer.Offer(newRequest(1, t0), t0))
	require.Empty(t, placer.Bind(t0).Grants, "it waits")
	one.Rest(4*time.Second, t0)
	two.Rest(2*time.Second, t0)
	refusal := placer.Offer(newRequest(2, t0), t0)
	require.NotNil(t, refusal)
	require.Equal(t, NoEndpoint, refusal.Reason)
	require.Equal(t, 2*time.Second, refusal.After)
	drops := placer.Bind(t0).Drops
	require.Len(t, drops, 1, "what waits already is told as well")
	require.Equal(t, 2*time.Second, drops[0].Refusal.After)
}

// A further attempt must not wait for an endpoint when all have had the request.
func TestAttemptIsRefusedAtOnceWhenNoOtherEndpointIsLeft(t *testing.T) {
	one, two := newTarget("one", 2).withReport(0, 1, t0), newTarget("two", 2).withReport(0, 1, t0)
	placer := newTestPlacer(one, two)
	request := newRequest(1, t0)
	request.Avoid = []string{"one", "two"}
	require.NotNil(t, placer.Offer(request, t0))
	two.start()
	two.start()
	request = newRequest(2, t0)
	request.Avoid = []string{"one"}
	require.Nil(t, placer.Offer(request, t0), "it waits for a slot")
	require.Empty(t, placer.Bind(t0).Drops)
	two.Draining = true
	require.Len(t, placer.Bind(t0).Drops, 1)
}

func TestEndpointComesBackFromARestWithOneRequestFirst(t *testing.T) {
	one := newTarget("one", 2)
	placer := newTestPlacer(one)
	placer.SetLooks(0)
	one.Rest(time.Second, t0)
	later := t0.Add(time.Second)
	for n := range 2 {
		placer.Offer(newRequest(uint64(n), later), later)
	}
	grants := placer.Bind(later).Grants
	require.Len(t, grants, 1)
	later = later.Add(100 * time.Millisecond)
	placer.End(grants[0], "r", Result{Verdict: Served, Took: 100 * time.Millisecond}, later)
	for n := range 2 {
		placer.Offer(newRequest(uint64(10+n), later), later)
	}
	require.NotEmpty(t, placer.Bind(later).Grants)
	require.Equal(t, 2, one.inflight)
}

func TestAbsurdRestIsBounded(t *testing.T) {
	one := newTarget("one", 2)
	one.Rest(100*365*24*time.Hour, t0)
	require.False(t, one.IsResting(t0.Add(restMost)))
	require.True(t, one.IsResting(t0.Add(restMost-time.Second)))
}

// An endpoint may have turned away one instance alone; those that it serves keep using it.
func TestWhatAnEndpointSaidToOthersIsAHint(t *testing.T) {
	one := newTarget("one", 2)
	one.start()
	one.end(Result{Verdict: Served}, t0)
	one.RestAsOthers(10*time.Second, t0.Add(hearsayMost/2))
	require.False(t, one.IsResting(t0.Add(hearsayMost/2)))
	one.RestAsOthers(10*time.Second, t0.Add(hearsayMost))
	require.True(t, one.IsResting(t0.Add(hearsayMost)))
	require.Zero(t, one.RestLeft(t0.Add(hearsayMost)), "it is not passed on")
	require.False(t, one.IsResting(t0.Add(2*hearsayMost)))
}
