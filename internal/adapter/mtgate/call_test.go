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
	"github.com/mangotack/mangotack/internal/testkit/mtfaultyhttp"
	"github.com/mangotack/mangotack/internal/testkit/mtharness"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

// newProtocols returns HTTP/2 without TLS, or HTTP/1.1.
func newProtocols(h2 bool) *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(!h2)
	protocols.SetUnencryptedHTTP2(h2)
	return protocols
}

// runWithEndpoints calls fn in virtual time with one entry instance and endpoints that share a handler.
func runWithEndpoints(
	t *testing.T, protocol string, endpoints int, handler http.HandlerFunc, fn func(t *testing.T, h *mtharness.Harness),
) {
	synctest.Test(t, func(t *testing.T) {
		h := mtharness.NewHarness(t)
		h.Service.Protocol = protocol
		for i := range endpoints {
			h.AddEndpoint(fmt.Sprint("endpoint-", i), handler)
		}
		h.AddEntryInstance("entry-1")
		fn(t, h)
	})
}

// An endpoint breaks off its answer. The caller must receive an error, or else it takes a truncated answer for a
// complete one.
func TestTruncatedAnswerIsAnErrorForTheCaller(t *testing.T) {
	handlers := map[string]http.HandlerFunc{
		"streamed": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(time.Millisecond)
			panic(http.ErrAbortHandler)
		},
		"with a Content-Length": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
		},
		"gRPC without trailers": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/grpc")
			_, _ = io.WriteString(w, "half")
		},
	}
	for name, handler := range handlers {
		for _, protocol := range []string{mtrecord.HTTP1, mtrecord.H2C} {
			for _, callerH2 := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, endpoint %s, caller h2 %t", name, protocol, callerH2), func(t *testing.T) {
					runWithEndpoints(t, protocol, 1, handler, func(t *testing.T, h *mtharness.Harness) {
						result := h.CallWithProtocols(t.Context(), newProtocols(callerH2), "entry-1", mtharness.OnceMethod, "7")
						require.Error(t, result.Err)
					})
				})
			}
		}
	}
}

// An endpoint that dies in the middle of a small answer must cost a retry and not the call.
func TestIdempotentCallIsRetriedAfterATruncatedAnswer(t *testing.T) {
	breakRequests := atomic.Int64{}
	handler := func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set("Content-Length", "5")
		if request.Header.Get("Break") != "" && breakRequests.Add(1) == 1 {
			_, _ = io.WriteString(w, "ha")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "whole")
	}
	runWithEndpoints(t, mtrecord.HTTP1, 2, handler, func(t *testing.T, h *mtharness.Harness) {
		for range 20 {
			require.Equal(t, "whole", h.Call(t.Context(), "entry-1", mtharness.IdempotentMethod, "7").Body)
		}
		result := h.Call(t.Context(), "entry-1", mtharness.IdempotentMethod, "7", "Break", "1")
		require.NoError(t, result.Err)
		require.Equal(t, "whole", result.Body)
		require.EqualValues(t, 2, breakRequests.Load(), "one attempt was truncated and one was complete")
	})
}

// An endpoint answers every request twice. The second answer must not be returned to the next call.
func TestUnsolicitedResponseIsNotReturnedToAnotherCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := mtharness.NewHarness(t)
		h.RegisterEndpoint("endpoint-1")
		listener := h.Network.Listen("endpoint-1:80")
		defer listener.Close()
		go mtfaultyhttp.ServeDoubleResponses(listener)
		h.AddEntryInstance("entry-1")
		for i := range 10 {
			body := strconv.Itoa(i)
			result := h.Call(t.Context(), "entry-1", mtharness.OnceMethod, body)
			if result.Err == nil && result.Status == http.StatusOK {
				require.Equal(t, body, result.Body)
			}
		}
	})
}

