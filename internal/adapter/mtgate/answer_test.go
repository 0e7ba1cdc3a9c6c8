package mtgate_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtcall"
	"github.com/mangotack/mangotack/internal/core/mtrecord"
	"github.com/mangotack/mangotack/internal/testkit/mtharness"
	"github.com/mangotack/mangotack/internal/testkit/mtraw"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

func protocols(h2 bool) *http.Protocols {
	result := &http.Protocols{}
	result.SetHTTP1(!h2)
	result.SetUnencryptedHTTP2(h2)
	return result
}

// handled runs a test with one entry instance and endpoints that share a handler.
func handled(t *testing.T, protocol string, endpoints int, handler http.HandlerFunc, play func(t *testing.T, h *mtharness.Harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := mtharness.NewHarness(t)
		h.Service.Protocol = protocol
		for i := range endpoints {
			h.AddEndpoint(fmt.Sprint("endpoint-", i), handler)
		}
		h.AddEntry("entry-1")
		play(t, h)
	})
}

func TestAnswerThatBreaksOffIsNeverClosedAsWhole(t *testing.T) {
	handlers := map[string]http.HandlerFunc{
		"streamed": func(to http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(to, "half")
			_ = http.NewResponseController(to).Flush()
			time.Sleep(time.Millisecond)
			panic(http.ErrAbortHandler)
		},
		"with a length": func(to http.ResponseWriter, _ *http.Request) {
			to.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(to, "half")
			_ = http.NewResponseController(to).Flush()
		},
		"grpc without its trailers": func(to http.ResponseWriter, _ *http.Request) {
			to.Header().Set("Content-Type", "application/grpc")
			_, _ = io.WriteString(to, "half")
		},
	}
	for name, handler := range handlers {
		for _, protocol := range []string{mtrecord.HTTP1, mtrecord.H2C} {
			for _, callerH2 := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, endpoint %s, caller h2 %t", name, protocol, callerH2), func(t *testing.T) {
					handled(t, protocol, 1, handler, func(t *testing.T, h *mtharness.Harness) {
						result := h.CallWith(t.Context(), protocols(callerH2), "entry-1", mtharness.Once, "7")
						require.Error(t, result.Err)
					})
				})
			}
		}
	}
}

func TestIdempotentCallIsWholeAgainAfterAnEndpointDiedInTheMiddle(t *testing.T) {
	broken := atomic.Int64{}
	handler := func(to http.ResponseWriter, request *http.Request) {
		to.Header().Set("Content-Length", "5")
		if request.Header.Get("Break") != "" && broken.Add(1) == 1 {
			_, _ = io.WriteString(to, "ha")
			_ = http.NewResponseController(to).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(to, "whole")
	}
	handled(t, mtrecord.HTTP1, 2, handler, func(t *testing.T, h *mtharness.Harness) {
		for range 20 {
			require.Equal(t, "whole", h.Call(t.Context(), "entry-1", mtharness.Idempotent, "7").Body)
		}
		result := h.Call(t.Context(), "entry-1", mtharness.Idempotent, "7", "Break", "1")
		require.NoError(t, result.Err)
		require.Equal(t, "whole", result.Body)
		require.EqualValues(t, 2, broken.Load(), "one attempt broke and one was whole")
	})
}

// An endpoint that answers every request twice must not hand the second answer to the next call.
func TestTwoAnswersOnOneConnectionReachNobodyElse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := mtharness.NewHarness(t)
		h.ListEndpoint("endpoint-1")
		listener := h.Network.Listen("endpoint-1:80")
		defer listener.Close()
		go mtraw.AnswerTwice(listener)
		h.AddEntry("entry-1")
		for i := range 10 {
			body := strconv.Itoa(i)
			result := h.Call(t.Context(), "entry-1", mtharness.Once, body)
			if result.Err == nil && result.Status == http.StatusOK {
				require.Equal(t, body, result.Body)
			}
		}
	})
}

func TestDeclaredRefusalIsNotRunAndForeignOnesAreAnswers(t *testing.T) {
	runs := atomic.Int64{}
	handler := func(to http.ResponseWriter, request *http.Request) {
		switch request.Header.Get("Play") {
		case "refuse":
			to.Header().Set(mtcall.RefusedHeader, request.Header.Get(mtcall.AttemptHeader))
		case "foreign":
			runs.Add(1)
			to.Header().Set(mtcall.RefusedHeader, "attempt-of-another-hop")
		}
		to.WriteHeader(http.StatusServiceUnavailable)
	}
	handled(t, mtrecord.HTTP1, 2, handler, func(t *testing.T, h *mtharness.Harness) {
		refused := h.Call(t.Context(), "entry-1", mtharness.Once, "7", "Play", "refuse")
		require.Equal(t, mtoutcome.NotRun, refused.Outcome())
		foreign := h.Call(t.Context(), "entry-1", mtharness.Once, "7", "Play", "foreign")
		require.Empty(t, foreign.Header.Get(mtoutcome.Header), "a refusal that a deeper hop stated is the endpoint's answer")
		require.EqualValues(t, 1, runs.Load())
	})
}

