package mtingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

type handlerFunc func(ctx context.Context, call *Call) *Answer

func (f handlerFunc) Handle(ctx context.Context, call *Call) *Answer {
	return f(ctx, call)
}

func newTestServer(t *testing.T, limits Limits, handle handlerFunc) *Server {
	t.Helper()
	server, err := NewServer("127.0.0.1:0", handle, func() Limits { return limits })
	require.NoError(t, err)
	go server.Serve(unexpected(t))
	t.Cleanup(server.Close)
	return server
}

// unexpected fails the test at a failed accept.
func unexpected(t *testing.T) func(error) {
	return func(err error) {
		t.Errorf("accept: %v", err)
	}
}

type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, server *Server) *client {
	t.Helper()
	conn, err := net.Dial("tcp", server.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &client{
		Conn:   conn,
		reader: bufio.NewReader(conn),
	}
}

func (c *client) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
	require.NoError(t, err)
}

func (c *client) receive(t *testing.T) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(body)
}

func echo(_ context.Context, call *Call) *Answer {
	return NewAnswer(http.StatusOK, http.Header{}, []byte(call.Request.RequestURI+string(call.Body)))
}

func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	second := make(chan struct{})
	server := newTestServer(t, Limits{}, func(ctx context.Context, call *Call) *Answer {
		if call.Request.RequestURI == "/1" {
			// The first answer is ready only after the second.
			<-second
		} else {
			close(second)
		}
		return echo(ctx, call)
	})
	c := dial(t, server)
	c.send(t, "GET /1 HTTP/1.1\nHost: a\n\nGET /2 HTTP/1.1\nHost: a\n\n")
	_, body := c.receive(t)
	require.Equal(t, "/1", body)
	_, body = c.receive(t)
	require.Equal(t, "/2", body)
}

func TestBodiesWithLengthAndInChunksAreReadWhole(t *testing.T) {
	c := dial(t, newTestServer(t, Limits{}, echo))
	c.send(t, "POST /1 HTTP/1.1\nHost: a\nContent-Length: 3\n\nabc")
	_, body := c.receive(t)
	require.Equal(t, "/1abc", body)
	c.send(t, "POST /2 HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\n3\nabc\n2\nde\n0\n\n")
	_, body = c.receive(t)
	require.Equal(t, "/2abcde", body)
	c.send(t, "POST /3 HTTP/1.1\nHost: a\nContent-Length: 3\nExpect: 100-continue\n\n")
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusContinue, response.StatusCode)
	c.send(t, "abc")
	_, body = c.receive(t)
	require.Equal(t, "/3abc", body)
}

func TestCallerThatLeavesCancelsItsRequests(t *testing.T) {
	arrived, cancelled := make(chan struct{}), make(chan struct{})
	server := newTestServer(t, Limits{}, func(ctx context.Context, _ *Call) *Answer {
		close(arrived)
		<-ctx.Done()
		close(cancelled)
		return nil
	})
	c := dial(t, server)
	c.send(t, "GET /1 HTTP/1.1\nHost: a\n\n")
	<-arrived
	require.NoError(t, c.Close())
	<-cancelled
}

func TestRequestsBeyondTheLimitsAreRefused(t *testing.T) {
	limits := Limits{
		Header: 16 << 10,
		Body:   10,
	}
	for text, status := range map[string]int{
		"GET / HTTP/1.1\nHost: a\nLong: " + strings.Repeat("x", 40<<10) + "\n\n":        http.StatusRequestHeaderFieldsTooLarge,
		"POST / HTTP/1.1\nHost: a\nContent-Length: 11\n\nabcdefghijk":                   http.StatusRequestEntityTooLarge,
		"POST / HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\nb\nabcdefghijk\n0\n\n": http.StatusRequestEntityTooLarge,
		"rubbish\n\n": http.StatusBadRequest,
	} {
		c := dial(t, newTestServer(t, limits, echo))
		c.send(t, text)
		response, _ := c.receive(t)
		require.Equal(t, status, response.StatusCode)
		require.True(t, response.Close)
	}
}

func TestAnswerThatIsCutIsNeverComplete(t *testing.T) {
	server := newTestServer(t, Limits{}, func(_ context.Context, _ *Call) *Answer {
		answer := NewAnswer(http.StatusOK, http.Header{}, []byte("abc"))
		answer.Length = -1
		answer.Rest = io.NopCloser(io.MultiReader(strings.NewReader("def"), failing{}))
		return answer
	})
	c := dial(t, server)
	c.send(t, "GET / HTTP/1.1\nHost: a\n\n")
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.Error(t, err)
	require.Equal(t, "abcdef", string(body))
}

type failing struct{}

func (failing) Read([]byte) (int, error) {
	return 0, fmt.Errorf("the endpoint broke off")
}

