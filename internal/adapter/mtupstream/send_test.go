package mtupstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtresponse"
)

// testResponseReader reads the response headers of testEndpoint.
type testResponseReader struct{}

func (testResponseReader) ParseResponseHeader(_ int, header http.Header) mtresponse.Metadata {
	return mtresponse.Metadata{
		AttemptID: header.Get("Attempt"),
		NotRun:    header.Get("Notrun") != "",
	}
}

// testEndpoint is an HTTP/1.1 server that responds to each request by a script; the script returns false to close the
// connection. It counts connections and requests.
type testEndpoint struct {
	address     string
	connections atomic.Int64
	requests    atomic.Int64
}

func newTestEndpoint(
	t *testing.T, script func(requestNumber int64, conn *net.TCPConn, request *http.Request) bool,
) *testEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	endpoint := &testEndpoint{
		address: listener.Addr().String(),
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			endpoint.connections.Add(1)
			go endpoint.serve(conn.(*net.TCPConn), script)
		}
	}()
	return endpoint
}

func (endpoint *testEndpoint) serve(
	conn *net.TCPConn, script func(requestNumber int64, conn *net.TCPConn, request *http.Request) bool,
) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || !script(endpoint.requests.Add(1), conn, request) {
			return
		}
	}
}

func writeText(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, strings.ReplaceAll(text, "\n", "\r\n"))
	return err == nil
}

func responseText(attemptID, body string) string {
	return "HTTP/1.1 200 OK\nAttempt: " + attemptID + "\nContent-Length: " + string(rune('0'+len(body))) + "\n\n" + body
}

func send(t *testing.T, pool *Pool, address, attemptID string, idempotent bool) (*Response, DeliveryStatus, error) {
	t.Helper()
	return pool.Send(context.Background(), Request{
		Address:    address,
		Method:     http.MethodGet,
		Target:     "/x%2Fy?q",
		Host:       "a.example",
		Header:     http.Header{},
		AttemptID:  attemptID,
		Idempotent: idempotent,
	}, time.Now().Add(10*time.Second))
}

func newTestPool() *Pool {
	return NewPool(testResponseReader{}, nil)
}

func TestConnectionIsReusedAfterCompleteResponse(t *testing.T) {
	endpoint := newTestEndpoint(t, func(_ int64, conn *net.TCPConn, request *http.Request) bool {
		return request.RequestURI == "/x%2Fy?q" && writeText(conn, responseText("1", "abc"))
	})
	pool := newTestPool()
	for range 3 {
		reply, delivery, err := send(t, pool, endpoint.address, "1", true)
		require.NoError(t, err)
		require.Equal(t, Answered, delivery)
		require.Equal(t, "abc", string(reply.Body))
	}
	require.EqualValues(t, 1, endpoint.connections.Load())
}

func TestLateResponseToEarlierRequestIsSkipped(t *testing.T) {
	endpoint := newTestEndpoint(t, func(requestNumber int64, conn *net.TCPConn, _ *http.Request) bool {
		if requestNumber == 1 {
			return writeText(conn, responseText("1", "one"))
		}
		return writeText(conn, responseText("1", "one")+responseText("2", "two"))
	})
	pool := newTestPool()
	_, _, err := send(t, pool, endpoint.address, "1", true)
	require.NoError(t, err)
	reply, _, err := send(t, pool, endpoint.address, "2", false)
	require.NoError(t, err)
	require.Equal(t, "two", string(reply.Body))
}

func TestBytesAfterResponseCloseConnection(t *testing.T) {
	endpoint := newTestEndpoint(t, func(requestNumber int64, conn *net.TCPConn, _ *http.Request) bool {
		if requestNumber == 1 {
			return writeText(conn, responseText("1", "one")+responseText("1", "one"))
		}
		return writeText(conn, responseText("2", "two"))
	})
	pool := newTestPool()
	_, _, err := send(t, pool, endpoint.address, "1", true)
	require.NoError(t, err)
	reply, _, err := send(t, pool, endpoint.address, "2", true)
	require.NoError(t, err)
	require.Equal(t, "two", string(reply.Body))
	require.EqualValues(t, 2, endpoint.connections.Load())
}

func TestConnectionClosedWhileIdleIsNotReused(t *testing.T) {
	closed := make(chan struct{})
	endpoint := newTestEndpoint(t, func(requestNumber int64, conn *net.TCPConn, _ *http.Request) bool {
		if !writeText(conn, responseText("1", "one")) {
			return false
		}
		if requestNumber == 1 {
			_ = conn.Close()
			close(closed)
		}
		return requestNumber > 1
	})
	pool := newTestPool()
	_, _, err := send(t, pool, endpoint.address, "1", false)
	require.NoError(t, err)
	<-closed
	require.Eventually(t, func() bool {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		list := pool.idle[endpoint.address]
		return len(list) == 0 || !list[0].hasNoPendingInput()
	}, 10*time.Second, time.Millisecond)
	_, delivery, err := send(t, pool, endpoint.address, "1", false)
	require.NoError(t, err)
	require.Equal(t, Answered, delivery)
}

