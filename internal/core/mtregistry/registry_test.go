package mtregistry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Unix(1000, 0)

func newRegistryWithEntry(id string) *Registry {
	registry := NewRegistry()
	registry.Put(Entry{
		ID:      id,
		Service: "menu",
	}, t0)
	return registry
}

func TestEntryRemovedWhileStoreIsReachableIsRemovedAtOnce(t *testing.T) {
	registry := newRegistryWithEntry("one")
	require.True(t, registry.Remove("one", t0))
	require.False(t, registry.Has("one"))
}

func TestEntryLapsedDuringInterruptionMayRegisterAgain(t *testing.T) {
	registry := newRegistryWithEntry("one")
	registry.StoreInterrupted(t0)
	require.False(t, registry.Remove("one", t0.Add(time.Second)))
	require.True(t, registry.Has("one"))
	registry.Put(Entry{
		ID: "one",
	}, t0.Add(2*time.Second))
	require.Empty(t, registry.ExpireLapsed(t0.Add(time.Minute)))
	require.True(t, registry.Has("one"))
}

func TestLapsedEntryThatDoesNotRegisterAgainExpires(t *testing.T) {
	registry := newRegistryWithEntry("one")
	registry.StoreInterrupted(t0)
	registry.Remove("one", t0.Add(time.Second))
	require.Empty(t, registry.ExpireLapsed(t0.Add(2*time.Second)))
	require.Equal(t, []string{"one"}, registry.ExpireLapsed(t0.Add(time.Second+reregisterTimeout+time.Millisecond)))
}

func TestDrainingEntryNeverLapses(t *testing.T) {
	registry := NewRegistry()
	registry.Put(Entry{
		ID:       "one",
		Draining: true,
	}, t0)
	registry.StoreInterrupted(t0)
	require.True(t, registry.Remove("one", t0.Add(time.Second)), "its own entry says that it leaves")
}

func TestMissingEntriesAreRemoved(t *testing.T) {
	registry := newRegistryWithEntry("one")
	registry.Put(Entry{
		ID: "two",
	}, t0)
	require.Equal(t, []string{"one"}, registry.Missing(map[string]bool{"two": true}))
	registry.Remove("one", t0)
	require.False(t, registry.Has("one"))
	require.Equal(t, 1, registry.Len())
}

func TestWarmUpIsCountedFromTheTimeOfReading(t *testing.T) {
	registry := NewRegistry()
	registry.Put(Entry{
		ID:     "one",
		WarmUp: 3 * time.Second,
	}, t0)
	registry.ForEachEntry(func(_ Entry, warmAt time.Time) {
		require.Equal(t, t0.Add(3*time.Second), warmAt)
	})
}
