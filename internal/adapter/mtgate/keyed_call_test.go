package mtgate_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtdedup"
	"github.com/mangotack/mangotack/internal/testkit/mtharness"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

// countingEndpoint is the handler of an endpoint that counts its runs.
type countingEndpoint struct {
	runs atomic.Int64
	// duration is the time that each run takes.
	duration time.Duration
	// abort is set when the endpoint closes the connection instead of answering.
	abort atomic.Bool
}

func (e *countingEndpoint) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	e.runs.Add(1)
	time.Sleep(e.duration)
	if e.abort.Load() {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "charged")
}

// runWithTwoEntries calls fn in virtual time with one endpoint and two entry instances.
func runWithTwoEntries(t *testing.T, endpoint *countingEndpoint, fn func(t *testing.T, h *mtharness.Harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := mtharness.NewHarness(t)
		h.AddEndpoint("endpoint-1", endpoint)
		h.AddEntryInstance("entry-1")
		h.AddEntryInstance("entry-2")
		fn(t, h)
	})
}

// A caller that doesn't know the outcome of a call sends the key again, to the owner of the key (the instance that
// issued its ticket) or to another. The call must run once, and the outcome must be true.
func TestResentKeyRunsOnce(t *testing.T) {
	cases := map[string]func(
		t *testing.T, h *mtharness.Harness, endpoint *countingEndpoint, key []string,
	) mtharness.CallResult{
		"to the owner after the answer": func(
			t *testing.T, h *mtharness.Harness, _ *countingEndpoint, key []string,
		) mtharness.CallResult {
			require.Equal(t, "charged", h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7", key...).Body)
			return h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7", key...)
		},
		"to another instance after the answer": func(
			t *testing.T, h *mtharness.Harness, _ *countingEndpoint, key []string,
		) mtharness.CallResult {
			require.Equal(t, "charged", h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7", key...).Body)
			return h.Call(t.Context(), "entry-2", mtharness.OnceMethod, "7", key...)
		},
		"after the endpoint closed the connection": func(
			t *testing.T, h *mtharness.Harness, endpoint *countingEndpoint, key []string,
		) mtharness.CallResult {
			endpoint.abort.Store(true)
			first := h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7", key...)
			require.Equal(t, mtoutcome.Unknown, first.Outcome())
			endpoint.abort.Store(false)
			return h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7", key...)
		},
		"after the caller's timeout": func(
			t *testing.T, h *mtharness.Harness, _ *countingEndpoint, key []string,
		) mtharness.CallResult {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
			defer cancel()
			require.Error(t, h.Call(ctx, "entry-1", mtharness.OnceMethod, "7", key...).Err)
			return h.Call(t.Context(), "entry-2", mtharness.OnceMethod, "7", key...)
		},
		"after the owner restarted": func(
			t *testing.T, h *mtharness.Harness, _ *countingEndpoint, key []string,
		) mtharness.CallResult {
			h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7", key...)
			h.AddEntryInstance("entry-1")
			return h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7", key...)
		},
		"while the owner is unreachable": func(
			t *testing.T, h *mtharness.Harness, _ *countingEndpoint, key []string,
		) mtharness.CallResult {
			h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7", key...)
			h.PartitionedInstances["entry-1"] = true
			return h.Call(t.Context(), "entry-2", mtharness.OnceMethod, "7", key...)
		},
		"with another body": func(
			t *testing.T, h *mtharness.Harness, _ *countingEndpoint, key []string,
		) mtharness.CallResult {
			h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7", key...)
			return h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "8", key...)
		},
	}
	expectedOutcomes := map[string]mtoutcome.Outcome{
		"to the owner after the answer":            mtoutcome.Answered,
		"to another instance after the answer":     mtoutcome.Answered,
		"after the endpoint closed the connection": mtoutcome.Unknown,
		"after the caller's timeout":               mtoutcome.Unknown,
		"after the owner restarted":                mtoutcome.Unknown,
		"while the owner is unreachable":           mtoutcome.Unknown,
		"with another body":                        mtoutcome.NotRun,
	}
	for name, resend := range cases {
		t.Run(name, func(t *testing.T) {
			endpoint := &countingEndpoint{duration: 50 * time.Millisecond}
			runWithTwoEntries(t, endpoint, func(t *testing.T, h *mtharness.Harness) {
				result := resend(t, h, endpoint, mtharness.KeyHeaderPair(h.EntryInstances["entry-1"].NewKey("a")))
				require.NoError(t, result.Err)
				require.Equal(t, string(expectedOutcomes[name]), result.Header.Get(mtoutcome.Header))
				require.EqualValues(t, 1, endpoint.runs.Load())
			})
		})
	}
}

func TestKeySentToAllInstancesAtOnceRunsAtMostOnce(t *testing.T) {
	endpoint := &countingEndpoint{duration: 20 * time.Millisecond}
	runWithTwoEntries(t, endpoint, func(t *testing.T, h *mtharness.Harness) {
		key := mtharness.KeyHeaderPair(h.EntryInstances["entry-1"].NewKey("a"))
		var group sync.WaitGroup
		for i := range 20 {
			entry := []string{"entry-1", "entry-2"}[i%2]
			group.Go(func() {
				h.Call(t.Context(), entry, mtharness.OnceMethod, "7", key...)
			})
		}
		group.Wait()
		require.LessOrEqual(t, endpoint.runs.Load(), int64(1))
	})
}

// An instance that receives a key of another owner asks the owner for its outcome. The owner then closes the unused key
// as not run, and must refuse a call with the key that arrives later.
func TestKeyReportedAsNotRunNeverRuns(t *testing.T) {
	endpoint := &countingEndpoint{}
	runWithTwoEntries(t, endpoint, func(t *testing.T, h *mtharness.Harness) {
		key := mtharness.KeyHeaderPair(h.EntryInstances["entry-1"].NewKey("a"))
		reported := h.Call(t.Context(), "entry-2", mtharness.OnceMethod, "7", key...)
		require.Equal(t, mtoutcome.NotRun, reported.Outcome())
		late := h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7", key...)
		require.Equal(t, mtoutcome.NotRun, late.Outcome())
		require.Zero(t, endpoint.runs.Load())
	})
}

// The endpoint runs longer than every timeout, and the owner of the key is unreachable for a time. The outcome must
// stay unknown, and the call must not run again.
func TestKeyOfAnUnreachableOwnerRunsOnce(t *testing.T) {
	endpoint := &countingEndpoint{duration: 30 * time.Second}
	runWithTwoEntries(t, endpoint, func(t *testing.T, h *mtharness.Harness) {
		key := h.EntryInstances["entry-1"].NewKey("a")
		first := h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7", mtharness.KeyHeaderPair(key)...)
		require.Equal(t, mtoutcome.Unknown, first.Outcome())
		h.PartitionedInstances["entry-1"] = true
		second := h.Call(t.Context(), "entry-2", mtharness.OnceMethod, "7", mtharness.KeyHeaderPair(key)...)
		require.Equal(t, mtoutcome.Unknown, second.Outcome())
		h.PartitionedInstances["entry-1"] = false
		third := h.Call(t.Context(), "entry-2", mtharness.OnceMethod, "7", mtharness.KeyHeaderPair(key)...)
		require.Equal(t, mtoutcome.Unknown, third.Outcome())
		time.Sleep(time.Minute)
		require.EqualValues(t, 1, endpoint.runs.Load())
	})
}

// A refusal of a key must state a true outcome: not run when the table is full, unknown when the ticket has expired.
func TestRefusedKeysHaveTrueOutcomes(t *testing.T) {
	endpoint := &countingEndpoint{}
	synctest.Test(t, func(t *testing.T) {
		h := mtharness.NewHarness(t)
		h.AddEndpoint("endpoint-1", endpoint)
		entry := h.AddEntryInstance("entry-1", mtdedup.WithLimits(2, 1))
		key := entry.NewKey("a")
		require.Equal(t, "charged", h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7", mtharness.KeyHeaderPair(key)...).Body)

		full := h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7", mtharness.KeyHeaderPair(entry.NewKey("b"))...)
		require.Equal(t, mtoutcome.NotRun, full.Outcome(), "the team's share of the table is full")

		other := h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7",
			append(mtharness.KeyHeaderPair(key), "Authorization", "Bearer "+mtharness.OtherTeamToken)...)
		require.Equal(t, "charged", other.Body, "the same key of another team is a different key")

		time.Sleep(10 * time.Minute)
		expired := h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7", mtharness.KeyHeaderPair(entry.NewKey("c"))...)
		require.Equal(t, mtoutcome.Unknown, expired.Outcome(),
			"the table may have dropped the keys of an expired ticket")
		require.EqualValues(t, 2, endpoint.runs.Load())
	})
}
