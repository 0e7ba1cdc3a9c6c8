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

// pausing is a router whose process is paused between the grant of an endpoint and the dispatch.
type pausing struct {
	*mtrouter.Router
	pause time.Duration
}

func (p *pausing) Acquire(ctx context.Context, call *mtcall.Call, avoid string) (*mtrouter.Lease, error) {
	lease, err := p.Router.Acquire(ctx, call, avoid)
	time.Sleep(p.pause)
	return lease, err
}

func newCall(h *mtharness.Harness, idempotent bool) *mtcall.Call {
	return &mtcall.Call{
		Service:    h.Service,
		Method:     mtharness.Once,
		Customer:   "acme",
		Team:       &recordv1.Team{Name: "hosts"},
		Contract:   &recordv1.Contract{Customer: "acme"},
		Deadline:   time.Now().Add(time.Second),
		Idempotent: idempotent,
	}
}

func newRequest(t *testing.T) (*http.Request, *mtbody.Body) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://entry/"+mtharness.Service+"/"+mtharness.Once, strings.NewReader("7"))
	require.NoError(t, err)
	return request, mtbody.NewBody(strings.NewReader("7"), 100)
}

func TestInstanceThatWakesUpAfterTheDeadlineSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := atomic.Int64{}
		h := mtharness.NewHarness(t)
		h.AddEndpoint("endpoint-1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			runs.Add(1)
		}))
		entry := h.AddEntry("entry-1")
		sender := mtsender.NewSender(&pausing{Router: entry.Router, pause: time.Minute}, entry.Pool)
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

// The first attempt answers long after its hedge has won; its answer must reach nobody and its lease must end.
func TestLateAnswerAfterAHedgeIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := atomic.Bool{}
		h := mtharness.NewHarness(t)
		handler := func(to http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			if slow.CompareAndSwap(true, false) {
				time.Sleep(700 * time.Millisecond)
				_, _ = io.WriteString(to, "late")
				return
			}
			_, _ = io.WriteString(to, "first")
		}
		h.AddEndpoint("endpoint-1", http.HandlerFunc(handler))
		h.AddEndpoint("endpoint-2", http.HandlerFunc(handler))
		h.AddEntry("entry-1")
		for range 40 {
			require.Equal(t, "first", h.Call(t.Context(), "entry-1", mtharness.Idempotent, "7").Body)
		}
		slow.Store(true)
		require.Equal(t, "first", h.Call(t.Context(), "entry-1", mtharness.Idempotent, "7").Body)
		for range 10 {
			require.Equal(t, "first", h.Call(t.Context(), "entry-1", mtharness.Idempotent, "7").Body)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

func TestSlowReaderGetsTheWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := mtharness.NewHarness(t)
		text := strings.Repeat("recipe ", 50_000)
		h.AddEndpoint("endpoint-1", http.HandlerFunc(func(to http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(to, text)
		}))
		h.AddEntry("entry-1")
		transport := &http.Transport{DialContext: h.Network.Dial}
		defer transport.CloseIdleConnections()
		request, _ := newRequest(t)
		request.URL.Host = "entry-1:80"
		request.Header.Set("Authorization", "Bearer "+mtharness.Token)
		response, err := transport.RoundTrip(request)
		require.NoError(t, err)
		defer response.Body.Close()
		got := &strings.Builder{}
		for buffer := make([]byte, 8000); ; time.Sleep(20 * time.Millisecond) {
			n, err := response.Body.Read(buffer)
			got.Write(buffer[:n])
			if err == io.EOF {
				break
			}
			require.NoError(t, err)
		}
		require.True(t, got.String() == text, "%d bytes of %d", got.Len(), len(text))
	})
}

// The cap on the connections to an endpoint holds over all instances, because each takes its part of it.
func TestConnectionsOverAllInstancesStayUnderTheCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, limit = 5, 20
		h := mtharness.NewHarness(t)
		h.Service.Slots = 4
		h.Service.Connections = limit
		h.AddEndpoint("endpoint-1", http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			time.Sleep(50 * time.Millisecond)
		}))
		var senders []*mtsender.Sender
		for i := range instances {
			entry := h.AddEntry(fmt.Sprint("entry-", i))
			senders = append(senders, mtsender.NewSender(entry.Router, entry.Pool, mtsender.WithMembers(func() int { return instances })))
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
			for _, entry := range h.Entries {
				open += entry.Pool.OpenConns("endpoint-1:80")
			}
			require.LessOrEqual(t, open, limit)
		}
		group.Wait()
	})
}
