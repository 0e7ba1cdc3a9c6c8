package mtcaller_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	entryv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1"
	"github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1/entryv1connect"
	"github.com/mangotack/mangotack/pkg/mtcaller"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

// fakeEntry is an entry instance that records the idempotency keys of its calls and counts its Resolve calls.
type fakeEntry struct {
	mu           sync.Mutex
	name         string
	server       *httptest.Server
	handler      http.HandlerFunc
	keys         []string
	resolveCalls int
	addresses    []*entryv1.Address
}

func newFakeEntry(t testing.TB, name string, handler http.HandlerFunc) *fakeEntry {
	e := &fakeEntry{
		name:    name,
		handler: handler,
	}
	mux := http.NewServeMux()
	mux.Handle(entryv1connect.NewResolveServiceHandler(e))
	mux.HandleFunc("/", func(to http.ResponseWriter, request *http.Request) {
		e.mu.Lock()
		e.keys = append(e.keys, request.Header.Get("Idempotency-Key"))
		e.mu.Unlock()
		e.handler(to, request)
	})
	e.server = httptest.NewServer(mux)
	t.Cleanup(e.server.Close)
	return e
}

// receivedKeys returns the idempotency keys of the calls so far.
func (e *fakeEntry) receivedKeys() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.keys)
}

// resolveCount returns the number of Resolve calls so far.
func (e *fakeEntry) resolveCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resolveCalls
}

func (e *fakeEntry) address() string {
	return strings.TrimPrefix(e.server.URL, "http://")
}

