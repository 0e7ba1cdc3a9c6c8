package mtgate_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/testkit/mtharness"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

func TestKeyWithoutTicketRunsOnceOverAllInstances(t *testing.T) {
	endpoint := &counter{work: 20 * time.Millisecond}
	scene(t, endpoint, func(t *testing.T, h *mtharness.Harness) {
		time.Sleep(time.Second)
		for round := range 5 {
			key := mtharness.Keyed(fmt.Sprint("invoice ", round))
			told := map[mtoutcome.Outcome]int{}
			var mu sync.Mutex
			var group sync.WaitGroup
			for i := range 10 {
				group.Go(func() {
					result := h.Call(t.Context(), []string{"entry-1", "entry-2"}[i%2], mtharness.Once, "7", key...)
					mu.Lock()
					defer mu.Unlock()
					told[result.Outcome()]++
				})
			}
			group.Wait()
			require.EqualValues(t, round+1, endpoint.runs.Load())
			require.Zero(t, told[mtoutcome.NotRun], "a key that ran must not be told as not run")
		}
	})
}

func TestResentClaimTellsWhatBecameOfTheKey(t *testing.T) {
	endpoint := &counter{}
	scene(t, endpoint, func(t *testing.T, h *mtharness.Harness) {
		time.Sleep(time.Second)
		key := mtharness.Keyed("invoice-7")
		require.Equal(t, "charged", h.Call(t.Context(), "entry-1", mtharness.Once, "7", key...).Body)
		require.Equal(t, mtoutcome.Answered, h.Call(t.Context(), "entry-2", mtharness.Once, "7", key...).Outcome())
		require.Equal(t, "answered", h.Call(t.Context(), "entry-1", mtharness.Once, "7", key...).Header.Get(mtoutcome.Header))
		require.Equal(t, mtoutcome.NotRun, h.Call(t.Context(), "entry-2", mtharness.Once, "8", key...).Outcome(), "another body")
		h.AddEntry("entry-1")
		time.Sleep(time.Second)
		require.Equal(t, mtoutcome.Unknown, h.Call(t.Context(), "entry-1", mtharness.Once, "7", key...).Outcome(), "the holder restarted")
		require.EqualValues(t, 1, endpoint.runs.Load())
	})
}

func TestClaimsAreRefusedAsNotRunWhileTheLogIsOut(t *testing.T) {
	endpoint := &counter{}
	scene(t, endpoint, func(t *testing.T, h *mtharness.Harness) {
		time.Sleep(time.Second)
		h.Claims.SetFaults(true, false)
		out := h.Call(t.Context(), "entry-1", mtharness.Once, "7", mtharness.Keyed("invoice-7")...)
		require.Equal(t, "notrun", out.Header.Get(mtoutcome.Header))
		require.Zero(t, endpoint.runs.Load())
		require.Equal(t, "charged", h.Call(t.Context(), "entry-1", mtharness.Once, "7", mtharness.Keyed(h.Entries["entry-1"].Key("a"))...).Body, "tickets need no log")

		h.Claims.SetFaults(false, true)
		time.Sleep(time.Second)
		lost := h.Call(t.Context(), "entry-1", mtharness.Once, "7", mtharness.Keyed("invoice-8")...)
		require.Equal(t, "charged", lost.Body, "a lost answer is settled by reading back")
		h.Claims.SetFaults(false, false)
		require.EqualValues(t, 2, endpoint.runs.Load())
	})
}

func TestAppendsOfClaimsAreBatched(t *testing.T) {
	endpoint := &counter{}
	scene(t, endpoint, func(t *testing.T, h *mtharness.Harness) {
		time.Sleep(time.Second)
		h.Service.Slots = 100
		h.Entries["entry-1"].Refresh(time.Now())
		var group sync.WaitGroup
		for i := range 60 {
			group.Go(func() {
				h.Call(t.Context(), "entry-1", mtharness.Once, "7", mtharness.Keyed(fmt.Sprint("invoice ", i))...)
			})
		}
		group.Wait()
		require.EqualValues(t, 60, endpoint.runs.Load())
		require.LessOrEqual(t, h.Claims.Appends, 2)
	})
}

// The naive way keeps the keys of each instance for itself: the same key runs once per instance.
func TestNaiveTablePerInstanceRunsAKeyTwice(t *testing.T) {
	endpoint := &counter{}
	scene(t, endpoint, func(t *testing.T, h *mtharness.Harness) {
		for _, name := range []string{"entry-1", "entry-2"} {
			key := h.Entries[name].Key("invoice-7")
			h.Call(t.Context(), name, mtharness.Once, "7", mtharness.Keyed(key)...)
		}
		require.EqualValues(t, 2, endpoint.runs.Load(), "two instances, two homes, two runs")
	})
}
