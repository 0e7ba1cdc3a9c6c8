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
	schedules        = 60
	callsPerSchedule = 40
)

// chaos is an endpoint that works, refuses, cuts and fails as a drawn schedule says, and counts the runs of each call.
type chaos struct {
	mu     sync.Mutex
	random *rand.Rand
	runs   map[string]int
}

func (c *chaos) draw(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

func (c *chaos) ServeHTTP(to http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	fate := c.draw(10)
	if fate == 0 {
		to.Header().Set(mtcall.RefusedHeader, request.Header.Get(mtcall.AttemptHeader))
		to.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	c.mu.Lock()
	c.runs[string(body)]++
	c.mu.Unlock()
	time.Sleep(time.Duration(c.draw(60)) * time.Millisecond)
	switch fate {
	case 1:
		panic(http.ErrAbortHandler)
	case 2:
		to.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(to, "half")
		panic(http.ErrAbortHandler)
	case 3:
		to.WriteHeader(http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(to, "answer to "+string(body))
	}
}

// Deadlines, cancels, shedding, refusals, cut connections, a leaving endpoint and the death of an entry instance race the
// dispatch of calls, in schedules drawn from fixed seeds.
func TestNoScheduleMakesAnOutcomeUntrue(t *testing.T) {
	for seed := range uint64(schedules) {
		for _, method := range []string{mtharness.Once, mtharness.Idempotent} {
			t.Run(fmt.Sprintf("seed %d %s", seed, method), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					playSchedule(t, seed, method)
				})
			})
		}
	}
}

func playSchedule(t *testing.T, seed uint64, method string) {
	endpoint := &chaos{
		random: rand.New(rand.NewPCG(seed, 1)),
		runs:   map[string]int{},
	}
	h := mtharness.NewHarness(t)
	h.AddEndpoint("endpoint-1", endpoint)
	h.AddEndpoint("endpoint-2", endpoint)
	h.AddEntry("entry-1")
	h.AddEntry("entry-2")
	random := rand.New(rand.NewPCG(seed, 2))
	results := make([]mtharness.Result, callsPerSchedule)
	var group sync.WaitGroup
	for i := range callsPerSchedule {
		delay := time.Duration(random.IntN(300)) * time.Millisecond
		timeout := time.Duration(1+random.IntN(150)) * time.Millisecond
		entry := []string{"entry-1", "entry-2"}[random.IntN(2)]
		cancelled := random.IntN(4) == 0
		group.Go(func() {
			time.Sleep(delay)
			results[i] = callOnce(t, h, entry, method, i, timeout, cancelled)
		})
	}
	time.Sleep(150 * time.Millisecond)
	h.Entries["entry-1"].Mark("endpoint-1")
	time.Sleep(100 * time.Millisecond)
	h.Entries["entry-2"].Stop()
	group.Wait()
	time.Sleep(time.Second)
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	for i, result := range results {
		requireTrue(t, method, result, endpoint.runs[fmt.Sprint("call ", i)], fmt.Sprint("call ", i))
	}
}

func callOnce(t *testing.T, h *mtharness.Harness, entry, method string, i int, timeout time.Duration, cancelled bool) mtharness.Result {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if cancelled {
		time.AfterFunc(timeout/2, cancel)
	}
	headers := []string{"Connect-Timeout-Ms", fmt.Sprint(timeout.Milliseconds())}
	if method == mtharness.Once {
		headers = append(headers, mtharness.Keyed(h.Entries[entry].Key(fmt.Sprint(i)))...)
	}
	return h.Call(ctx, entry, method, fmt.Sprint("call ", i), headers...)
}

func requireTrue(t *testing.T, method string, result mtharness.Result, runs int, name string) {
	if method == mtharness.Once {
		require.LessOrEqual(t, runs, 1, "%s ran %d times", name, runs)
	}
	if result.Err != nil {
		return
	}
	if result.Outcome() == mtoutcome.NotRun {
		require.Zero(t, runs, "%s was told as not run", name)
	}
	if result.Status == http.StatusOK {
		require.Equal(t, "answer to "+name, result.Body)
	}
}
