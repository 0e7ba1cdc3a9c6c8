package mtgateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtregistry"
	"github.com/mangotack/mangotack/internal/core/mtscheduler"
)

// A request keeps its granted target and reads the target's address without the mutex. An endpoint that registers again
// with another address, or as another process, must therefore become a new target.
func TestReregisteredEndpointIsNewTarget(t *testing.T) {
	now := time.Now()
	original := mtregistry.Entry{
		ID:      "e-1",
		Born:    1,
		Service: "menu",
		Address: "127.0.0.1:1",
		Slots:   2,
	}
	moved := original
	moved.Address = "127.0.0.1:2"
	restarted := original
	restarted.Born = 2
	for name, reregistered := range map[string]mtregistry.Entry{
		"at another address": moved,
		"as another process": restarted,
	} {
		t.Run(name, func(t *testing.T) {
			gateway := newTestGateway()
			gateway.registry.Put(original, now)
			gateway.refreshTargets(now)
			placer := gateway.placerFor("menu")
			require.Nil(t, placer.Enqueue(&mtscheduler.Request{
				ID:        1,
				ArrivedAt: now,
				Objective: now.Add(time.Second),
				Deadline:  now.Add(time.Second),
			}, now))
			placer.RecordReport(gateway.targets["e-1"], mtscheduler.LoadReport{Slots: 2}, now)
			grants := placer.Schedule(now).Assignments
			require.Len(t, grants, 1)
			earlier := grants[0].Endpoint

			gateway.registry.Put(reregistered, now)
			gateway.refreshTargets(now)
			later := gateway.targets["e-1"]
			require.Equal(t, "127.0.0.1:1", earlier.Address, "address of the request in flight")
			require.Equal(t, reregistered.Address, later.Address)
			require.Equal(t, 1, earlier.Inflight())
			require.Zero(t, later.Inflight(), "the request was sent to the earlier process")
			require.True(t, later.LastReportAt().IsZero(), "the later process has not reported yet")

			// Failures of the earlier process must not eject the later one.
			for range 5 {
				placer.Complete(grants[0], "", mtscheduler.AttemptResult{Verdict: mtscheduler.Failed}, now)
			}
			require.False(t, later.IsEjected(now))
		})
	}
}

// A request reads the address of its target while an endpoint update is applied; under the race detector the test fails
// if the update writes to that address.
func TestEndpointUpdateKeepsAddressOfInFlightRequest(t *testing.T) {
	now := time.Now()
	gateway := newTestGateway()
	entry := mtregistry.Entry{
		ID:      "e-1",
		Service: "menu",
		Address: "127.0.0.1:1",
		Slots:   2,
	}
	gateway.registry.Put(entry, now)
	gateway.refreshTargets(now)
	target := gateway.targets["e-1"]
	addresses := make(chan string)
	go func() {
		addresses <- target.Address
	}()
	entry.Slots = 3
	gateway.registry.Put(entry, now)
	gateway.refreshTargets(now)
	require.Equal(t, "127.0.0.1:1", <-addresses)
	require.Equal(t, 3, gateway.targets["e-1"].Slots)
}
