package mtplacer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// crowdedPlacer returns a placer whose endpoints were just seen full of the requests of other instances.
func crowdedPlacer() (*Placer, []*Target) {
	targets := []*Target{newTarget("one", 2), newTarget("two", 2), newTarget("three", 2)}
	placer := newTestPlacer(targets...)
	for range 60 {
		for _, target := range targets {
			placer.Observe(target, Report{
				Running: 2,
				Slots:   2,
				Pace:    1,
			}, t0)
		}
	}
	return placer, targets
}

// The figures of all endpoints are a second old, and by them the others' requests are forgotten. The request looks on beyond the
// time for which it would usually wait, and is sent when an endpoint tells that it has room.
func TestCrowdedPoolIsUsedOnFreshFiguresOnly(t *testing.T) {
	placer, _ := crowdedPlacer()
	now := t0.Add(time.Second)
	require.Nil(t, placer.Offer(newRequest(1, now), now))
	for end := now.Add(2 * lookMost); now.Before(end); now = now.Add(lookWait) {
		binding := placer.Bind(now)
		require.Empty(t, binding.Grants, "after %v", now.Sub(t0))
		for _, target := range binding.Looks {
			placer.Observe(target, Report{
				Running: 2,
				Slots:   2,
				Pace:    1,
			}, now)
		}
	}
	var found *Target
	for range 10 {
		now = now.Add(lookWait)
		if looks := placer.Bind(now).Looks; len(looks) > 0 {
			found = looks[0]
			break
		}
	}
	require.NotNil(t, found)
	placer.Observe(found, Report{
		Slots: 2,
		Pace:  1,
	}, now)
	grants := placer.Bind(now).Grants
	require.Len(t, grants, 1)
	require.Same(t, found, grants[0].Target)
}

// Endpoints that no longer answer looks tell nothing, so a request does not wait for them.
func TestCrowdIsForgottenWhenNoEndpointTells(t *testing.T) {
	placer, _ := crowdedPlacer()
	require.True(t, placer.isCrowded(t0))
	now := t0.Add(time.Second)
	require.False(t, placer.isCrowded(now))
	require.Nil(t, placer.Offer(newRequest(1, now), now))
	granted := 0
	for end := now.Add(2 * lookMost); now.Before(end); now = now.Add(lookWait) {
		granted += len(placer.Bind(now).Grants)
	}
	require.Equal(t, 1, granted)
}

// The own requests at endpoints are known and are no crowd.
func TestOwnRequestsAreNoCrowd(t *testing.T) {
	one := newTarget("one", 2)
	placer := newTestPlacer(one)
	for range 60 {
		placer.Observe(one, Report{
			Running: 2,
			Slots:   2,
			Own:     2,
		}, t0)
	}
	require.False(t, placer.isCrowded(t0))
}

// Many requests wait for a full pool. Only the first in turn have endpoints asked on their behalf.
func TestOnlyTheFirstInTurnLookInACrowdedPool(t *testing.T) {
	var targets []*Target
	for i := range 60 {
		targets = append(targets, newTarget(fmt.Sprintf("e%02d", i), 2))
	}
	placer := newTestPlacer(targets...)
	for id := range uint64(40) {
		request := newRequest(id+1, t0)
		request.Objective, request.Deadline = t0.Add(2*time.Second), t0.Add(4*time.Second)
		require.Nil(t, placer.Offer(request, t0))
	}
	full := Report{
		Running: 2,
		Slots:   2,
		Pace:    1,
	}
	for _, target := range targets {
		placer.Observe(target, full, t0)
	}
	// By now the figures of all others are old, and they may have room.
	now := t0.Add(400 * time.Millisecond)
	placer.Observe(targets[0], full, now)
	require.True(t, placer.isCrowded(now))
	looks := len(placer.Bind(now).Looks)
	require.Positive(t, looks)
	require.LessOrEqual(t, looks, 16, "two for each of eight requests")
}
