package mtpool_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/adapter/mtpool"
	"github.com/mangotack/mangotack/internal/testkit/mtfaultyhttp"
	"github.com/mangotack/mangotack/internal/testkit/mtmemorynetwork"
)

// closingEndpoint answers the first request of each connection; it runs the second and closes the connection without an
// answer.
type closingEndpoint struct {
	runs atomic.Int64
}

func (e *closingEndpoint) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go e.serveConn(conn)
	}
}

func (e *closingEndpoint) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for answered := 0; ; answered++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		e.runs.Add(1)
		if answered == 1 {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func newRequest(t *testing.T, method, body string, header http.Header) *http.Request {
	request, err := http.NewRequestWithContext(t.Context(), method, "http://endpoint:80/s/m", strings.NewReader(body))
	require.NoError(t, err)
	request.Header = header
	return request
}

var replayableRequests = map[string]struct {
	method string
	body   string
	header http.Header
}{
	"empty body with a key": {method: http.MethodPost, header: http.Header{"Idempotency-Key": {"k"}}},
	"body with a key":       {method: http.MethodPost, body: "7", header: http.Header{"Idempotency-Key": {"k"}}},
	"get":                   {method: http.MethodGet, header: http.Header{}},
	"post without a key":    {method: http.MethodPost, header: http.Header{}},
}

// A reused connection that breaks must fail the request. A replay on a new connection would run the call twice.
func TestRequestOnBrokenReusedConnectionIsNotReplayed(t *testing.T) {
	for name, test := range replayableRequests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := mtmemorynetwork.NewNetwork()
				listener := network.Listen("endpoint:80")
				defer listener.Close()
				endpoint := &closingEndpoint{}
				go endpoint.serve(listener)
				pool := mtpool.NewPool(network.Dial)
				firstErr := sendFresh(t, pool, newRequest(t, test.method, test.body, test.header))
				require.NoError(t, firstErr)
				secondErr := sendFresh(t, pool, newRequest(t, test.method, test.body, test.header))
				require.Error(t, secondErr)
				require.EqualValues(t, 2, endpoint.runs.Load())
				require.Equal(t, 1, network.DialCount("endpoint:80"), "second request not sent on the first connection")
				time.Sleep(time.Minute)
				pool.CloseIdle(time.Now())
			})
		})
	}
}

// The test shows why the package has a pool of its own: when a reused connection breaks, net/http's pool replays the
// request on a new connection without reporting it.
func TestNetHTTPPoolReplaysRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := mtmemorynetwork.NewNetwork()
		listener := network.Listen("endpoint:80")
		defer listener.Close()
		endpoint := &closingEndpoint{}
		go endpoint.serve(listener)
		transport := &http.Transport{DialContext: network.Dial}
		defer transport.CloseIdleConnections()
		test := replayableRequests["empty body with a key"]
		for range 2 {
			response, err := transport.RoundTrip(newRequest(t, test.method, test.body, test.header))
			require.NoError(t, err)
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
		require.EqualValues(t, 3, endpoint.runs.Load(), "two requests ran three times")
	})
}

// sendFresh sends a request on a fresh connection and reads the response to its end.
func sendFresh(t *testing.T, pool *mtpool.Pool, request *http.Request) error {
	conn, err := pool.Get(context.Background(), mtpool.Target{
		Address:      "endpoint:80",
		MaxConns:     4,
		RequireFresh: true,
	}, time.Now())
	require.NoError(t, err)
	response, err := conn.RoundTrip(request)
	if err != nil {
		conn.Release(false, time.Now())
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	conn.Release(err == nil, time.Now())
	synctest.Wait()
	return err
}

// A connection without a recent response may be dead, and a call that must run at most once can't be hedged or retried
// when it was sent on one.
func TestFreshTargetDialsWhenTheIdleConnectionIsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := mtmemorynetwork.NewNetwork()
		listener := network.Listen("endpoint:80")
		defer listener.Close()
		endpoint := &closingEndpoint{}
		go endpoint.serve(listener)
		pool := mtpool.NewPool(network.Dial)
		require.NoError(t, sendFresh(t, pool, newRequest(t, http.MethodGet, "", http.Header{})))
		time.Sleep(2 * time.Second)
		require.NoError(t, sendFresh(t, pool, newRequest(t, http.MethodGet, "", http.Header{})))
		require.Equal(t, 2, network.DialCount("endpoint:80"))
		time.Sleep(time.Minute)
		pool.CloseIdle(time.Now())
		synctest.Wait()
		require.Zero(t, pool.OpenConns("endpoint:80"))
	})
}

func TestGetFailsWhenAllConnectionsAreInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := mtmemorynetwork.NewNetwork()
		listener := network.Listen("endpoint:80")
		defer listener.Close()
		go (&closingEndpoint{}).serve(listener)
		pool := mtpool.NewPool(network.Dial)
		target := mtpool.Target{
			Address:  "endpoint:80",
			MaxConns: 2,
		}
		for range 2 {
			conn, err := pool.Get(t.Context(), target, time.Now())
			require.NoError(t, err)
			defer conn.Release(false, time.Now())
		}
		_, err := pool.Get(t.Context(), target, time.Now())
		require.ErrorContains(t, err, "2 connections to endpoint:80 are in use")
	})
}

// An endpoint answers each request twice. The next call races with net/http's reader, which has the second response in
// its buffer; without waitIdle one call in a few thousand received the response of the previous call.
func TestUnsolicitedResponseIsNotReturnedToTheNextCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := mtmemorynetwork.NewNetwork()
		listener := network.Listen("endpoint:80")
		defer listener.Close()
		go mtfaultyhttp.ServeDoubleResponses(listener)
		pool := mtpool.NewPool(network.Dial)
		for i := range 10000 {
			sent := strconv.Itoa(i)
			conn, err := pool.Get(t.Context(), mtpool.Target{
				Address:  "endpoint:80",
				MaxConns: 4,
			}, time.Now())
			require.NoError(t, err)
			response, err := conn.RoundTrip(newRequest(t, http.MethodPost, sent, http.Header{}))
			require.NoError(t, err)
			received, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, sent, string(received))
			conn.Release(true, time.Now())
		}
		time.Sleep(time.Minute)
		pool.CloseIdle(time.Now())
	})
}