func TestIncompleteResponseMeansRequestMayHaveRun(t *testing.T) {
	for name, script := range map[string]func(conn *net.TCPConn) bool{
		"truncated body": func(conn *net.TCPConn) bool {
			writeText(conn, "HTTP/1.1 200 OK\nAttempt: 1\nContent-Length: 9\n\nabc")
			return false
		},
		"not HTTP": func(conn *net.TCPConn) bool {
			return writeText(conn, "rubbish\n\n")
		},
		"no response": func(*net.TCPConn) bool {
			return false
		},
		"without length, reset": func(conn *net.TCPConn) bool {
			writeText(conn, "HTTP/1.1 200 OK\nAttempt: 1\n\nabc")
			_ = conn.SetLinger(0)
			return false
		},
		"response to another request": func(conn *net.TCPConn) bool {
			writeText(conn, responseText("9", "abc"))
			return false
		},
		"truncated chunks": func(conn *net.TCPConn) bool {
			writeText(conn, "HTTP/1.1 200 OK\nAttempt: 1\nTransfer-Encoding: chunked\n\n3\nabc\n")
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := newTestEndpoint(t, func(_ int64, conn *net.TCPConn, _ *http.Request) bool {
				return script(conn)
			})
			_, delivery, err := send(t, newTestPool(), endpoint.address, "1", false)
			require.Error(t, err)
			require.Equal(t, MayHaveRun, delivery, "the request may have run")
		})
	}
}

func TestResponseWithoutLengthEndsAtConnectionClose(t *testing.T) {
	endpoint := newTestEndpoint(t, func(_ int64, conn *net.TCPConn, _ *http.Request) bool {
		writeText(conn, "HTTP/1.1 200 OK\nAttempt: 1\n\nabc")
		return false
	})
	reply, _, err := send(t, newTestPool(), endpoint.address, "1", true)
	require.NoError(t, err)
	require.Equal(t, "abc", string(reply.Body))
}

func TestRequestToUnreachableEndpointIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, delivery, err := send(t, newTestPool(), address, "1", false)
	require.Error(t, err)
	require.Equal(t, NotSent, delivery)
}

func TestCancellationClosesEndpointConnection(t *testing.T) {
	received, closed := make(chan struct{}), make(chan struct{})
	endpoint := newTestEndpoint(t, func(_ int64, conn *net.TCPConn, _ *http.Request) bool {
		close(received)
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received
		cancel()
	}()
	_, delivery, err := newTestPool().Send(ctx, Request{
		Address: endpoint.address,
		Method:  http.MethodGet,
		Target:  "/",
		Header:  http.Header{},
	}, time.Now().Add(time.Minute))
	require.Error(t, err)
	require.Equal(t, MayHaveRun, delivery)
	<-closed
}

func TestResponseBeforeEndOfLongRequestBodyClosesConnection(t *testing.T) {
	endpoint := newTestEndpoint(t, func(requestNumber int64, conn *net.TCPConn, request *http.Request) bool {
		if request.Method == http.MethodPost {
			writeText(conn, "HTTP/1.1 413 Too Large\nAttempt: 1\nContent-Length: 0\n\n")
			// The connection stays open until the client closes it.
			_, _ = io.Copy(io.Discard, conn)
			return false
		}
		return writeText(conn, responseText("2", "two"))
	})
	pool := newTestPool()
	reply, _, err := pool.Send(context.Background(), Request{
		Address:   endpoint.address,
		Method:    http.MethodPost,
		Target:    "/",
		Header:    http.Header{},
		Body:      make([]byte, 32<<20),
		AttemptID: "1",
	}, time.Now().Add(time.Minute))
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, reply.Status)
	next, _, err := send(t, pool, endpoint.address, "2", true)
	require.NoError(t, err)
	require.Equal(t, "two", string(next.Body))
	require.EqualValues(t, 2, endpoint.connections.Load())
}

func TestLongResponseIsStreamed(t *testing.T) {
	const size = maxBufferedBodyBytes + 1000
	endpoint := newTestEndpoint(t, func(_ int64, conn *net.TCPConn, _ *http.Request) bool {
		return writeText(conn, "HTTP/1.1 200 OK\nAttempt: 1\nTransfer-Encoding: chunked\n\n") &&
			writeText(conn, "1003e8\n"+strings.Repeat("x", size)+"\n0\n\n")
	})
	reply, _, err := send(t, newTestPool(), endpoint.address, "1", true)
	require.NoError(t, err)
	require.NotNil(t, reply.Remainder)
	rest, err := io.ReadAll(reply.Remainder)
	require.NoError(t, err)
	require.NoError(t, reply.Remainder.Close())
	require.Equal(t, size, len(reply.Body)+len(rest))
}

