package mtplacer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// idleConnections are the addresses that have an idle connection.
type idleConnections map[string]bool

func (c idleConnections) HasIdle(address string) bool {
	return c[address]
}

// countOpenedConnections sends 20 single requests, seconds apart, and returns the number of connections that they open.
func countOpenedConnections(pool idleConnections, options ...Option) int {
	var endpoints []*Target
	for i := range 17 {
		endpoint := newEndpoint(fmt.Sprintf("e%02d", i), 2)
		endpoint.Address = endpoint.ID
		endpoints = append(endpoints, endpoint)
	}
	scheduler := newTestScheduler(endpoints...)
	for _, option := range options {
		option(scheduler)
	}
	scheduler.SetLooks(0)
	opened := 0
	for i := range 20 {
		now := t0.Add(time.Duration(i) * 1500 * time.Millisecond)
		scheduler.Offer(newRequest(uint64(i+1), now), now)
		assignment := scheduler.Bind(now).Grants[0]
		if !pool[assignment.Target.Address] {
			opened++
			pool[assignment.Target.Address] = true
		}
		scheduler.End(assignment, "menu", Result{
			Verdict: Served,
			Took:    100 * time.Millisecond,
		}, now.Add(100*time.Millisecond))
	}
	return opened
}

func TestRareRequestsReuseOpenConnections(t *testing.T) {
	pool := idleConnections{}
	require.Greater(t, countOpenedConnections(pool), 8, "without a connection pool endpoints are chosen at random")
	pool = idleConnections{}
	require.Equal(t, 1, countOpenedConnections(pool, WithConnections(pool)))
}

func TestBusyEndpointIsPassedOverDespiteOpenConnection(t *testing.T) {
	busy, idle := newEndpoint("busy", 2), newEndpoint("idle", 2)
	busy.Address, idle.Address = busy.ID, idle.ID
	scheduler := newTestScheduler(busy, idle)
	WithConnections(idleConnections{busy.Address: true})(scheduler)
	scheduler.SetLooks(0)
	for id := uint64(1); id <= 2; id++ {
		scheduler.Offer(newRequest(id, t0), t0)
	}
	assignments := scheduler.Bind(t0).Grants
	require.Len(t, assignments, 2)
	require.Same(t, busy, assignments[0].Target)
	require.Same(t, idle, assignments[1].Target)
}
