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
	"github.com/mangotack/mangotack/internal/testkit/mtmemory"
	"github.com/mangotack/mangotack/internal/testkit/mtraw"
)

// rawEndpoint answers the first request of each connection and runs the second without an answer.
type rawEndpoint struct {
	runs atomic.Int64
}

func (e *rawEndpoint) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go e.serveConn(conn)
	}
}

func (e *rawEndpoint) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		e.runs.Add(1)
		if number == 1 {
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

var replayCases = map[string]struct {
	method string
	body   string
	header http.Header
}{
	"empty body with a key": {method: http.MethodPost, header: http.Header{"Idempotency-Key": {"k"}}},
	"body with a key":       {method: http.MethodPost, body: "7", header: http.Header{"Idempotency-Key": {"k"}}},
	"get":                   {method: http.MethodGet, header: http.Header{}},
	"post without a key":    {method: http.MethodPost, header: http.Header{}},
}

func TestRequestOnAReusedConnectionIsNeverReplayed(t *testing.T) {
	for name, one := range replayCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := mtmemory.NewNetwork()
				listener := network.Listen("endpoint:80")
				defer listener.Close()
				endpoint := &rawEndpoint{}
				go endpoint.serve(listener)
				pool := mtpool.NewPool(network.Dial)
				first := send(t, pool, newRequest(t, one.method, one.body, one.header))
				require.NoError(t, first)
				second := send(t, pool, newRequest(t, one.method, one.body, one.header))
				require.Error(t, second)
				require.EqualValues(t, 2, endpoint.runs.Load())
				require.Equal(t, 1, network.Dials("endpoint:80"), "the second request must have used the first connection")
				time.Sleep(time.Minute)
				pool.Sweep(time.Now())
			})
		})
	}
}

// The naive way is net/http's own pool: it runs the second request again on a new connection and hides it.
func TestNaivePoolReplaysRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := mtmemory.NewNetwork()
		listener := network.Listen("endpoint:80")
		defer listener.Close()
		endpoint := &rawEndpoint{}
		go endpoint.serve(listener)
		transport := &http.Transport{DialContext: network.Dial}
		defer transport.CloseIdleConnections()
		one := replayCases["empty body with a key"]
		for range 2 {
			response, err := transport.RoundTrip(newRequest(t, one.method, one.body, one.header))
			require.NoError(t, err)
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
		require.EqualValues(t, 3, endpoint.runs.Load(), "two requests ran three times")
	})
}

func send(t *testing.T, pool *mtpool.Pool, request *http.Request) error {
	conn, err := pool.Get(context.Background(), mtpool.Target{
		Address: "endpoint:80",
		Limit:   4,
		Proven:  true,
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

func TestConnectionThatIsNotProvenIsNotUsedForOnceCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := mtmemory.NewNetwork()
		listener := network.Listen("endpoint:80")
		defer listener.Close()
		endpoint := &rawEndpoint{}
		go endpoint.serve(listener)
		pool := mtpool.NewPool(network.Dial)
		require.NoError(t, send(t, pool, newRequest(t, http.MethodGet, "", http.Header{})))
		time.Sleep(2 * time.Second)
		require.NoError(t, send(t, pool, newRequest(t, http.MethodGet, "", http.Header{})))
		require.Equal(t, 2, network.Dials("endpoint:80"))
		time.Sleep(time.Minute)
		pool.Sweep(time.Now())
		synctest.Wait()
		require.Zero(t, pool.Open("endpoint:80"))
	})
}

func TestConnectionsStayUnderTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := mtmemory.NewNetwork()
		listener := network.Listen("endpoint:80")
		defer listener.Close()
		go (&rawEndpoint{}).serve(listener)
		pool := mtpool.NewPool(network.Dial)
		target := mtpool.Target{
			Address: "endpoint:80",
			Limit:   2,
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

// The next call competes with the reader of net/http, which has the second answer in its buffer; without a check one call
// in some thousand got the answer of the call before.
func TestSecondAnswerIsNotTakenForTheNextOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := mtmemory.NewNetwork()
		listener := network.Listen("endpoint:80")
		defer listener.Close()
		go mtraw.AnswerTwice(listener)
		pool := mtpool.NewPool(network.Dial)
		for i := range 10000 {
			sent := strconv.Itoa(i)
			conn, err := pool.Get(t.Context(), mtpool.Target{
				Address: "endpoint:80",
				Limit:   4,
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
		pool.Sweep(time.Now())
	})
}
