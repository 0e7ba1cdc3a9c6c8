package mtupstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtexchange"
)

// testReader reads the headers of the test endpoint.
type testReader struct{}

func (testReader) ReadAnswer(_ int, header http.Header) mtexchange.Stated {
	return mtexchange.Stated{
		Attempt: header.Get("Attempt"),
		NotRun:  header.Get("Notrun") != "",
	}
}

// endpoint answers each request on each connection by a script; false ends the connection.
type endpoint struct {
	address string
	conns   atomic.Int64
	seen    atomic.Int64
}

func newEndpoint(t *testing.T, script func(number int64, conn *net.TCPConn, request *http.Request) bool) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	e := &endpoint{
		address: listener.Addr().String(),
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.conns.Add(1)
			go e.serve(conn.(*net.TCPConn), script)
		}
	}()
	return e
}

func (e *endpoint) serve(conn *net.TCPConn, script func(number int64, conn *net.TCPConn, request *http.Request) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || !script(e.seen.Add(1), conn, request) {
			return
		}
	}
}

func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, strings.ReplaceAll(text, "\n", "\r\n"))
	return err == nil
}

func answer(attempt, body string) string {
	return "HTTP/1.1 200 OK\nAttempt: " + attempt + "\nContent-Length: " + string(rune('0'+len(body))) + "\n\n" + body
}

func send(t *testing.T, pool *Pool, address, attempt string, idempotent bool) (*Reply, Fate, error) {
	t.Helper()
	return pool.Send(context.Background(), Order{
		Address:    address,
		Method:     http.MethodGet,
		Target:     "/x%2Fy?q",
		Host:       "a.example",
		Header:     http.Header{},
		Attempt:    attempt,
		Idempotent: idempotent,
	}, time.Now().Add(10*time.Second))
}

func newTestPool() *Pool {
	return NewPool(testReader{}, nil)
}

func TestConnectionIsUsedAgainAfterAWholeAnswer(t *testing.T) {
	e := newEndpoint(t, func(_ int64, conn *net.TCPConn, request *http.Request) bool {
		return request.RequestURI == "/x%2Fy?q" && write(conn, answer("1", "abc"))
	})
	pool := newTestPool()
	for range 3 {
		reply, fate, err := send(t, pool, e.address, "1", true)
		require.NoError(t, err)
		require.Equal(t, Answered, fate)
		require.Equal(t, "abc", string(reply.Body))
	}
	require.EqualValues(t, 1, e.conns.Load())
}

func TestLateAnswerToAnEarlierRequestIsSkipped(t *testing.T) {
	e := newEndpoint(t, func(number int64, conn *net.TCPConn, _ *http.Request) bool {
		if number == 1 {
			return write(conn, answer("1", "one"))
		}
		return write(conn, answer("1", "one")+answer("2", "two"))
	})
	pool := newTestPool()
	_, _, err := send(t, pool, e.address, "1", true)
	require.NoError(t, err)
	reply, _, err := send(t, pool, e.address, "2", false)
	require.NoError(t, err)
	require.Equal(t, "two", string(reply.Body))
}

func TestBytesBehindAnAnswerEndTheConnection(t *testing.T) {
	e := newEndpoint(t, func(number int64, conn *net.TCPConn, _ *http.Request) bool {
		if number == 1 {
			return write(conn, answer("1", "one")+answer("1", "one"))
		}
		return write(conn, answer("2", "two"))
	})
	pool := newTestPool()
	_, _, err := send(t, pool, e.address, "1", true)
	require.NoError(t, err)
	reply, _, err := send(t, pool, e.address, "2", true)
	require.NoError(t, err)
	require.Equal(t, "two", string(reply.Body))
	require.EqualValues(t, 2, e.conns.Load())
}

