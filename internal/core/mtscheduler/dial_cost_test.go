package mtscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// idleConnections are the addresses that have an idle connection.
type idleConnections map[string]bool

func (c idleConnections) HasIdleConnection(address string) bool {
	return c[address]
}

// countOpenedConnections sends 20 single requests, seconds apart, and returns the number of connections that they open.
func countOpenedConnections(pool idleConnections, options ...Option) int {
	var endpoints []*Endpoint
	for i := range 17 {
		endpoint := newEndpoint(fmt.Sprintf("e%02d", i), 2)
		endpoint.Address = endpoint.ID
		endpoints = append(endpoints, endpoint)
	}
	scheduler := newTestScheduler(endpoints...)
	for _, option := range options {
		option(scheduler)
	}
	scheduler.SetProbeRate(0)
	opened := 0
	for i := range 20 {
		now := t0.Add(time.Duration(i) * 1500 * time.Millisecond)
		scheduler.Enqueue(newRequest(uint64(i+1), now), now)
		assignment := scheduler.Schedule(now).Assignments[0]
		if !pool[assignment.Endpoint.Address] {
			opened++
			pool[assignment.Endpoint.Address] = true
		}
		scheduler.Complete(assignment, "menu", AttemptResult{
			Verdict:      Served,
			ResponseTime: 100 * time.Millisecond,
		}, now.Add(100*time.Millisecond))
	}
	return opened
}

func TestRareRequestsReuseOpenConnections(t *testing.T) {
	pool := idleConnections{}
	require.Greater(t, countOpenedConnections(pool), 8, "without a connection pool endpoints are chosen at random")
	pool = idleConnections{}
	require.Equal(t, 1, countOpenedConnections(pool, WithConnectionPool(pool)))
}

func TestBusyEndpointIsPassedOverDespiteOpenConnection(t *testing.T) {
	busy, idle := newEndpoint("busy", 2), newEndpoint("idle", 2)
	busy.Address, idle.Address = busy.ID, idle.ID
	scheduler := newTestScheduler(busy, idle)
	WithConnectionPool(idleConnections{busy.Address: true})(scheduler)
	scheduler.SetProbeRate(0)
	for id := uint64(1); id <= 2; id++ {
		scheduler.Enqueue(newRequest(id, t0), t0)
	}
	assignments := scheduler.Schedule(t0).Assignments
	require.Len(t, assignments, 2)
	require.Same(t, busy, assignments[0].Endpoint)
	require.Same(t, idle, assignments[1].Endpoint)
}
