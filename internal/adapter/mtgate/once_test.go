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

	"github.com/mangotack/mangotack/internal/core/mtonce"
	"github.com/mangotack/mangotack/internal/testkit/mtharness"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

// counter is an endpoint that counts its runs and takes a time for each.
type counter struct {
	runs atomic.Int64
	work time.Duration
	cut  atomic.Bool
}

func (c *counter) ServeHTTP(to http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	c.runs.Add(1)
	time.Sleep(c.work)
	if c.cut.Load() {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(to, "charged")
}

// scene runs a test in virtual time with one endpoint and two entry instances.
func scene(t *testing.T, endpoint *counter, play func(t *testing.T, h *mtharness.Harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := mtharness.NewHarness(t)
		h.AddEndpoint("endpoint-1", endpoint)
		h.AddEntry("entry-1")
		h.AddEntry("entry-2")
		play(t, h)
	})
}

func TestResentKeyRunsOnceWhateverTheCallerDoes(t *testing.T) {
	cases := map[string]func(t *testing.T, h *mtharness.Harness, endpoint *counter, key []string) mtharness.Result{
		"to the home after the answer": func(t *testing.T, h *mtharness.Harness, _ *counter, key []string) mtharness.Result {
			require.Equal(t, "charged", h.Call(t.Context(), "entry-1", mtharness.Once, "7", key...).Body)
			return h.Call(t.Context(), "entry-1", mtharness.Once, "7", key...)
		},
		"to another instance after the answer": func(t *testing.T, h *mtharness.Harness, _ *counter, key []string) mtharness.Result {
			require.Equal(t, "charged", h.Call(t.Context(), "entry-1", mtharness.Once, "7", key...).Body)
			return h.Call(t.Context(), "entry-2", mtharness.Once, "7", key...)
		},
		"after the endpoint cut the connection": func(t *testing.T, h *mtharness.Harness, endpoint *counter, key []string) mtharness.Result {
			endpoint.cut.Store(true)
			first := h.Call(t.Context(), "entry-1", mtharness.Once, "7", key...)
			require.Equal(t, mtoutcome.Unknown, first.Outcome())
			endpoint.cut.Store(false)
			return h.Call(t.Context(), "entry-1", mtharness.Once, "7", key...)
		},
		"after the caller's timeout": func(t *testing.T, h *mtharness.Harness, _ *counter, key []string) mtharness.Result {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
			defer cancel()
			require.Error(t, h.Call(ctx, "entry-1", mtharness.Once, "7", key...).Err)
			return h.Call(t.Context(), "entry-2", mtharness.Once, "7", key...)
		},
		"after the home restarted": func(t *testing.T, h *mtharness.Harness, _ *counter, key []string) mtharness.Result {
			h.Call(t.Context(), "entry-1", mtharness.Once, "7", key...)
			h.AddEntry("entry-1")
			return h.Call(t.Context(), "entry-1", mtharness.Once, "7", key...)
		},
		"while the home is parted": func(t *testing.T, h *mtharness.Harness, _ *counter, key []string) mtharness.Result {
			h.Call(t.Context(), "entry-1", mtharness.Once, "7", key...)
			h.Parted["entry-1"] = true
			return h.Call(t.Context(), "entry-2", mtharness.Once, "7", key...)
		},
		"with another body": func(t *testing.T, h *mtharness.Harness, _ *counter, key []string) mtharness.Result {
			h.Call(t.Context(), "entry-1", mtharness.Once, "7", key...)
			return h.Call(t.Context(), "entry-1", mtharness.Once, "8", key...)
		},
	}
	expected := map[string]mtoutcome.Outcome{
		"to the home after the answer":          mtoutcome.Answered,
		"to another instance after the answer":  mtoutcome.Answered,
		"after the endpoint cut the connection": mtoutcome.Unknown,
		"after the caller's timeout":            mtoutcome.Unknown,
		"after the home restarted":              mtoutcome.Unknown,
		"while the home is parted":              mtoutcome.Unknown,
		"with another body":                     mtoutcome.NotRun,
	}
	for name, resend := range cases {
		t.Run(name, func(t *testing.T) {
			endpoint := &counter{work: 50 * time.Millisecond}
			scene(t, endpoint, func(t *testing.T, h *mtharness.Harness) {
				result := resend(t, h, endpoint, mtharness.Keyed(h.Entries["entry-1"].Key("a")))
				require.NoError(t, result.Err)
				require.Equal(t, string(expected[name]), result.Header.Get(mtoutcome.Header))
				require.EqualValues(t, 1, endpoint.runs.Load())
			})
		})
	}
}

