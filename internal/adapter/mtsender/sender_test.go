package mtsender_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/adapter/mtbody"
	"github.com/mangotack/mangotack/internal/adapter/mtsender"
	"github.com/mangotack/mangotack/internal/core/mtcall"
	"github.com/mangotack/mangotack/internal/core/mtrefusal"
	"github.com/mangotack/mangotack/internal/node/mtrouter"
	"github.com/mangotack/mangotack/internal/testkit/mtharness"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

// pausingRouter is a router whose process pauses after an endpoint is assigned and before the call is sent.
type pausingRouter struct {
	*mtrouter.Router
	pause time.Duration
}

func (r *pausingRouter) Acquire(ctx context.Context, call *mtcall.Call, avoid string) (*mtrouter.Lease, error) {
	lease, err := r.Router.Acquire(ctx, call, avoid)
	time.Sleep(r.pause)
	return lease, err
}

func newCall(h *mtharness.Harness, idempotent bool) *mtcall.Call {
	return &mtcall.Call{
		Service:    h.Service,
		Method:     mtharness.OnceMethod,
		Customer:   "acme",
		Team:       &recordv1.Team{Name: "hosts"},
		Contract:   &recordv1.Contract{Customer: "acme"},
		Deadline:   time.Now().Add(time.Second),
		Idempotent: idempotent,
	}
}

func newRequest(t *testing.T) (*http.Request, *mtbody.Body) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
		"http://entry/"+mtharness.ServiceName+"/"+mtharness.OnceMethod, strings.NewReader("7"))
	require.NoError(t, err)
	return request, mtbody.NewBody(strings.NewReader("7"), 100)
}

// An entry instance whose process is paused past the deadline of a call must not send the call when it resumes: the
// caller no longer waits for it.
func TestCallIsNotSentAfterAPausePastItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := atomic.Int64{}
		h := mtharness.NewHarness(t)
		h.AddEndpoint("endpoint-1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			runs.Add(1)
		}))
		entry := h.AddEntryInstance("entry-1")
		sender := mtsender.NewSender(&pausingRouter{Router: entry.Router, pause: time.Minute}, entry.Pool)
		for _, idempotent := range []bool{false, true} {
			call := newCall(h, idempotent)
			ctx, cancel := context.WithDeadline(t.Context(), call.Deadline)
			request, body := newRequest(t)
			_, err := sender.Send(ctx, call, request, body)
			cancel()
			var refusal *mtrefusal.Refusal
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, mtoutcome.NotRun, refusal.Outcome)
		}
		require.Zero(t, runs.Load())
	})
}

// The first attempt answers long after its hedge. Its answer must not reach any caller, and its lease must end, or else
// the endpoint runs out of slots.
func TestLateAnswerAfterAHedgeIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		delayNext := atomic.Bool{}
		h := mtharness.NewHarness(t)
		handler := func(w http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			if delayNext.CompareAndSwap(true, false) {
				time.Sleep(700 * time.Millisecond)
				_, _ = io.WriteString(w, "late")
				return
			}
			_, _ = io.WriteString(w, "first")
		}
		h.AddEndpoint("endpoint-1", http.HandlerFunc(handler))
		h.AddEndpoint("endpoint-2", http.HandlerFunc(handler))
		h.AddEntryInstance("entry-1")
		for range 40 {
			require.Equal(t, "first", h.Call(t.Context(), "entry-1", mtharness.IdempotentMethod, "7").Body)
		}
		delayNext.Store(true)
		require.Equal(t, "first", h.Call(t.Context(), "entry-1", mtharness.IdempotentMethod, "7").Body)
		for range 10 {
			require.Equal(t, "first", h.Call(t.Context(), "entry-1", mtharness.IdempotentMethod, "7").Body)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// A caller that reads slowly must not lose the rest of an answer that is larger than the buffers.
func TestSlowReaderReceivesTheCompleteAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := mtharness.NewHarness(t)
		text := strings.Repeat("recipe ", 50_000)
		h.AddEndpoint("endpoint-1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, text)
		}))
		h.AddEntryInstance("entry-1")
		transport := &http.Transport{DialContext: h.Network.Dial}
		defer transport.CloseIdleConnections()
		request, _ := newRequest(t)
		request.URL.Host = "entry-1:80"
		request.Header.Set("Authorization", "Bearer "+mtharness.TeamToken)
		response, err := transport.RoundTrip(request)
		require.NoError(t, err)
		defer response.Body.Close()
		received := &strings.Builder{}
		for buffer := make([]byte, 8000); ; time.Sleep(20 * time.Millisecond) {
			n, err := response.Body.Read(buffer)
			received.Write(buffer[:n])
			if err == io.EOF {
				break
			}
			require.NoError(t, err)
		}
		require.True(t, received.String() == text, "%d bytes of %d", received.Len(), len(text))
	})
}

// The limit on the connections to an endpoint applies to all entry instances together. Each opens at most its share, so
// the endpoint never has more connections than the limit.
func TestConnectionsOfAllInstancesStayWithinTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, maxConns = 5, 20
		h := mtharness.NewHarness(t)
		h.Service.Slots = 4
		h.Service.Connections = maxConns
		h.AddEndpoint("endpoint-1", http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			time.Sleep(50 * time.Millisecond)
		}))
		var senders []*mtsender.Sender
		for i := range instances {
			entry := h.AddEntryInstance(fmt.Sprint("entry-", i))
			senders = append(senders, mtsender.NewSender(entry.Router, entry.Pool,
				mtsender.WithInstanceCount(func() int { return instances })))
		}
		var group sync.WaitGroup
		for i := range 200 {
			group.Go(func() {
				request, body := newRequest(t)
				answer, err := senders[i%instances].Send(t.Context(), newCall(h, true), request, body)
				if err == nil {
					answer.Finish(false)
				}
			})
		}
		for range 20 {
			time.Sleep(20 * time.Millisecond)
			open := 0
			for _, entry := range h.EntryInstances {
				open += entry.Pool.OpenConns("endpoint-1:80")
			}
			require.LessOrEqual(t, open, maxConns)
		}
		group.Wait()
	})
}
