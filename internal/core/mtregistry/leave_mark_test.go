package mtregistry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// isDraining reports whether the registry holds a draining entry with an ID.
func isDraining(r *Registry, id string) bool {
	draining := false
	r.ForEachEntry(func(entry Entry, _ time.Time) {
		draining = draining || entry.ID == id && entry.Draining
	})
	return draining
}

func TestMarkedEndpointDrainsAlthoughItsEntryIsReady(t *testing.T) {
	registry := newRegistryWithEntry("one")
	require.True(t, registry.MarkLeaving(LeaveMark{ID: "one"}, t0))
	require.True(t, isDraining(registry, "one"))
	require.False(t, registry.MarkLeaving(LeaveMark{ID: "one"}, t0), "the endpoint is marked already")
	registry.Put(Entry{ID: "one"}, t0.Add(time.Second))
	require.True(t, isDraining(registry, "one"))
	require.True(t, registry.Remove("one", t0.Add(2*time.Second)))
	registry.Put(Entry{ID: "one"}, t0.Add(3*time.Second))
	require.True(t, isDraining(registry, "one"), "the same process has registered again")
}

func TestMarkAppliesToOneProcessOnly(t *testing.T) {
	for born, isLeaving := range map[int64]bool{1: true, 2: false} {
		registry := NewRegistry()
		registry.MarkLeaving(LeaveMark{ID: "one", Born: 1}, t0)
		registry.Put(Entry{ID: "one", Born: born}, t0)
		require.Equal(t, isLeaving, isDraining(registry, "one"), "the mark came before the entry of process %d", born)
		require.False(t, isDraining(registry, "two"))
	}
}

func TestMarksOmitsEntriesThatDrainInTheStore(t *testing.T) {
	registry := newRegistryWithEntry("one")
	registry.Put(Entry{ID: "two"}, t0)
	registry.MarkLeaving(LeaveMark{ID: "one"}, t0)
	registry.MarkLeaving(LeaveMark{ID: "unknown"}, t0)
	require.Equal(t, []LeaveMark{{ID: "one"}}, registry.UnpublishedLeaveMarks())
	registry.Put(Entry{ID: "one", Draining: true}, t0)
	require.Empty(t, registry.UnpublishedLeaveMarks())
	for n := range 40 {
		id := fmt.Sprint("e", n)
		registry.Put(Entry{ID: id}, t0)
		registry.MarkLeaving(LeaveMark{ID: id}, t0)
	}
	require.Len(t, registry.UnpublishedLeaveMarks(), 40)
}

func TestMarkIsForgottenAfterItsTTLWithoutEntry(t *testing.T) {
	registry := newRegistryWithEntry("one")
	registry.MarkLeaving(LeaveMark{ID: "one"}, t0)
	registry.ForgetExpiredLeaveMarks(t0.Add(time.Hour))
	registry.Remove("one", t0.Add(time.Hour))
	registry.ForgetExpiredLeaveMarks(t0.Add(time.Hour + leaveMarkTTL))
	require.Len(t, registry.leaveMarks, 1)
	registry.ForgetExpiredLeaveMarks(t0.Add(time.Hour + leaveMarkTTL + time.Second))
	require.Empty(t, registry.leaveMarks)
}