func TestIdleLifetimeStaysBelowEndpointTimeout(t *testing.T) {
	lifetime := func(keepAlive string, closed bool) time.Duration {
		return idleLifetime(&http.Response{
			Close:  closed,
			Header: http.Header{"Keep-Alive": {keepAlive}},
		})
	}
	require.Equal(t, 10*time.Second-idleTimeoutMargin, lifetime("timeout=10, max=100", false))
	require.Equal(t, 500*time.Millisecond, lifetime("timeout=1", false))
	require.Equal(t, defaultIdleTimeout, lifetime("", false))
	require.Equal(t, maxIdleTimeoutSeconds*time.Second-idleTimeoutMargin, lifetime("timeout=9223372036854775807", false))
	require.Zero(t, lifetime("timeout=10", true))
}

func TestNonIdempotentRequestReusesOnlyRecentlyUsedConnection(t *testing.T) {
	pool := newTestPool()
	now := time.Unix(1000, 0)
	client, _ := net.Pipe()
	pool.putIdle(newConn(client, "a"), time.Minute, now)
	require.Nil(t, pool.popIdle("a", false, now.Add(nonIdempotentIdleTimeout+1)))
	require.NotNil(t, pool.popIdle("a", true, now.Add(nonIdempotentIdleTimeout+1)))
}

// The deadline of the previous request may have passed when an idle connection is checked before reuse.
func TestExpiredDeadlineDoesNotCountAsPendingInput(t *testing.T) {
	endpoint := newTestEndpoint(t, func(int64, *net.TCPConn, *http.Request) bool {
		return false
	})
	socket, err := net.Dial("tcp", endpoint.address)
	require.NoError(t, err)
	defer socket.Close()
	require.NoError(t, socket.SetDeadline(time.Now().Add(-time.Second)))
	require.True(t, newConn(socket, endpoint.address).hasNoPendingInput())
}

// A refusal without an attempt ID that arrives on a used connection may duplicate an earlier refusal of a probe, which
// has no ID. It must not be taken to mean that the next request was not run.
func TestDuplicateRefusalWithoutIDIsNotMatchedToNextRequest(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\nNotrun: 1\nContent-Length: 0\n\n"
	refused := sync.Map{}
	endpoint := newTestEndpoint(t, func(requestNumber int64, conn *net.TCPConn, _ *http.Request) bool {
		if requestNumber == 1 {
			refused.Store(conn, true)
			return writeText(conn, refusal)
		}
		duplicate := ""
		if _, found := refused.Load(conn); found {
			duplicate = refusal
		}
		return writeText(conn, duplicate+responseText("2", "two"))
	})
	pool := newTestPool()
	_, err := pool.Probe(t.Context(), endpoint.address, "/", nil)
	require.NoError(t, err)
	reply, delivery, err := send(t, pool, endpoint.address, "2", false)
	require.NoError(t, err)
	require.Equal(t, Answered, delivery)
	require.False(t, reply.Metadata.NotRun)
	require.Equal(t, "two", string(reply.Body))
}

// Every second refusal was skipped as a duplicate of the one before, and its caller waited until its deadline.
func TestRefusalsWithoutIDInARowAreAllAccepted(t *testing.T) {
	endpoint := newTestEndpoint(t, func(_ int64, conn *net.TCPConn, _ *http.Request) bool {
		return writeText(conn, "HTTP/1.1 503 Service Unavailable\nNotrun: 1\nContent-Length: 0\n\n")
	})
	pool := newTestPool()
	for range 10 {
		reply, delivery, err := send(t, pool, endpoint.address, "1", false)
		require.NoError(t, err)
		require.Equal(t, Answered, delivery)
		require.True(t, reply.Metadata.NotRun)
		_, err = pool.Probe(t.Context(), endpoint.address, "/", nil)
		require.NoError(t, err)
	}
}

// An endpoint that does not echo the attempt ID in a refusal, such as one that took over an address, must not leave the
// caller waiting because the connection has carried a probe before.
func TestRefusalWithoutIDAfterProbeIsAccepted(t *testing.T) {
	endpoint := newTestEndpoint(t, func(requestNumber int64, conn *net.TCPConn, _ *http.Request) bool {
		if requestNumber == 1 {
			return writeText(conn, "HTTP/1.1 200 OK\nContent-Length: 0\n\n")
		}
		return writeText(conn, "HTTP/1.1 503 Service Unavailable\nNotrun: 1\nContent-Length: 0\n\n")
	})
	pool := newTestPool()
	_, err := pool.Probe(t.Context(), endpoint.address, "/", nil)
	require.NoError(t, err)
	reply, delivery, err := send(t, pool, endpoint.address, "2", false)
	require.NoError(t, err)
	require.Equal(t, Answered, delivery)
	require.True(t, reply.Metadata.NotRun)
	require.EqualValues(t, 1, endpoint.connections.Load())
}