// Only a refusal with the identifier of this attempt proves that the call did not run. An endpoint may also pass on the
// refusal of a service that it called after it had run a part of the call.
func TestOnlyTheRefusalOfThisAttemptIsNotRun(t *testing.T) {
	runs := atomic.Int64{}
	handler := func(w http.ResponseWriter, request *http.Request) {
		switch request.Header.Get("Play") {
		case "refuse":
			w.Header().Set(mtcall.RefusedAttemptHeader, request.Header.Get(mtcall.AttemptIDHeader))
		case "foreign":
			runs.Add(1)
			w.Header().Set(mtcall.RefusedAttemptHeader, "attempt-of-another-hop")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	runWithEndpoints(t, mtrecord.HTTP1, 2, handler, func(t *testing.T, h *mtharness.Harness) {
		refused := h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7", "Play", "refuse")
		require.Equal(t, mtoutcome.NotRun, refused.Outcome())
		otherHop := h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7", "Play", "foreign")
		require.Empty(t, otherHop.Header.Get(mtoutcome.Header), "the refusal of another hop is the endpoint's answer")
		require.EqualValues(t, 1, runs.Load())
	})
}

// The endpoint must receive the remaining time of the call, less than the caller's timeout, or else it works for a
// caller that no longer waits.
func TestEndpointReceivesTheRemainingTime(t *testing.T) {
	timeouts := make(chan string, 1)
	handler := func(_ http.ResponseWriter, request *http.Request) {
		timeouts <- request.Header.Get("Connect-Timeout-Ms")
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
	}
	runWithEndpoints(t, mtrecord.HTTP1, 1, handler, func(t *testing.T, h *mtharness.Harness) {
		started := time.Now()
		result := h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7", "Connect-Timeout-Ms", "500")
		require.Equal(t, 500*time.Millisecond, time.Since(started))
		require.Equal(t, mtoutcome.Unknown, result.Outcome())
		remaining, err := strconv.Atoi(<-timeouts)
		require.NoError(t, err)
		require.Less(t, remaining, 500)
		require.Greater(t, remaining, 400)
	})
}

// An endpoint must not go on working for a caller that has cancelled its call.
func TestCancellationByTheCallerReachesTheEndpoint(t *testing.T) {
	cancelled := make(chan struct{})
	handler := func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
		close(cancelled)
	}
	runWithEndpoints(t, mtrecord.HTTP1, 1, handler, func(t *testing.T, h *mtharness.Harness) {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		require.Error(t, h.Call(ctx, "entry-1", mtharness.OnceMethod, "7").Err)
		<-cancelled
	})
}

// Calls that wait for a slot until their deadline are reported as not run, and must not run later either.
func TestCallsWithoutASlotAreReportedAsNotRunAndDoNotRun(t *testing.T) {
	var mu sync.Mutex
	runs := map[string]int{}
	handler := func(_ http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		mu.Lock()
		runs[string(body)]++
		mu.Unlock()
		<-request.Context().Done()
	}
	runWithEndpoints(t, mtrecord.HTTP1, 1, handler, func(t *testing.T, h *mtharness.Harness) {
		outcomes := map[string]mtoutcome.Outcome{}
		var group sync.WaitGroup
		for i := range 10 {
			group.Go(func() {
				name := fmt.Sprint("call ", i)
				result := h.Call(t.Context(), "entry-1", mtharness.OnceMethod, name, "Connect-Timeout-Ms", "300")
				mu.Lock()
				defer mu.Unlock()
				outcomes[name] = result.Outcome()
			})
		}
		group.Wait()
		time.Sleep(time.Minute)
		mu.Lock()
		defer mu.Unlock()
		notRun := 0
		for name, outcome := range outcomes {
			require.LessOrEqual(t, runs[name], 1)
			if outcome == mtoutcome.NotRun {
				notRun++
				require.Zero(t, runs[name], "%s was reported as not run", name)
			} else {
				// A call that is cancelled just after its attempt was committed is unknown although it did not run.
				require.Equal(t, mtoutcome.Unknown, outcome)
			}
		}
		require.NotZero(t, notRun)
		require.NotEmpty(t, runs)
	})
}

// A connection that no longer passes data costs an idempotent call one hedge delay. Calls that must run at most once
// must not use it.
func TestUnresponsiveConnectionCostsOneHedgeDelay(t *testing.T) {
	unresponsive := atomic.Bool{}
	handler := func(w http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		if unresponsive.Load() && request.Context().Value(firstConnection{}) == true {
			<-request.Context().Done()
			return
		}
		_, _ = io.WriteString(w, "answer")
	}
	synctest.Test(t, func(t *testing.T) {
		h := mtharness.NewHarness(t)
		h.RegisterEndpoint("endpoint-1")
		accepted := atomic.Bool{}
		server := h.StartServer("endpoint-1", http.HandlerFunc(handler))
		server.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, firstConnection{}, accepted.CompareAndSwap(false, true))
		}
		entry := h.AddEntryInstance("entry-1")
		for range 30 {
			require.Equal(t, "answer", h.Call(t.Context(), "entry-1", mtharness.IdempotentMethod, "7").Body)
		}
		require.Equal(t, 1, entry.Pool.OpenConns("endpoint-1:80"))
		unresponsive.Store(true)
		started := time.Now()
		require.Equal(t, "answer", h.Call(t.Context(), "entry-1", mtharness.IdempotentMethod, "7").Body)
		require.LessOrEqual(t, time.Since(started), 100*time.Millisecond)
		require.Equal(t, "answer", h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7").Body)
	})
}

// firstConnection is the context key of whether a request came on the first connection to the endpoint.
type firstConnection struct{}

// A redirect or an interim 100 Continue must not make the entry instance send the call again. The redirect is passed on
// to the caller.
func TestRedirectAfterInterimResponseIsPassedOn(t *testing.T) {
	runs := atomic.Int64{}
	handler := func(w http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		runs.Add(1)
		w.Header().Set("Location", "/"+mtharness.ServiceName+"/Other")
		w.WriteHeader(http.StatusTemporaryRedirect)
	}
	runWithEndpoints(t, mtrecord.HTTP1, 2, handler, func(t *testing.T, h *mtharness.Harness) {
		result := h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7", "Expect", "100-continue")
		require.NoError(t, result.Err)
		require.Equal(t, http.StatusTemporaryRedirect, result.Status)
		require.EqualValues(t, 1, runs.Load())
	})
}
