package mtgateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtplacer"
	"github.com/mangotack/mangotack/internal/core/mtregistry"
)

// A request keeps the target that it was granted and reads its address without the mutex, so an endpoint that comes back at
// another address, or as another process, must be a new target.
func TestEndpointThatComesBackIsANewTarget(t *testing.T) {
	now := time.Now()
	first := mtregistry.Entry{
		ID:      "e-1",
		Born:    1,
		Service: "menu",
		Address: "127.0.0.1:1",
		Slots:   2,
	}
	moved := first
	moved.Address = "127.0.0.1:2"
	restarted := first
	restarted.Born = 2
	for name, next := range map[string]mtregistry.Entry{
		"at another address": moved,
		"as another process": restarted,
	} {
		t.Run(name, func(t *testing.T) {
			gateway := newTestGateway()
			gateway.registry.Put(first, now)
			gateway.refreshTargets(now)
			placer := gateway.placer("menu")
			require.Nil(t, placer.Offer(&mtplacer.Request{
				ID:        1,
				Arrived:   now,
				Objective: now.Add(time.Second),
				Deadline:  now.Add(time.Second),
			}, now))
			placer.Observe(gateway.targets["e-1"], mtplacer.Report{Slots: 2}, now)
			grants := placer.Bind(now).Grants
			require.Len(t, grants, 1)
			earlier := grants[0].Target

			gateway.registry.Put(next, now)
			gateway.refreshTargets(now)
			later := gateway.targets["e-1"]
			require.Equal(t, "127.0.0.1:1", earlier.Address, "the address of a request under way")
			require.Equal(t, next.Address, later.Address)
			require.Equal(t, 1, earlier.Inflight())
			require.Zero(t, later.Inflight(), "the request was sent to the earlier process")
			require.True(t, later.Reported().IsZero(), "nothing is known of the later process")

			// The end of the earlier process tells nothing about the later one.
			for range 5 {
				placer.End(grants[0], "", mtplacer.Result{Verdict: mtplacer.Failed}, now)
			}
			require.False(t, later.IsEjected(now))
		})
	}
}

// Requests read the address of their target while lists of endpoints come into force; the race detector watches.
func TestListsOfEndpointsDoNotTouchTheAddressOfARequest(t *testing.T) {
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
	read := make(chan string)
	go func() {
		read <- target.Address
	}()
	entry.Slots = 3
	gateway.registry.Put(entry, now)
	gateway.refreshTargets(now)
	require.Equal(t, "127.0.0.1:1", <-read)
	require.Equal(t, 3, gateway.targets["e-1"].Slots)
}
