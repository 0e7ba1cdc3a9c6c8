package mtplacer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// kept are connections that stay open for a while after each request.
type kept map[string]bool

func (k kept) HasIdle(address string) bool {
	return k[address]
}

// seldom plays 20 single requests, seconds apart, and returns the number of connections that they open.
func seldom(open kept, options ...Option) int {
	var targets []*Target
	for i := range 17 {
		target := newTarget(fmt.Sprintf("e%02d", i), 2)
		target.Address = target.ID
		targets = append(targets, target)
	}
	placer := newTestPlacer(targets...)
	for _, option := range options {
		option(placer)
	}
	placer.SetLooks(0)
	opened := 0
	for i := range 20 {
		now := t0.Add(time.Duration(i) * 1500 * time.Millisecond)
		placer.Offer(newRequest(uint64(i+1), now), now)
		grant := placer.Bind(now).Grants[0]
		if !open[grant.Target.Address] {
			opened++
			open[grant.Target.Address] = true
		}
		placer.End(grant, "menu", Result{
			Verdict: Served,
			Took:    100 * time.Millisecond,
		}, now.Add(100*time.Millisecond))
	}
	return opened
}

func TestSingleRequestsKeepToOpenConnections(t *testing.T) {
	open := kept{}
	require.Greater(t, seldom(open), 8, "endpoints drawn at random")
	open = kept{}
	require.Equal(t, 1, seldom(open, WithConnections(open)))
}

func TestBusyEndpointIsLeftInSpiteOfItsConnection(t *testing.T) {
	busy, idle := newTarget("busy", 2), newTarget("idle", 2)
	busy.Address, idle.Address = busy.ID, idle.ID
	placer := newTestPlacer(busy, idle)
	WithConnections(kept{busy.Address: true})(placer)
	placer.SetLooks(0)
	for id := uint64(1); id <= 2; id++ {
		placer.Offer(newRequest(id, t0), t0)
	}
	grants := placer.Bind(t0).Grants
	require.Len(t, grants, 2)
	require.Same(t, busy, grants[0].Target)
	require.Same(t, idle, grants[1].Target)
}
