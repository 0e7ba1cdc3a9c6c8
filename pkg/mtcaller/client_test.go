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

// entry is a fake entry instance that records the keys of its calls.
type entry struct {
	mu      sync.Mutex
	name    string
	server  *httptest.Server
	handler http.HandlerFunc
	keys    []string
	asked   int
	listed  []*entryv1.Address
}

func newEntry(t testing.TB, name string, handler http.HandlerFunc) *entry {
	e := &entry{
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

// seen returns the keys of the calls so far.
func (e *entry) seen() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.keys)
}

// questions returns how often Resolve was asked.
func (e *entry) questions() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.asked
}

func (e *entry) address() string {
	return strings.TrimPrefix(e.server.URL, "http://")
}

func (e *entry) Resolve(_ context.Context, request *connect.Request[entryv1.ResolveRequest]) (*connect.Response[entryv1.ResolveResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked++
	if request.Header().Get("Authorization") != "Bearer token" {
		return nil, connect.NewError(connect.CodeUnauthenticated, fmt.Errorf("unknown token"))
	}
	return connect.NewResponse(&entryv1.ResolveResponse{
		Addresses: e.listed,
		Hold:      durationpb.New(time.Hour),
	}), nil
}

// pair runs two fake entry instances that list both, the first in the caller's data centre.
func pair(t testing.TB, first, second http.HandlerFunc) (a, b *entry) {
	a, b = newEntry(t, "entry-1", first), newEntry(t, "entry-2", second)
	listed := []*entryv1.Address{
		{Instance: "entry-1", Calls: a.address(), Centre: "near", Ticket: "entry-1.1.7fffffff"},
		{Instance: "entry-2", Calls: b.address(), Centre: "far", Ticket: "entry-2.1.7fffffff"},
	}
	a.listed, b.listed = listed, listed
	return a, b
}

func answering(text string) http.HandlerFunc {
	return func(to http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(to, text)
	}
}

func refusing(outcome mtoutcome.Outcome, status int) http.HandlerFunc {
	return func(to http.ResponseWriter, _ *http.Request) {
		to.Header().Set(mtoutcome.Header, string(outcome))
		to.Header().Set("Retry-After", "3")
		to.WriteHeader(status)
	}
}

func cutting(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

func do(t testing.TB, a *entry, idempotent bool) (*mtcaller.Answer, error) {
	client := mtcaller.NewClient("token", []string{a.address()}, mtcaller.WithCentre("near"))
	return client.Do(t.Context(), mtcaller.Call{
		Service:    "a.v1.S",
		Method:     "M",
		Body:       []byte("7"),
		Idempotent: idempotent,
	})
}

func TestOnceCallWhoseHomeIsGoneTakesANewTicket(t *testing.T) {
	a, b := pair(t, answering("a"), answering("b"))
	client := mtcaller.NewClient("token", []string{b.address()}, mtcaller.WithCentre("near"))
	a.server.Close()
	answer, err := client.Do(t.Context(), mtcaller.Call{Service: "a.v1.S", Method: "M"})
	require.NoError(t, err)
	require.Equal(t, "b", string(answer.Body))
	require.True(t, strings.HasPrefix(b.seen()[0], "entry-2.1.7fffffff-"), "the key must carry the ticket of the instance that it goes to")
}

func TestBrokenOnceCallIsSettledByAskingAndNeverSentAgainUnlessNotRun(t *testing.T) {
	a, b := pair(t, cutting, refusing(mtoutcome.Unknown, http.StatusServiceUnavailable))
	_, err := do(t, a, false)
	require.True(t, errorx.IsOfType(err, mtcaller.Unknown), "%v", err)
	require.Len(t, a.seen(), 1)
	require.Equal(t, a.seen(), b.seen(), "the other instance is asked with the same key")
}

func TestBrokenOnceCallThatDidNotRunIsSentAgainWithANewKey(t *testing.T) {
	asked := atomic.Int64{}
	a, b := pair(t, cutting, func(to http.ResponseWriter, request *http.Request) {
		if asked.Add(1) == 1 {
			refusing(mtoutcome.NotRun, http.StatusServiceUnavailable)(to, request)
			return
		}
		answering("b")(to, request)
	})
	answer, err := do(t, a, false)
	require.NoError(t, err)
	require.Equal(t, "b", string(answer.Body))
	require.Len(t, b.seen(), 2)
	require.NotEqual(t, b.seen()[0], b.seen()[1])
}

func TestIdempotentCallFailsOver(t *testing.T) {
	a, b := pair(t, cutting, answering("b"))
	answer, err := do(t, a, true)
	require.NoError(t, err)
	require.Equal(t, "b", string(answer.Body))
	require.Equal(t, []string{""}, b.seen())
}

// A later refusal as not run says nothing of an earlier attempt that broke.
func TestRefusalAfterABrokenAttemptIsUnknown(t *testing.T) {
	a, _ := pair(t, cutting, refusing(mtoutcome.NotRun, http.StatusServiceUnavailable))
	answer, err := do(t, a, true)
	if err != nil {
		require.True(t, errorx.IsOfType(err, mtcaller.Unknown), "%v", err)
		return
	}
	require.Equal(t, mtoutcome.Unknown, answer.Outcome)
}

func TestRefusalOverALimitIsReturnedAtOnce(t *testing.T) {
	a, b := pair(t, refusing(mtoutcome.NotRun, http.StatusTooManyRequests), answering("b"))
	answer, err := do(t, a, false)
	require.NoError(t, err)
	require.Equal(t, mtoutcome.NotRun, answer.Outcome)
	require.Equal(t, 3*time.Second, answer.Retry)
	require.Empty(t, b.seen())
}

func TestRefusalThatAnotherInstanceCanBetterMovesOn(t *testing.T) {
	a, b := pair(t, refusing(mtoutcome.NotRun, http.StatusServiceUnavailable), answering("b"))
	answer, err := do(t, a, false)
	require.NoError(t, err)
	require.Equal(t, "b", string(answer.Body))
	require.NotEqual(t, a.seen()[0], b.seen()[0])
}

func TestAnswerOfResolveIsHeld(t *testing.T) {
	a, _ := pair(t, answering("a"), answering("b"))
	client := mtcaller.NewClient("token", []string{a.address()}, mtcaller.WithCentre("near"))
	for range 5 {
		_, err := client.Do(t.Context(), mtcaller.Call{Service: "a.v1.S", Method: "M"})
		require.NoError(t, err)
	}
	require.Equal(t, 1, a.questions())
	require.Len(t, a.seen(), 5)
}

func TestUnknownTokenIsFinal(t *testing.T) {
	a, _ := pair(t, answering("a"), answering("b"))
	client := mtcaller.NewClient("other", []string{a.address()})
	_, err := client.Do(t.Context(), mtcaller.Call{Service: "a.v1.S", Method: "M"})
	require.True(t, errorx.IsOfType(err, mtcaller.Forbidden))
	require.True(t, errorx.IsOfType(err, mtcaller.NotRun))
}

func TestCallsGoOverTLS(t *testing.T) {
	a, b := pair(t, answering("a"), answering("b"))
	secure := httptest.NewTLSServer(a.server.Config.Handler)
	t.Cleanup(secure.Close)
	address := strings.TrimPrefix(secure.URL, "https://")
	a.listed[0].Calls = address
	client := mtcaller.NewClient("token", []string{address}, mtcaller.WithCentre("near"), mtcaller.WithTLS(secure.Client().Transport.(*http.Transport).TLSClientConfig))
	answer, err := client.Do(t.Context(), mtcaller.Call{Service: "a.v1.S", Method: "M"})
	require.NoError(t, err)
	require.Equal(t, "a", string(answer.Body))
	require.Empty(t, b.seen())
}

func ExampleClient_Do() {
	t := &testing.T{}
	a, _ := pair(t, answering("charged 40 EUR"), answering("charged 40 EUR"))

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
		fmt.Println("nothing was charged, try again")
	case err != nil:
		fmt.Println("look up the booking before charging again")
	case answer.Outcome == mtoutcome.NotRun:
		fmt.Println("nothing was charged, come back after", answer.Retry)
	default:
		fmt.Println(string(answer.Body))
	}
	// Output: charged 40 EUR
}