// On a new connection a refusal can only belong to the first request: an endpoint that refuses before it has read the
// attempt ID has not run the request.
func TestRefusalWithoutIDOnNewConnectionIsAccepted(t *testing.T) {
	endpoint := newTestEndpoint(t, func(_ int64, conn *net.TCPConn, _ *http.Request) bool {
		return writeText(conn, "HTTP/1.1 503 Service Unavailable\nNotrun: 1\nContent-Length: 0\n\n")
	})
	reply, _, err := send(t, newTestPool(), endpoint.address, "1", false)
	require.NoError(t, err)
	require.True(t, reply.Metadata.NotRun)
}

// A duplicate response arrives byte by byte, partly before the connection is reused and partly after. It must not be
// returned as the response to the next request.
func TestDuplicateResponseArrivingAroundReuseIsNotMatched(t *testing.T) {
	duplicate := strings.ReplaceAll(responseText("1", "one"), "\n", "\r\n")
	for sentEarly := 0; sentEarly <= len(duplicate); sentEarly += 7 {
		sent := make(chan struct{})
		endpoint := newTestEndpoint(t, func(requestNumber int64, conn *net.TCPConn, request *http.Request) bool {
			id := request.Header.Get("Attempt")
			if id == "1" {
				// The client closes the connection if it sees a part of the duplicate at once, so the writes may fail.
				defer close(sent)
				if !writeText(conn, responseText("1", "one")) {
					return false
				}
				for i := range sentEarly {
					if _, err := io.WriteString(conn, duplicate[i:i+1]); err != nil {
						return false
					}
				}
				return true
			}
			if requestNumber == 2 {
				for i := sentEarly; i < len(duplicate); i++ {
					if _, err := io.WriteString(conn, duplicate[i:i+1]); err != nil {
						return false
					}
				}
			}
			return writeText(conn, responseText("2", "two"))
		})
		pool := newTestPool()
		request := Request{
			Address:   endpoint.address,
			Method:    http.MethodGet,
			Target:    "/",
			Host:      "a.example",
			Header:    http.Header{"Attempt": {"1"}},
			AttemptID: "1",
		}
		reply, _, err := pool.Send(t.Context(), request, time.Now().Add(10*time.Second))
		require.NoError(t, err)
		require.Equal(t, "one", string(reply.Body))
		<-sent
		request.Header, request.AttemptID = http.Header{"Attempt": {"2"}}, "2"
		reply, delivery, err := pool.Send(t.Context(), request, time.Now().Add(10*time.Second))
		if err == nil {
			require.Equal(t, "two", string(reply.Body), "%d bytes before the reuse", sentEarly)
		} else {
			require.Equal(t, MayHaveRun, delivery, "%d bytes before the reuse", sentEarly)
		}
	}
}

// A request that is no longer allowed once its connection is open is not sent, and the connection returns to the pool.
func TestDisallowedRequestIsNotSent(t *testing.T) {
	endpoint := newTestEndpoint(t, func(_ int64, conn *net.TCPConn, _ *http.Request) bool {
		return writeText(conn, responseText("2", "two"))
	})
	pool := newTestPool()
	_, delivery, err := pool.Send(t.Context(), Request{
		Address: endpoint.address,
		MaySend: func() bool { return false },
	}, time.Now().Add(10*time.Second))
	require.ErrorIs(t, err, ErrSendNotAllowed)
	require.Equal(t, NotSent, delivery)
	_, _, err = send(t, pool, endpoint.address, "2", true)
	require.NoError(t, err)
	require.EqualValues(t, 1, endpoint.requests.Load())
	require.EqualValues(t, 1, endpoint.connections.Load())
}

// An endpoint that stops anywhere within the head of its response and closes has not answered.
func TestResponseThatEndsInItsHeadIsNoAnswer(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nAttempt: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nAttempt: 1\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		for length := range len(head) {
			if strings.HasSuffix(head[:length], "\r\n\r\n") && !strings.HasPrefix(head, "HTTP/1.1 100") {
				continue
			}
			endpoint := newTestEndpoint(t, func(_ int64, conn *net.TCPConn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, head[:length])
				return false
			})
			_, delivery, err := send(t, newTestPool(), endpoint.address, "1", false)
			require.Error(t, err, "%q", head[:length])
			require.Equal(t, MayHaveRun, delivery, "%q", head[:length])
		}
	}
}