func TestHandlerThatGivesNoAnswerCutsTheConnection(t *testing.T) {
	c := dial(t, newTestServer(t, Limits{}, func(context.Context, *Call) *Answer {
		return nil
	}))
	c.send(t, "GET / HTTP/1.1\nHost: a\n\n")
	_, err := c.reader.ReadByte()
	require.Error(t, err)
}

func TestLeavingServerFinishesWhatItHasReadAndSaysClose(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	server := newTestServer(t, Limits{}, func(ctx context.Context, call *Call) *Answer {
		if call.Request.URL.Path == "/1" {
			close(arrived)
			<-release
		}
		return echo(ctx, call)
	})
	busy, idle := dial(t, server), dial(t, server)
	// The kernel resets connections that the server has not accepted yet when it stops listening.
	idle.send(t, "GET /0 HTTP/1.1\nHost: a\n\n")
	idle.receive(t)
	busy.send(t, "GET /1 HTTP/1.1\nHost: a\n\n")
	<-arrived
	server.Leave()
	server.Close()
	_, err := idle.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF, "a connection without a request is closed")
	close(release)
	response, body := busy.receive(t)
	require.Equal(t, "/1", body)
	require.True(t, response.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	server.Wait(ctx)
	require.NoError(t, ctx.Err())
	require.Zero(t, server.Open())
}

func TestRequestsBehindAnAnswerThatClosesAreNotAnswered(t *testing.T) {
	server := newTestServer(t, Limits{}, func(ctx context.Context, call *Call) *Answer {
		<-call.Prior
		if ctx.Err() != nil {
			return nil
		}
		return echo(ctx, call)
	})
	server.Leave()
	c := dial(t, server)
	c.send(t, "GET /1 HTTP/1.1\nHost: a\n\nGET /2 HTTP/1.1\nHost: a\n\n")
	_, body := c.receive(t)
	require.Equal(t, "/1", body)
	_, err := c.reader.ReadByte()
	require.Error(t, err)
}

func TestAnswerToHeadKeepsTheLengthOfTheEndpoint(t *testing.T) {
	c := dial(t, newTestServer(t, Limits{}, func(context.Context, *Call) *Answer {
		return NewAnswer(http.StatusOK, http.Header{"Content-Length": {"7"}}, nil)
	}))
	c.send(t, "HEAD / HTTP/1.1\nHost: a\n\n")
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodHead})
	require.NoError(t, err)
	require.EqualValues(t, 7, response.ContentLength)
}

// lateListener accepts one connection only after it has been closed, as the kernel may.
type lateListener struct {
	conn   net.Conn
	closed chan struct{}
	given  bool
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closed
	if l.given {
		return nil, net.ErrClosed
	}
	l.given = true
	return l.conn, nil
}

func (l *lateListener) Close() error {
	close(l.closed)
	return nil
}

func (l *lateListener) Addr() net.Addr {
	return &net.TCPAddr{}
}

func TestConnectionAcceptedWhileTheServerClosesIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		server := newServer(&lateListener{
			conn:   far,
			closed: make(chan struct{}),
		}, handlerFunc(echo), func() Limits { return Limits{} })
		go server.Serve(unexpected(t))
		server.Close()
		_, err := near.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		server.Wait(t.Context())
	})
}

// The race detector reports an accept that is not ordered with the wait for the connections.
func TestWaitingForConnectionsWhileOneArrives(t *testing.T) {
	for range 2000 {
		near, far := net.Pipe()
		require.NoError(t, near.Close())
		server := newServer(&lateListener{
			conn:   far,
			closed: make(chan struct{}),
		}, handlerFunc(echo), func() Limits { return Limits{} })
		ended := make(chan struct{})
		go func() {
			server.Serve(unexpected(t))
			close(ended)
		}()
		server.Close()
		server.Wait(t.Context())
		<-ended
	}
}

// scarceListener fails or accepts as told, then is closed.
type scarceListener struct {
	lateListener
	accepts []bool
}

func (l *scarceListener) Accept() (net.Conn, error) {
	if len(l.accepts) == 0 {
		return nil, net.ErrClosed
	}
	accepts := l.accepts[0]
	l.accepts = l.accepts[1:]
	if !accepts {
		return nil, syscall.EMFILE
	}
	near, far := net.Pipe()
	return far, near.Close()
}

func TestLackOfDescriptorsIsReportedOnceAndAcceptingGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newServer(&scarceListener{
			accepts: []bool{false, false, false, true, false, false, true},
		}, handlerFunc(echo), func() Limits { return Limits{} })
		var reported []error
		server.Serve(func(err error) {
			reported = append(reported, err)
		})
		require.Equal(t, []error{syscall.EMFILE, syscall.EMFILE}, reported)
		server.group.Wait()
	})
}
