package mtgate_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtcall"
	"github.com/mangotack/mangotack/internal/testkit/mtharness"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

const (
	scheduleCount    = 60
	callsPerSchedule = 40
)

// randomEndpoint is the handler of an endpoint that answers, refuses, fails or closes the connection at random, and
// counts the runs of each call.
type randomEndpoint struct {
	mu     sync.Mutex
	random *rand.Rand
	runs   map[string]int
}

func (e *randomEndpoint) intN(n int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.IntN(n)
}

func (e *randomEndpoint) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	behaviour := e.intN(10)
	if behaviour == 0 {
		w.Header().Set(mtcall.RefusedAttemptHeader, request.Header.Get(mtcall.AttemptIDHeader))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.mu.Lock()
	e.runs[string(body)]++
	e.mu.Unlock()
	time.Sleep(time.Duration(e.intN(60)) * time.Millisecond)
	switch behaviour {
	case 1:
		panic(http.ErrAbortHandler)
	case 2:
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		panic(http.ErrAbortHandler)
	case 3:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "answer to "+string(body))
	}
}

// Deadlines, cancellations, load shedding, refusals, closed connections, a leaving endpoint and the crash of an entry
// instance race with the dispatch of calls, in random schedules from fixed seeds. No call may get an untrue outcome.
func TestOutcomesAreTrueUnderRandomSchedules(t *testing.T) {
	for seed := range uint64(scheduleCount) {
		for _, method := range []string{mtharness.OnceMethod, mtharness.IdempotentMethod} {
			t.Run(fmt.Sprintf("seed %d %s", seed, method), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					runSchedule(t, seed, method)
				})
			})
		}
	}
}

func runSchedule(t *testing.T, seed uint64, method string) {
	endpoint := &randomEndpoint{
		random: rand.New(rand.NewPCG(seed, 1)),
		runs:   map[string]int{},
	}
	h := mtharness.NewHarness(t)
	h.AddEndpoint("endpoint-1", endpoint)
	h.AddEndpoint("endpoint-2", endpoint)
	h.AddEntryInstance("entry-1")
	h.AddEntryInstance("entry-2")
	random := rand.New(rand.NewPCG(seed, 2))
	results := make([]mtharness.CallResult, callsPerSchedule)
	var group sync.WaitGroup
	for i := range callsPerSchedule {
		delay := time.Duration(random.IntN(300)) * time.Millisecond
		timeout := time.Duration(1+random.IntN(150)) * time.Millisecond
		entry := []string{"entry-1", "entry-2"}[random.IntN(2)]
		cancelled := random.IntN(4) == 0
		group.Go(func() {
			time.Sleep(delay)
			results[i] = sendCall(t, h, entry, method, i, timeout, cancelled)
		})
	}
	time.Sleep(150 * time.Millisecond)
	h.EntryInstances["entry-1"].MarkLeaving("endpoint-1")
	time.Sleep(100 * time.Millisecond)
	h.EntryInstances["entry-2"].Stop()
	group.Wait()
	time.Sleep(time.Second)
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	for i, result := range results {
		requireTrueOutcome(t, method, result, endpoint.runs[fmt.Sprint("call ", i)], fmt.Sprint("call ", i))
	}
}

func sendCall(
	t *testing.T, h *mtharness.Harness, entry, method string, i int, timeout time.Duration, cancelled bool,
) mtharness.CallResult {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if cancelled {
		time.AfterFunc(timeout/2, cancel)
	}
	headers := []string{"Connect-Timeout-Ms", fmt.Sprint(timeout.Milliseconds())}
	if method == mtharness.OnceMethod {
		headers = append(headers, mtharness.KeyHeaderPair(h.EntryInstances[entry].NewKey(fmt.Sprint(i)))...)
	}
	return h.Call(ctx, entry, method, fmt.Sprint("call ", i), headers...)
}

func requireTrueOutcome(t *testing.T, method string, result mtharness.CallResult, runs int, name string) {
	if method == mtharness.OnceMethod {
		require.LessOrEqual(t, runs, 1, "%s ran %d times", name, runs)
	}
	if result.Err != nil {
		return
	}
	if result.Outcome() == mtoutcome.NotRun {
		require.Zero(t, runs, "%s was reported as not run", name)
	}
	if result.Status == http.StatusOK {
		require.Equal(t, "answer to "+name, result.Body)
	}
}