func TestKeySentAtTheSameMomentToAllInstancesRunsOnce(t *testing.T) {
	endpoint := &counter{work: 20 * time.Millisecond}
	scene(t, endpoint, func(t *testing.T, h *mtharness.Harness) {
		key := mtharness.Keyed(h.Entries["entry-1"].Key("a"))
		var group sync.WaitGroup
		for i := range 20 {
			entry := []string{"entry-1", "entry-2"}[i%2]
			group.Go(func() {
				h.Call(t.Context(), entry, mtharness.Once, "7", key...)
			})
		}
		group.Wait()
		require.LessOrEqual(t, endpoint.runs.Load(), int64(1))
	})
}

func TestKeyClosedByAQuestionNeverRuns(t *testing.T) {
	endpoint := &counter{}
	scene(t, endpoint, func(t *testing.T, h *mtharness.Harness) {
		key := mtharness.Keyed(h.Entries["entry-1"].Key("a"))
		asked := h.Call(t.Context(), "entry-2", mtharness.Once, "7", key...)
		require.Equal(t, mtoutcome.NotRun, asked.Outcome())
		late := h.Call(t.Context(), "entry-1", mtharness.Once, "7", key...)
		require.Equal(t, mtoutcome.NotRun, late.Outcome())
		require.Zero(t, endpoint.runs.Load())
	})
}

func TestHomePausedBeyondEveryTimeoutRunsOnce(t *testing.T) {
	endpoint := &counter{work: 30 * time.Second}
	scene(t, endpoint, func(t *testing.T, h *mtharness.Harness) {
		key := h.Entries["entry-1"].Key("a")
		first := h.Call(t.Context(), "entry-1", mtharness.Once, "7", mtharness.Keyed(key)...)
		require.Equal(t, mtoutcome.Unknown, first.Outcome())
		h.Parted["entry-1"] = true
		second := h.Call(t.Context(), "entry-2", mtharness.Once, "7", mtharness.Keyed(key)...)
		require.Equal(t, mtoutcome.Unknown, second.Outcome())
		h.Parted["entry-1"] = false
		third := h.Call(t.Context(), "entry-2", mtharness.Once, "7", mtharness.Keyed(key)...)
		require.Equal(t, mtoutcome.Unknown, third.Outcome())
		time.Sleep(time.Minute)
		require.EqualValues(t, 1, endpoint.runs.Load())
	})
}

func TestRefusedKeysTellTheTruth(t *testing.T) {
	endpoint := &counter{}
	synctest.Test(t, func(t *testing.T) {
		h := mtharness.NewHarness(t)
		h.AddEndpoint("endpoint-1", endpoint)
		entry := h.AddEntry("entry-1", mtonce.WithLimits(2, 1))
		key := entry.Key("a")
		require.Equal(t, "charged", h.Call(t.Context(), "entry-1", mtharness.Once, "7", mtharness.Keyed(key)...).Body)

		full := h.Call(t.Context(), "entry-1", mtharness.Once, "7", mtharness.Keyed(entry.Key("b"))...)
		require.Equal(t, mtoutcome.NotRun, full.Outcome(), "the team's part of the table is full")

		other := h.Call(t.Context(), "entry-1", mtharness.Once, "7", append(mtharness.Keyed(key), "Authorization", "Bearer "+mtharness.OtherToken)...)
		require.Equal(t, "charged", other.Body, "a key belongs to its team, another team's same text is another key")

		time.Sleep(10 * time.Minute)
		expired := h.Call(t.Context(), "entry-1", mtharness.Once, "7", mtharness.Keyed(entry.Key("c"))...)
		require.Equal(t, mtoutcome.Unknown, expired.Outcome(), "the table may have forgotten keys of an expired ticket")
		require.EqualValues(t, 2, endpoint.runs.Load())
	})
}