func TestConnectionThatEndedWhileIdleIsNotUsed(t *testing.T) {
	closed := make(chan struct{})
	e := newEndpoint(t, func(number int64, conn *net.TCPConn, _ *http.Request) bool {
		if !write(conn, answer("1", "one")) {
			return false
		}
		if number == 1 {
			_ = conn.Close()
			close(closed)
		}
		return number > 1
	})
	pool := newTestPool()
	_, _, err := send(t, pool, e.address, "1", false)
	require.NoError(t, err)
	<-closed
	require.Eventually(t, func() bool {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		list := pool.idle[e.address]
		return len(list) == 0 || !list[0].isQuiet()
	}, 10*time.Second, time.Millisecond)
	_, fate, err := send(t, pool, e.address, "1", false)
	require.NoError(t, err)
	require.Equal(t, Answered, fate)
}

func TestAnswersThatAreNotWholeAreLost(t *testing.T) {
	for name, script := range map[string]func(conn *net.TCPConn) bool{
		"cut short": func(conn *net.TCPConn) bool {
			write(conn, "HTTP/1.1 200 OK\nAttempt: 1\nContent-Length: 9\n\nabc")
			return false
		},
		"not an answer": func(conn *net.TCPConn) bool {
			return write(conn, "rubbish\n\n")
		},
		"no answer": func(*net.TCPConn) bool {
			return false
		},
		"without length, reset": func(conn *net.TCPConn) bool {
			write(conn, "HTTP/1.1 200 OK\nAttempt: 1\n\nabc")
			_ = conn.SetLinger(0)
			return false
		},
		"of another request": func(conn *net.TCPConn) bool {
			write(conn, answer("9", "abc"))
			return false
		},
		"chunks cut short": func(conn *net.TCPConn) bool {
			write(conn, "HTTP/1.1 200 OK\nAttempt: 1\nTransfer-Encoding: chunked\n\n3\nabc\n")
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(_ int64, conn *net.TCPConn, _ *http.Request) bool {
				return script(conn)
			})
			_, fate, err := send(t, newTestPool(), e.address, "1", false)
			require.Error(t, err)
			require.Equal(t, Lost, fate, "the request may have run")
		})
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	e := newEndpoint(t, func(_ int64, conn *net.TCPConn, _ *http.Request) bool {
		write(conn, "HTTP/1.1 200 OK\nAttempt: 1\n\nabc")
		return false
	})
	reply, _, err := send(t, newTestPool(), e.address, "1", true)
	require.NoError(t, err)
	require.Equal(t, "abc", string(reply.Body))
}

func TestRequestThatNeverLeftIsUnsent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, fate, err := send(t, newTestPool(), address, "1", false)
	require.Error(t, err)
	require.Equal(t, Unsent, fate)
}