func (e *fakeEntry) Resolve(
	_ context.Context, request *connect.Request[entryv1.ResolveRequest],
) (*connect.Response[entryv1.ResolveResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resolveCalls++
	if request.Header().Get("Authorization") != "Bearer token" {
		return nil, connect.NewError(connect.CodeUnauthenticated, fmt.Errorf("unknown token"))
	}
	return connect.NewResponse(&entryv1.ResolveResponse{
		Addresses: e.addresses,
		Hold:      durationpb.New(time.Hour),
	}), nil
}

// newEntryPair starts two entry instances that both list the two of them, the first in the caller's data centre.
func newEntryPair(t testing.TB, first, second http.HandlerFunc) (a, b *fakeEntry) {
	a, b = newFakeEntry(t, "entry-1", first), newFakeEntry(t, "entry-2", second)
	addresses := []*entryv1.Address{
		{Instance: "entry-1", Calls: a.address(), Centre: "near", Ticket: "entry-1.1.7fffffff"},
		{Instance: "entry-2", Calls: b.address(), Centre: "far", Ticket: "entry-2.1.7fffffff"},
	}
	a.addresses, b.addresses = addresses, addresses
	return a, b
}

func respondWith(text string) http.HandlerFunc {
	return func(to http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(to, text)
	}
}

// refuseWith refuses calls with an outcome and a status, to be retried after 3 s.
func refuseWith(outcome mtoutcome.Outcome, status int) http.HandlerFunc {
	return func(to http.ResponseWriter, _ *http.Request) {
		to.Header().Set(mtoutcome.Header, string(outcome))
		to.Header().Set("Retry-After", "3")
		to.WriteHeader(status)
	}
}

// abortConnection closes the connection without a response.
func abortConnection(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

// doCall makes a call through a client that is configured with one entry instance.
func doCall(t testing.TB, a *fakeEntry, idempotent bool) (*mtcaller.Answer, error) {
	client := mtcaller.NewClient("token", []string{a.address()}, mtcaller.WithCentre("near"))
	return client.Do(t.Context(), mtcaller.Call{
		Service:    "a.v1.S",
		Method:     "M",
		Body:       []byte("7"),
		Idempotent: idempotent,
	})
}

func TestOnceCallUsesNewTicketWhenInstanceIsDown(t *testing.T) {
	a, b := newEntryPair(t, respondWith("a"), respondWith("b"))
	client := mtcaller.NewClient("token", []string{b.address()}, mtcaller.WithCentre("near"))
	a.server.Close()
	answer, err := client.Do(t.Context(), mtcaller.Call{Service: "a.v1.S", Method: "M"})
	require.NoError(t, err)
	require.Equal(t, "b", string(answer.Body))
	require.True(t, strings.HasPrefix(b.receivedKeys()[0], "entry-2.1.7fffffff-"),
		"the key must begin with the ticket of the instance that it is sent to")
}

func TestBrokenOnceCallWithUnknownOutcomeIsNotRetried(t *testing.T) {
	a, b := newEntryPair(t, abortConnection, refuseWith(mtoutcome.Unknown, http.StatusServiceUnavailable))
	_, err := doCall(t, a, false)
	require.True(t, errorx.IsOfType(err, mtcaller.Unknown), "%v", err)
	require.Len(t, a.receivedKeys(), 1)
	require.Equal(t, a.receivedKeys(), b.receivedKeys(), "the other instance must be asked with the same key")
}

func TestBrokenOnceCallThatDidNotRunIsRetriedWithNewKey(t *testing.T) {
	requests := atomic.Int64{}
	a, b := newEntryPair(t, abortConnection, func(to http.ResponseWriter, request *http.Request) {
		if requests.Add(1) == 1 {
			refuseWith(mtoutcome.NotRun, http.StatusServiceUnavailable)(to, request)
			return
		}
		respondWith("b")(to, request)
	})
	answer, err := doCall(t, a, false)
	require.NoError(t, err)
	require.Equal(t, "b", string(answer.Body))
	require.Len(t, b.receivedKeys(), 2)
	require.NotEqual(t, b.receivedKeys()[0], b.receivedKeys()[1])
}

func TestIdempotentCallFailsOver(t *testing.T) {
	a, b := newEntryPair(t, abortConnection, respondWith("b"))
	answer, err := doCall(t, a, true)
	require.NoError(t, err)
	require.Equal(t, "b", string(answer.Body))
	require.Equal(t, []string{""}, b.receivedKeys())
}

// A refusal as not run must not hide that an earlier attempt, whose connection broke, may have run.
func TestRefusalAfterBrokenAttemptHasUnknownOutcome(t *testing.T) {
	a, _ := newEntryPair(t, abortConnection, refuseWith(mtoutcome.NotRun, http.StatusServiceUnavailable))
	answer, err := doCall(t, a, true)
	if err != nil {
		require.True(t, errorx.IsOfType(err, mtcaller.Unknown), "%v", err)
		return
	}
	require.Equal(t, mtoutcome.Unknown, answer.Outcome)
}

func TestRefusalOverLimitIsNotRetried(t *testing.T) {
	a, b := newEntryPair(t, refuseWith(mtoutcome.NotRun, http.StatusTooManyRequests), respondWith("b"))
	answer, err := doCall(t, a, false)
	require.NoError(t, err)
	require.Equal(t, mtoutcome.NotRun, answer.Outcome)
	require.Equal(t, 3*time.Second, answer.Retry)
	require.Empty(t, b.receivedKeys())
}

func TestUnavailableRefusalFailsOverWithNewKey(t *testing.T) {
	a, b := newEntryPair(t, refuseWith(mtoutcome.NotRun, http.StatusServiceUnavailable), respondWith("b"))
	answer, err := doCall(t, a, false)
	require.NoError(t, err)
	require.Equal(t, "b", string(answer.Body))
	require.NotEqual(t, a.receivedKeys()[0], b.receivedKeys()[0])
}

func TestResolveResponseIsCached(t *testing.T) {
	a, _ := newEntryPair(t, respondWith("a"), respondWith("b"))
	client := mtcaller.NewClient("token", []string{a.address()}, mtcaller.WithCentre("near"))
	for range 5 {
		_, err := client.Do(t.Context(), mtcaller.Call{Service: "a.v1.S", Method: "M"})
		require.NoError(t, err)
	}
	require.Equal(t, 1, a.resolveCount())
	require.Len(t, a.receivedKeys(), 5)
}

func TestUnknownTokenIsForbidden(t *testing.T) {
	a, _ := newEntryPair(t, respondWith("a"), respondWith("b"))
	client := mtcaller.NewClient("other", []string{a.address()})
	_, err := client.Do(t.Context(), mtcaller.Call{Service: "a.v1.S", Method: "M"})
	require.True(t, errorx.IsOfType(err, mtcaller.Forbidden))
	require.True(t, errorx.IsOfType(err, mtcaller.NotRun))
}

func TestCallsUseTLS(t *testing.T) {
	a, b := newEntryPair(t, respondWith("a"), respondWith("b"))
	secure := httptest.NewTLSServer(a.server.Config.Handler)
	t.Cleanup(secure.Close)
	address := strings.TrimPrefix(secure.URL, "https://")
	a.addresses[0].Calls = address
	client := mtcaller.NewClient("token", []string{address}, mtcaller.WithCentre("near"),
		mtcaller.WithTLS(secure.Client().Transport.(*http.Transport).TLSClientConfig))
	answer, err := client.Do(t.Context(), mtcaller.Call{Service: "a.v1.S", Method: "M"})
	require.NoError(t, err)
	require.Equal(t, "a", string(answer.Body))
	require.Empty(t, b.receivedKeys())
}

func ExampleClient_Do() {
	t := &testing.T{}
	a, _ := newEntryPair(t, respondWith("charged 40 EUR"), respondWith("charged 40 EUR"))

	client := mtcaller.NewClient("token", []string{a.address()}, mtcaller.WithCentre("near"))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := client.Do(ctx, mtcaller.Call{
		Service: "kilele.deposit.v1.DepositService",
		Method:  "Charge",
		Body:    []byte(`{"booking": "77", "cents": 4000}`),
	})
	switch {
	case errorx.IsOfType(err, mtcaller.NotRun):
		fmt.Println("nothing was charged, retry the call")
	case err != nil:
		fmt.Println("look up the booking before charging again")
	case answer.Outcome == mtoutcome.NotRun:
		fmt.Println("nothing was charged, retry after", answer.Retry)
	default:
		fmt.Println(string(answer.Body))
	}
	// Output: charged 40 EUR
}
