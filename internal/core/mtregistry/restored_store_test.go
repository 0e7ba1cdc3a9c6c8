package mtregistry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newEntry returns the entry number seq of process 1 of an endpoint.
func newEntry(id string, seq int64) Entry {
	return Entry{
		ID:   id,
		Born: 1,
		Seq:  seq,
	}
}

// newRegistryInEra returns a registry of era 1 with entries.
func newRegistryInEra(entries ...Entry) *Registry {
	registry := NewRegistry()
	registry.BeginEra(1, t0)
	for _, entry := range entries {
		registry.Put(entry, t0)
	}
	return registry
}

// restore puts the entries of a copy into the registry, as a snapshot of era 2 does.
func restore(registry *Registry, now time.Time, entries ...Entry) {
	registry.BeginEra(2, now)
	ids := map[string]bool{}
	for _, entry := range entries {
		ids[entry.ID] = true
		registry.Put(entry, now)
	}
	for _, id := range registry.Missing(ids) {
		registry.Remove(id, now)
	}
}

func TestEndpointMissingInTheCopyStaysUntilItMayRegisterAgain(t *testing.T) {
	registry := newRegistryInEra(newEntry("back", 3), newEntry("gone", 3))
	restored := t0.Add(time.Minute)
	restore(registry, restored)
	require.True(t, registry.Has("back") && registry.Has("gone"))
	registry.Put(newEntry("back", 4), restored.Add(time.Second))
	require.Equal(t, []string{"gone"}, registry.ExpireLapsed(restored.Add(reregisterTimeout+time.Millisecond)))
	require.False(t, isDraining(registry, "back"))
}

func TestEndpointThatLeftDoesNotReturnByTheCopy(t *testing.T) {
	registry := newRegistryInEra(newEntry("one", 3))
	registry.Remove("one", t0.Add(time.Second))
	restore(registry, t0.Add(time.Minute), newEntry("one", 2))
	require.True(t, isDraining(registry, "one"))
	require.Equal(t, []LeaveMark{{ID: "one", Born: 1, ThroughSeq: 3}}, registry.UnpublishedLeaveMarks(),
		"instances that start now must learn it")

	registry.Put(newEntry("one", 4), t0.Add(time.Minute+time.Second))
	require.False(t, isDraining(registry, "one"), "the process is alive: it has written a newer entry")
	require.Empty(t, registry.UnpublishedLeaveMarks())
}

func TestEndpointThatLeftInAnEarlierEraDoesNotReturn(t *testing.T) {
	registry := newRegistryInEra(newEntry("one", 3))
	registry.Remove("one", t0)
	for era := uint64(2); era < 5; era++ {
		now := t0.Add(time.Duration(era) * time.Minute)
		registry.BeginEra(era, now)
		registry.Put(newEntry("one", 2), now)
		require.True(t, isDraining(registry, "one"))
		registry.Remove("one", now.Add(time.Second))
	}
}

// The store may list an endpoint again that lapsed while it was down; its count need not have risen.
func TestRemovedEndpointMayReturnInTheSameEra(t *testing.T) {
	registry := newRegistryInEra(newEntry("one", 3))
	registry.Remove("one", t0)
	registry.Put(newEntry("one", 3), t0.Add(time.Second))
	require.False(t, isDraining(registry, "one"))
}

func TestDrainingEndpointStaysDrainingByTheCopy(t *testing.T) {
	draining := newEntry("one", 5)
	draining.Draining = true
	for _, seq := range []int64{4, 5} {
		registry := newRegistryInEra(draining)
		restore(registry, t0.Add(time.Minute), newEntry("one", seq))
		require.True(t, isDraining(registry, "one"))
		require.Len(t, registry.UnpublishedLeaveMarks(), 1)
	}
}

func TestReplacedProcessDoesNotReturnByTheCopy(t *testing.T) {
	registry := newRegistryInEra(newEntry("one", 7))
	replacement := newEntry("one", 1)
	replacement.Born = 2
	registry.Put(replacement, t0.Add(time.Second))
	restored := t0.Add(time.Minute)
	restore(registry, restored, newEntry("one", 7))
	registry.ForEachEntry(func(entry Entry, _ time.Time) {
		require.EqualValues(t, 2, entry.Born, "the later process stays in use until it has registered again")
	})
	require.NotEmpty(t, registry.ExpireLapsed(restored.Add(reregisterTimeout+time.Millisecond)))
	registry.Put(newEntry("one", 7), restored.Add(time.Hour))
	require.True(t, isDraining(registry, "one"), "the process of the copy is gone")
}

func TestMarkOfAPeerAppliesToOlderEntriesOnly(t *testing.T) {
	registry := NewRegistry()
	mark := LeaveMark{ID: "one", Born: 1, ThroughSeq: 3}
	require.True(t, registry.MarkLeaving(mark, t0))
	require.False(t, registry.MarkLeaving(mark, t0))
	registry.Put(newEntry("one", 3), t0)
	require.True(t, registry.IsLeaving("one", 1))
	require.False(t, registry.IsLeaving("one", 2))
	registry.Put(newEntry("one", 4), t0)
	require.False(t, registry.IsLeaving("one", 1))
	require.True(t, registry.MarkLeaving(LeaveMark{ID: "one", Born: 1}, t0), "the process itself says that it leaves")
	require.True(t, registry.IsLeaving("one", 1))
	require.False(t, registry.MarkLeaving(mark, t0), "the mark of the whole process is the stronger one")
}

func TestRemovalsAreForgottenAfterTheirTTL(t *testing.T) {
	registry := newRegistryInEra(newEntry("one", 3))
	registry.Remove("one", t0)
	registry.ForgetExpiredLeaveMarks(t0.Add(leaveMarkTTL))
	require.Len(t, registry.removals, 1)
	registry.ForgetExpiredLeaveMarks(t0.Add(leaveMarkTTL + time.Second))
	require.Empty(t, registry.removals)
}
