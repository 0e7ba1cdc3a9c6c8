package mtscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newContendedScheduler returns a scheduler whose endpoints have just reported that requests of other instances use all
// slots.
func newContendedScheduler() (*Scheduler, []*Endpoint) {
	endpoints := []*Endpoint{newEndpoint("one", 2), newEndpoint("two", 2), newEndpoint("three", 2)}
	scheduler := newTestScheduler(endpoints...)
	for range 60 {
		for _, endpoint := range endpoints {
			scheduler.RecordReport(endpoint, LoadReport{
				Running:      2,
				Slots:        2,
				HostSlowdown: 1,
			}, t0)
		}
	}
	return scheduler, endpoints
}

// All reports are a second old, and the other instances' requests in them have decayed to zero. The request must wait
// for probes beyond the usual time, and be sent once an endpoint reports a free slot.
func TestContendedPoolRequiresFreshReports(t *testing.T) {
	scheduler, _ := newContendedScheduler()
	now := t0.Add(time.Second)
	require.Nil(t, scheduler.Enqueue(newRequest(1, now), now))
	for end := now.Add(2 * maxProbeWait); now.Before(end); now = now.Add(probeTimeout) {
		decisions := scheduler.Schedule(now)
		require.Empty(t, decisions.Assignments, "after %v", now.Sub(t0))
		for _, endpoint := range decisions.Probes {
			scheduler.RecordReport(endpoint, LoadReport{
				Running:      2,
				Slots:        2,
				HostSlowdown: 1,
			}, now)
		}
	}
	var probed *Endpoint
	for range 10 {
		now = now.Add(probeTimeout)
		if probes := scheduler.Schedule(now).Probes; len(probes) > 0 {
			probed = probes[0]
			break
		}
	}
	require.NotNil(t, probed)
	scheduler.RecordReport(probed, LoadReport{
		Slots:        2,
		HostSlowdown: 1,
	}, now)
	assignments := scheduler.Schedule(now).Assignments
	require.Len(t, assignments, 1)
	require.Same(t, probed, assignments[0].Endpoint)
}

// Endpoints that no longer answer probes report nothing, so a request must not wait for them.
func TestContentionExpiresWithoutReports(t *testing.T) {
	scheduler, _ := newContendedScheduler()
	require.True(t, scheduler.isContended(t0))
	now := t0.Add(time.Second)
	require.False(t, scheduler.isContended(now))
	require.Nil(t, scheduler.Enqueue(newRequest(1, now), now))
	assigned := 0
	for end := now.Add(2 * maxProbeWait); now.Before(end); now = now.Add(probeTimeout) {
		assigned += len(scheduler.Schedule(now).Assignments)
	}
	require.Equal(t, 1, assigned)
}

// This instance's own requests at endpoints are known, and must not count as those of other instances.
func TestOwnRequestsAreNotContention(t *testing.T) {
	endpoint := newEndpoint("one", 2)
	scheduler := newTestScheduler(endpoint)
	for range 60 {
		scheduler.RecordReport(endpoint, LoadReport{
			Running:     2,
			Slots:       2,
			OwnRequests: 2,
		}, t0)
	}
	require.False(t, scheduler.isContended(t0))
}

// Many requests wait for a full pool. Endpoints must be probed only for the first requests in the queue.
func TestContendedPoolProbesOnlyForFirstRequests(t *testing.T) {
	var endpoints []*Endpoint
	for i := range 60 {
		endpoints = append(endpoints, newEndpoint(fmt.Sprintf("e%02d", i), 2))
	}
	scheduler := newTestScheduler(endpoints...)
	for id := range uint64(40) {
		request := newRequest(id+1, t0)
		request.Objective, request.Deadline = t0.Add(2*time.Second), t0.Add(4*time.Second)
		require.Nil(t, scheduler.Enqueue(request, t0))
	}
	full := LoadReport{
		Running:      2,
		Slots:        2,
		HostSlowdown: 1,
	}
	for _, endpoint := range endpoints {
		scheduler.RecordReport(endpoint, full, t0)
	}
	// By now the reports of all other endpoints are old, and these may have a free slot.
	now := t0.Add(400 * time.Millisecond)
	scheduler.RecordReport(endpoints[0], full, now)
	require.True(t, scheduler.isContended(now))
	probes := len(scheduler.Schedule(now).Probes)
	require.Positive(t, probes)
	require.LessOrEqual(t, probes, 16, "two endpoints for each of eight requests")
}