func TestCancelClosesTheConnectionToTheEndpoint(t *testing.T) {
	arrived, left := make(chan struct{}), make(chan struct{})
	e := newEndpoint(t, func(_ int64, conn *net.TCPConn, _ *http.Request) bool {
		close(arrived)
		_, _ = io.Copy(io.Discard, conn)
		close(left)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, fate, err := newTestPool().Send(ctx, Order{
		Address: e.address,
		Method:  http.MethodGet,
		Target:  "/",
		Header:  http.Header{},
	}, time.Now().Add(time.Minute))
	require.Error(t, err)
	require.Equal(t, Lost, fate)
	<-left
}

func TestAnswerBeforeTheEndOfALongBodyEndsTheConnection(t *testing.T) {
	e := newEndpoint(t, func(number int64, conn *net.TCPConn, request *http.Request) bool {
		if request.Method == http.MethodPost {
			write(conn, "HTTP/1.1 413 Too Large\nAttempt: 1\nContent-Length: 0\n\n")
			// The body is left unread; the connection stays open until the other side ends it.
			_, _ = io.Copy(io.Discard, conn)
			return false
		}
		return write(conn, answer("2", "two"))
	})
	pool := newTestPool()
	reply, _, err := pool.Send(context.Background(), Order{
		Address: e.address,
		Method:  http.MethodPost,
		Target:  "/",
		Header:  http.Header{},
		Body:    make([]byte, 32<<20),
		Attempt: "1",
	}, time.Now().Add(time.Minute))
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, reply.Status)
	next, _, err := send(t, pool, e.address, "2", true)
	require.NoError(t, err)
	require.Equal(t, "two", string(next.Body))
	require.EqualValues(t, 2, e.conns.Load())
}

func TestLongAnswerIsHandedOnInParts(t *testing.T) {
	const size = bodyKept + 1000
	e := newEndpoint(t, func(_ int64, conn *net.TCPConn, _ *http.Request) bool {
		return write(conn, "HTTP/1.1 200 OK\nAttempt: 1\nTransfer-Encoding: chunked\n\n") &&
			write(conn, "1003e8\n"+strings.Repeat("x", size)+"\n0\n\n")
	})
	reply, _, err := send(t, newTestPool(), e.address, "1", true)
	require.NoError(t, err)
	require.NotNil(t, reply.Rest)
	rest, err := io.ReadAll(reply.Rest)
	require.NoError(t, err)
	require.NoError(t, reply.Rest.Close())
	require.Equal(t, size, len(reply.Body)+len(rest))
}

func TestLifeOfAConnectionKeepsAwayFromTheTimeoutOfTheEndpoint(t *testing.T) {
	life := func(keepAlive string, closes bool) time.Duration {
		return lifeOf(&http.Response{
			Close:  closes,
			Header: http.Header{"Keep-Alive": {keepAlive}},
		})
	}
	require.Equal(t, 10*time.Second-idleMargin, life("timeout=10, max=100", false))
	require.Equal(t, 500*time.Millisecond, life("timeout=1", false))
	require.Equal(t, idleDefault, life("", false))
	require.Zero(t, life("timeout=10", true))
}

func TestRequestThatMustNotRunTwiceTakesAYoungConnectionOnly(t *testing.T) {
	pool := newTestPool()
	now := time.Unix(1000, 0)
	near, _ := net.Pipe()
	pool.keep(newConn(near, "a"), time.Minute, now)
	require.Nil(t, pool.pop("a", false, now.Add(idleOnce+1)))
	require.NotNil(t, pool.pop("a", true, now.Add(idleOnce+1)))
}

// The deadline of the request before is over when a connection is looked at again.
func TestConnectionWhoseLastDeadlineIsOverIsStillQuiet(t *testing.T) {
	e := newEndpoint(t, func(int64, *net.TCPConn, *http.Request) bool {
		return false
	})
	socket, err := net.Dial("tcp", e.address)
	require.NoError(t, err)
	defer socket.Close()
	require.NoError(t, socket.SetDeadline(time.Now().Add(-time.Second)))
	require.True(t, newConn(socket, e.address).isQuiet())
}

// A refusal without an ID that arrives on a used connection may be the second copy of an earlier one: to a look, which has no ID.
// It must not tell that the next request was not run.
func TestLateRefusalWithoutAnIDIsNotTakenForTheNextOne(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\nNotrun: 1\nContent-Length: 0\n\n"
	e := newEndpoint(t, func(number int64, conn *net.TCPConn, _ *http.Request) bool {
		if number == 1 {
			return write(conn, refusal)
		}
		return write(conn, refusal+answer("2", "two"))
	})
	pool := newTestPool()
	_, err := pool.Look(t.Context(), e.address, "/", nil)
	require.NoError(t, err)
	reply, fate, err := send(t, pool, e.address, "2", false)
	require.NoError(t, err)
	require.Equal(t, Answered, fate)
	require.False(t, reply.Stated.NotRun)
	require.Equal(t, "two", string(reply.Body))
	require.EqualValues(t, 1, e.conns.Load())
}

// An endpoint that does not echo the ID of what it refuses, such as one that took over an address, must not keep the caller waiting
// because the connection has carried a look before.
func TestRefusalWithoutAnIDAfterALookIsTaken(t *testing.T) {
	e := newEndpoint(t, func(number int64, conn *net.TCPConn, _ *http.Request) bool {
		if number == 1 {
			return write(conn, "HTTP/1.1 200 OK\nContent-Length: 0\n\n")
		}
		return write(conn, "HTTP/1.1 503 Service Unavailable\nNotrun: 1\nContent-Length: 0\n\n")
	})
	pool := newTestPool()
	_, err := pool.Look(t.Context(), e.address, "/", nil)
	require.NoError(t, err)
	reply, fate, err := send(t, pool, e.address, "2", false)
	require.NoError(t, err)
	require.Equal(t, Answered, fate)
	require.True(t, reply.Stated.NotRun)
	require.EqualValues(t, 1, e.conns.Load())
}

// On a new connection nothing else can be answered: an endpoint that refuses before it has read the ID has not run the request.
func TestRefusalWithoutAnIDOnANewConnectionIsTaken(t *testing.T) {
	e := newEndpoint(t, func(_ int64, conn *net.TCPConn, _ *http.Request) bool {
		return write(conn, "HTTP/1.1 503 Service Unavailable\nNotrun: 1\nContent-Length: 0\n\n")
	})
	reply, _, err := send(t, newTestPool(), e.address, "1", false)
	require.NoError(t, err)
	require.True(t, reply.Stated.NotRun)
}

// The second copy of an answer comes byte by byte, a part of it before the connection is used again and a part after.
func TestSecondCopyThatArrivesAroundTheReuseIsNobodysAnswer(t *testing.T) {
	copied := strings.ReplaceAll(answer("1", "one"), "\n", "\r\n")
	for early := 0; early <= len(copied); early += 7 {
		sent := make(chan struct{})
		e := newEndpoint(t, func(number int64, conn *net.TCPConn, request *http.Request) bool {
			id := request.Header.Get("Attempt")
			if id == "1" {
				// The caller closes the connection when it sees a part of the copy at once, so the writes may fail.
				defer close(sent)
				if !write(conn, answer("1", "one")) {
					return false
				}
				for i := range early {
					if _, err := io.WriteString(conn, copied[i:i+1]); err != nil {
						return false
					}
				}
				return true
			}
			if number == 2 {
				for i := early; i < len(copied); i++ {
					if _, err := io.WriteString(conn, copied[i:i+1]); err != nil {
						return false
					}
				}
			}
			return write(conn, answer("2", "two"))
		})
		pool := newTestPool()
		order := Order{
			Address: e.address,
			Method:  http.MethodGet,
			Target:  "/",
			Host:    "a.example",
			Header:  http.Header{"Attempt": {"1"}},
			Attempt: "1",
		}
		reply, _, err := pool.Send(t.Context(), order, time.Now().Add(10*time.Second))
		require.NoError(t, err)
		require.Equal(t, "one", string(reply.Body))
		<-sent
		order.Header, order.Attempt = http.Header{"Attempt": {"2"}}, "2"
		reply, fate, err := pool.Send(t.Context(), order, time.Now().Add(10*time.Second))
		if err == nil {
			require.Equal(t, "two", string(reply.Body), "%d bytes before the reuse", early)
		} else {
			require.Equal(t, Lost, fate, "%d bytes before the reuse", early)
		}
	}
}

// An order that is no longer allowed when its connection is open is not sent, and the connection is kept.
func TestWithdrawnOrderIsNotSent(t *testing.T) {
	e := newEndpoint(t, func(_ int64, conn *net.TCPConn, _ *http.Request) bool {
		return write(conn, answer("2", "two"))
	})
	pool := newTestPool()
	_, fate, err := pool.Send(t.Context(), Order{
		Address: e.address,
		Allowed: func() bool { return false },
	}, time.Now().Add(10*time.Second))
	require.ErrorIs(t, err, ErrWithdrawn)
	require.Equal(t, Unsent, fate)
	_, _, err = send(t, pool, e.address, "2", true)
	require.NoError(t, err)
	require.EqualValues(t, 1, e.seen.Load())
	require.EqualValues(t, 1, e.conns.Load())
}