func TestDeadlineShrinksAndReachesTheEndpoint(t *testing.T) {
	seen := make(chan string, 1)
	handler := func(_ http.ResponseWriter, request *http.Request) {
		seen <- request.Header.Get("Connect-Timeout-Ms")
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
	}
	handled(t, mtrecord.HTTP1, 1, handler, func(t *testing.T, h *mtharness.Harness) {
		started := time.Now()
		result := h.Call(t.Context(), "entry-1", mtharness.Once, "7", "Connect-Timeout-Ms", "500")
		require.Equal(t, 500*time.Millisecond, time.Since(started))
		require.Equal(t, mtoutcome.Unknown, result.Outcome())
		left, err := strconv.Atoi(<-seen)
		require.NoError(t, err)
		require.Less(t, left, 500)
		require.Greater(t, left, 400)
	})
}

func TestCancelledCallerCancelsTheEndpoint(t *testing.T) {
	cancelled := make(chan struct{})
	handler := func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
		close(cancelled)
	}
	handled(t, mtrecord.HTTP1, 1, handler, func(t *testing.T, h *mtharness.Harness) {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		require.Error(t, h.Call(ctx, "entry-1", mtharness.Once, "7").Err)
		<-cancelled
	})
}

func TestCallsThatNeverGotASlotAreToldNotRunAndNeverRun(t *testing.T) {
	var mu sync.Mutex
	runs := map[string]int{}
	handler := func(_ http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		mu.Lock()
		runs[string(body)]++
		mu.Unlock()
		<-request.Context().Done()
	}
	handled(t, mtrecord.HTTP1, 1, handler, func(t *testing.T, h *mtharness.Harness) {
		told := map[string]mtoutcome.Outcome{}
		var group sync.WaitGroup
		for i := range 10 {
			group.Go(func() {
				name := fmt.Sprint("call ", i)
				result := h.Call(t.Context(), "entry-1", mtharness.Once, name, "Connect-Timeout-Ms", "300")
				mu.Lock()
				defer mu.Unlock()
				told[name] = result.Outcome()
			})
		}
		group.Wait()
		time.Sleep(time.Minute)
		mu.Lock()
		defer mu.Unlock()
		notRun := 0
		for name, outcome := range told {
			require.LessOrEqual(t, runs[name], 1)
			if outcome == mtoutcome.NotRun {
				notRun++
				require.Zero(t, runs[name], "%s was told as not run", name)
			} else {
				// A call that was cut off just after its commit is unknown although it did not run.
				require.Equal(t, mtoutcome.Unknown, outcome)
			}
		}
		require.NotZero(t, notRun)
		require.NotEmpty(t, runs)
	})
}

// A connection that went silent costs an idempotent call one hedge delay, and once-calls never meet it.
func TestSilentConnectionIsLeftBehind(t *testing.T) {
	silent := atomic.Bool{}
	handler := func(to http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		if silent.Load() && request.Context().Value(firstConnection{}) == true {
			<-request.Context().Done()
			return
		}
		_, _ = io.WriteString(to, "answer")
	}
	synctest.Test(t, func(t *testing.T) {
		h := mtharness.NewHarness(t)
		h.ListEndpoint("endpoint-1")
		first := atomic.Bool{}
		server := h.Serve("endpoint-1", http.HandlerFunc(handler))
		server.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, firstConnection{}, first.CompareAndSwap(false, true))
		}
		entry := h.AddEntry("entry-1")
		for range 30 {
			require.Equal(t, "answer", h.Call(t.Context(), "entry-1", mtharness.Idempotent, "7").Body)
		}
		require.Equal(t, 1, entry.Pool.OpenConns("endpoint-1:80"))
		silent.Store(true)
		started := time.Now()
		require.Equal(t, "answer", h.Call(t.Context(), "entry-1", mtharness.Idempotent, "7").Body)
		require.LessOrEqual(t, time.Since(started), 100*time.Millisecond)
		require.Equal(t, "answer", h.Call(t.Context(), "entry-1", mtharness.Once, "7").Body)
	})
}

type firstConnection struct{}
