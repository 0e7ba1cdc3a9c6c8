package mtregistry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newDrainingEntry returns the entry number seq of process 1 of an endpoint, which drains.
func newDrainingEntry(id string, seq int64) Entry {
	entry := newEntry(id, seq)
	entry.Draining = true
	return entry
}

// The store may execute a write of an endpoint seconds after it was sent, and after a later one.
func TestLateEntryDoesNotEndDraining(t *testing.T) {
	registry := newRegistryInEra(newDrainingEntry("one", 5))
	for _, seq := range []int64{3, 5} {
		registry.Put(newEntry("one", seq), t0.Add(time.Second))
		require.True(t, isDraining(registry, "one"))
	}
	require.Equal(t, []LeaveMark{{ID: "one", Born: 1, ThroughSeq: 5}}, registry.UnpublishedLeaveMarks(),
		"instances that start now must learn it")
	registry.Put(newEntry("one", 6), t0.Add(2*time.Second))
	require.False(t, isDraining(registry, "one"), "the process has written a newer entry")
}

func TestLateEntryDoesNotBringBackDrainedEndpoint(t *testing.T) {
	registry := newRegistryInEra(newDrainingEntry("one", 5))
	require.True(t, registry.Remove("one", t0.Add(time.Second)))
	registry.Put(newEntry("one", 3), t0.Add(2*time.Second))
	require.True(t, isDraining(registry, "one"))
	require.Len(t, registry.UnpublishedLeaveMarks(), 1)
}

func TestLateEntryDoesNotBringBackRemovedEndpoint(t *testing.T) {
	registry := newRegistryInEra(newEntry("one", 5))
	require.True(t, registry.Remove("one", t0.Add(time.Second)))
	registry.Put(newEntry("one", 4), t0.Add(2*time.Second))
	require.True(t, isDraining(registry, "one"))
}

func TestLateEntryDoesNotBringBackEarlierProcess(t *testing.T) {
	registry := newRegistryInEra(newEntry("one", 9))
	replacement := newEntry("one", 1)
	replacement.Born = 2
	registry.Put(replacement, t0.Add(time.Second))
	registry.MarkLeaving(LeaveMark{ID: "one", Born: 2}, t0.Add(time.Second))
	registry.Put(newEntry("one", 8), t0.Add(2*time.Second))
	require.True(t, isDraining(registry, "one"), "requests would reach the process that leaves")
	require.True(t, registry.IsLeaving("one", 2))
}

// The clock of the endpoint was set back before it started again.
func TestProcessWithEarlierStartTimeIsUsedOnceTheOtherHasLapsed(t *testing.T) {
	later := newEntry("one", 9)
	later.Born = 2
	registry := newRegistryInEra(later)
	restarted := t0.Add(time.Minute)
	registry.Put(newEntry("one", 1), restarted)
	require.Empty(t, registry.ExpireLapsed(restarted.Add(reregisterTimeout)))
	require.Equal(t, []string{"one"}, registry.ExpireLapsed(restarted.Add(reregisterTimeout+time.Millisecond)))
	entry, found := registry.EntryInUse("one")
	require.True(t, found)
	require.Equal(t, newEntry("one", 1), entry)
}

func TestLateEntryOfEarlierProcessIsDroppedOnceTheLaterOneRegistersAgain(t *testing.T) {
	later := newEntry("one", 9)
	later.Born = 2
	registry := newRegistryInEra(later)
	registry.Put(newEntry("one", 1), t0.Add(time.Second))
	later.Seq = 10
	registry.Put(later, t0.Add(2*time.Second))
	require.Empty(t, registry.ExpireLapsed(t0.Add(time.Hour)))
	entry, _ := registry.EntryInUse("one")
	require.Equal(t, later, entry)
}

// The start time is missing, so another writer has written the entry.
func TestEntryWithoutStartTimeDoesNotReplaceEndpoint(t *testing.T) {
	registry := newRegistryInEra(newDrainingEntry("one", 5))
	registry.Put(Entry{ID: "one", Seq: 9}, t0)
	require.True(t, registry.IsLeaving("one", 1))
	require.Empty(t, registry.ExpireLapsed(t0.Add(time.Hour)))
}

func TestWithheldEntryThatIsRemovedIsNotUsed(t *testing.T) {
	later := newEntry("one", 9)
	later.Born = 2
	registry := newRegistryInEra(later)
	registry.StoreInterrupted(t0)
	registry.Put(newEntry("one", 1), t0.Add(time.Second))
	require.False(t, registry.Remove("one", t0.Add(2*time.Second)))
	require.NotEmpty(t, registry.ExpireLapsed(t0.Add(time.Minute)))
	require.False(t, registry.Has("one"))
}
