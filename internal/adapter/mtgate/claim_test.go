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

// A key without a ticket names no owner, so the instances must agree through the log which of them runs the call.
func TestKeyWithoutTicketRunsOnceAcrossInstances(t *testing.T) {
	endpoint := &countingEndpoint{duration: 20 * time.Millisecond}
	runWithTwoEntries(t, endpoint, func(t *testing.T, h *mtharness.Harness) {
		time.Sleep(time.Second)
		for round := range 5 {
			key := mtharness.KeyHeaderPair(fmt.Sprint("invoice ", round))
			outcomes := map[mtoutcome.Outcome]int{}
			var mu sync.Mutex
			var group sync.WaitGroup
			for i := range 10 {
				group.Go(func() {
					result := h.Call(t.Context(), []string{"entry-1", "entry-2"}[i%2], mtharness.OnceMethod, "7", key...)
					mu.Lock()
					defer mu.Unlock()
					outcomes[result.Outcome()]++
				})
			}
			group.Wait()
			require.EqualValues(t, round+1, endpoint.runs.Load())
			require.Zero(t, outcomes[mtoutcome.NotRun], "a key that ran must not be reported as not run")
		}
	})
}

// The answer to a resent key states what became of the first call: answered at both instances, not run for another
// body, and unknown after the instance that claimed the key has restarted and lost its state.
func TestResentClaimedKeyReturnsItsOutcome(t *testing.T) {
	endpoint := &countingEndpoint{}
	runWithTwoEntries(t, endpoint, func(t *testing.T, h *mtharness.Harness) {
		time.Sleep(time.Second)
		key := mtharness.KeyHeaderPair("invoice-7")
		require.Equal(t, "charged", h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7", key...).Body)
		require.Equal(t, mtoutcome.Answered, h.Call(t.Context(), "entry-2", mtharness.OnceMethod, "7", key...).Outcome())
		require.Equal(t, "answered",
			h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7", key...).Header.Get(mtoutcome.Header))
		require.Equal(t, mtoutcome.NotRun,
			h.Call(t.Context(), "entry-2", mtharness.OnceMethod, "8", key...).Outcome(), "another body")
		h.AddEntryInstance("entry-1")
		time.Sleep(time.Second)
		require.Equal(t, mtoutcome.Unknown,
			h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7", key...).Outcome(), "the claiming instance restarted")
		require.EqualValues(t, 1, endpoint.runs.Load())
	})
}

// A key without a ticket can't be claimed while the log is unavailable, so its call must not be sent. When only the
// answer to an append is lost, the instance must find its claim by reading the log.
func TestClaimsAreRefusedAsNotRunWhileTheLogIsUnavailable(t *testing.T) {
	endpoint := &countingEndpoint{}
	runWithTwoEntries(t, endpoint, func(t *testing.T, h *mtharness.Harness) {
		time.Sleep(time.Second)
		h.ClaimStream.SetFaults(true, false)
		unavailable := h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7", mtharness.KeyHeaderPair("invoice-7")...)
		require.Equal(t, "notrun", unavailable.Header.Get(mtoutcome.Header))
		require.Zero(t, endpoint.runs.Load())
		require.Equal(t, "charged",
			h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7", mtharness.KeyHeaderPair(h.EntryInstances["entry-1"].NewKey("a"))...).Body,
			"keys with tickets need no log")

		h.ClaimStream.SetFaults(false, true)
		time.Sleep(time.Second)
		lostAnswer := h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7", mtharness.KeyHeaderPair("invoice-8")...)
		require.Equal(t, "charged", lostAnswer.Body, "the claim whose append got no answer is read from the log")
		h.ClaimStream.SetFaults(false, false)
		require.EqualValues(t, 2, endpoint.runs.Load())
	})
}

// Each append takes a round trip to the log, so the claims of concurrent calls must share appends.
func TestAppendsOfClaimsAreBatched(t *testing.T) {
	endpoint := &countingEndpoint{}
	runWithTwoEntries(t, endpoint, func(t *testing.T, h *mtharness.Harness) {
		time.Sleep(time.Second)
		h.Service.Slots = 100
		h.EntryInstances["entry-1"].UpdateRouter(time.Now())
		var group sync.WaitGroup
		for i := range 60 {
			group.Go(func() {
				h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7", mtharness.KeyHeaderPair(fmt.Sprint("invoice ", i))...)
			})
		}
		group.Wait()
		require.EqualValues(t, 60, endpoint.runs.Load())
		require.LessOrEqual(t, h.ClaimStream.AppendCount, 2)
	})
}

// The test shows why keys need one owner: with a separate key table in each instance, the same key runs once per
// instance.
func TestSeparateKeyTablesRunAKeyTwice(t *testing.T) {
	endpoint := &countingEndpoint{}
	runWithTwoEntries(t, endpoint, func(t *testing.T, h *mtharness.Harness) {
		for _, name := range []string{"entry-1", "entry-2"} {
			key := h.EntryInstances[name].NewKey("invoice-7")
			h.Call(t.Context(), name, mtharness.OnceMethod, "7", mtharness.KeyHeaderPair(key)...)
		}
		require.EqualValues(t, 2, endpoint.runs.Load(), "two instances, two owners, two runs")
	})
}
