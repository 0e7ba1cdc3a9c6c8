package mtingress

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

// blockingHandler answers each request once it is released, and counts those that it has begun.
type blockingHandler struct {
	begun    chan string
	released chan struct{}
	cut      atomic.Int64
}

func newBlockingHandler() *blockingHandler {
	return &blockingHandler{
		begun:    make(chan string, 100),
		released: make(chan struct{}),
	}
}

func (h *blockingHandler) handle(ctx context.Context, call *Call) *Response {
	h.begun <- call.Request.RequestURI
	select {
	case <-h.released:
		return echoHandler(ctx, call)
	case <-ctx.Done():
		h.cut.Add(1)
		return nil
	}
}

// receiveAll receives the responses to the given paths in order; only the last one may close the connection.
func (c *testClient) receiveAll(t *testing.T, paths ...string) {
	t.Helper()
	for i, path := range paths {
		response, body := c.receive(t)
		require.Equal(t, path, body)
		require.Equal(t, i == len(paths)-1, response.Close, path)
	}
	_, err := c.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// Requests that callers have sent together all run when the instance is told to stop.
func TestStopAnswersAllRequestsThatRunOnAConnection(t *testing.T) {
	handler := newBlockingHandler()
	server := newTestServer(t, Limits{}, handler.handle)
	c := dial(t, server)
	c.send(t, "GET /1 HTTP/1.1\nHost: a\n\nGET /2 HTTP/1.1\nHost: a\n\nGET /3 HTTP/1.1\nHost: a\n\n")
	for range 3 {
		<-handler.begun
	}
	server.DisableKeepAlive()
	close(handler.released)
	c.receiveAll(t, "/1", "/2", "/3")
	require.Zero(t, handler.cut.Load())
}

// A request is sent behind a running one after the instance was told to stop.
func TestStopAnswersRequestSentBehindRunningOne(t *testing.T) {
	handler := newBlockingHandler()
	server := newTestServer(t, Limits{}, handler.handle)
	c := dial(t, server)
	c.send(t, "GET /1 HTTP/1.1\nHost: a\n\n")
	<-handler.begun
	server.DisableKeepAlive()
	c.send(t, "GET /2 HTTP/1.1\nHost: a\n\n")
	<-handler.begun
	close(handler.released)
	c.receiveAll(t, "/1", "/2")
	require.Zero(t, handler.cut.Load())
}

// Once a server no longer accepts connections, it takes no further request on those that are open.
func TestClosedServerTakesNoRequestBehindRunningOne(t *testing.T) {
	handler := newBlockingHandler()
	server := newTestServer(t, Limits{}, handler.handle)
	c := dial(t, server)
	c.send(t, "GET /1 HTTP/1.1\nHost: a\n\n")
	<-handler.begun
	server.DisableKeepAlive()
	server.Close(time.Now().Add(time.Minute))
	c.send(t, "GET /2 HTTP/1.1\nHost: a\n\n")
	// The bytes are read before the end of the connection, so waiting for it to be idle is not needed.
	time.Sleep(50 * time.Millisecond)
	close(handler.released)
	c.receiveAll(t, "/1")
	require.Empty(t, handler.begun)
}

// The caller leaves while the closed server waits for the endpoint.
func TestClosedServerNoticesThatCallerLeaves(t *testing.T) {
	handler := newBlockingHandler()
	server := newTestServer(t, Limits{}, handler.handle)
	c := dial(t, server)
	c.send(t, "GET /1 HTTP/1.1\nHost: a\n\n")
	<-handler.begun
	server.DisableKeepAlive()
	server.Close(time.Now().Add(time.Minute))
	require.NoError(t, c.Close())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	server.Wait(ctx)
	require.NoError(t, ctx.Err())
	require.EqualValues(t, 1, handler.cut.Load())
}

// A request that has begun to arrive when the server stops accepting is read to its end.
func TestClosedServerReadsRequestThatHasBegun(t *testing.T) {
	for name, parts := range map[string][2]string{
		"request line": {"GET /1 HT", "TP/1.1\nHost: a\n\n"},
		"header":       {"GET /1 HTTP/1.1\nHo", "st: a\n\n"},
		"body":         {"POST /1 HTTP/1.1\nHost: a\nContent-Length: 4\n\nab", "cd"},
	} {
		t.Run(name, func(t *testing.T) {
			server := newTestServer(t, Limits{}, echoHandler)
			c := dial(t, server)
			c.send(t, "GET /0 HTTP/1.1\nHost: a\n\n")
			c.receive(t)
			c.send(t, parts[0])
			awaitReading(t, server)
			server.DisableKeepAlive()
			server.Close(time.Now().Add(time.Minute))
			c.send(t, parts[1])
			response, body := c.receive(t)
			require.Equal(t, http.StatusOK, response.StatusCode, body)
			require.True(t, response.Close)
		})
	}
}

// A request that is not complete in time was not bad: its caller learns that it was too slow, or that the instance ends.
func TestRequestThatIsNotCompleteInTimeIsNotCalledBad(t *testing.T) {
	for name, part := range map[string]string{
		"request line": "GET /1 HT",
		"header":       "GET /1 HTTP/1.1\nHo",
		"body":         "POST /1 HTTP/1.1\nHost: a\nContent-Length: 4\n\nab",
	} {
		t.Run(name, func(t *testing.T) {
			slow := dial(t, newTestServer(t, Limits{HeaderTime: 20 * time.Millisecond}, echoHandler))
			slow.send(t, part)
			response, _ := slow.receive(t)
			require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
			require.True(t, response.Close)

			server := newTestServer(t, Limits{}, echoHandler)
			cut := dial(t, server)
			cut.send(t, part)
			awaitReading(t, server)
			server.Close(time.Now().Add(20 * time.Millisecond))
			response, _ = cut.receive(t)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.Equal(t, reasonLeaving, response.Header.Get(mtoutcome.ReasonHeader))
			require.True(t, response.Close)
		})
	}
}

// awaitReading waits until a connection of the server has received the start of a request.
func awaitReading(t *testing.T, server *Server) {
	t.Helper()
	require.Eventually(t, func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		for connection := range server.connections {
			connection.mu.Lock()
			reading := connection.reading
			connection.mu.Unlock()
			if reading {
				return true
			}
		}
		return false
	}, time.Minute, time.Millisecond)
}

// The caller says that its request is the last one on the connection; what follows must not run.
func TestRequestBehindCallersOwnConnectionCloseIsNotTaken(t *testing.T) {
	handler := newBlockingHandler()
	server := newTestServer(t, Limits{}, handler.handle)
	c := dial(t, server)
	c.send(t, "GET /1 HTTP/1.1\nHost: a\nConnection: close\n\nGET /2 HTTP/1.1\nHost: a\n\n")
	<-handler.begun
	time.Sleep(50 * time.Millisecond)
	close(handler.released)
	c.receiveAll(t, "/1")
	require.Empty(t, handler.begun)
}

// A request that can't be read is refused after the answers to those before it.
func TestBadRequestBehindRunningOnesDoesNotCutThem(t *testing.T) {
	handler := newBlockingHandler()
	server := newTestServer(t, Limits{}, handler.handle)
	c := dial(t, server)
	c.send(t, "GET /1 HTTP/1.1\nHost: a\n\nGET /2 HTTP/1.1\nHost: a\n\nrubbish\n\n")
	<-handler.begun
	<-handler.begun
	close(handler.released)
	for _, path := range []string{"/1", "/2"} {
		_, body := c.receive(t)
		require.Equal(t, path, body)
	}
	response, _ := c.receive(t)
	require.Equal(t, http.StatusBadRequest, response.StatusCode)
}

// A body that arrives slowly is bounded by the time for a request, not by the time for an idle connection.
func TestAnswerDoesNotShortenTimeOfRequestThatIsRead(t *testing.T) {
	handler := newBlockingHandler()
	server := newTestServer(t, Limits{Idle: time.Second, HeaderTime: time.Minute}, handler.handle)
	c := dial(t, server)
	c.send(t, "GET /1 HTTP/1.1\nHost: a\n\nPOST /2 HTTP/1.1\nHost: a\nContent-Length: 4\n\nab")
	<-handler.begun
	awaitReading(t, server)
	close(handler.released)
	_, body := c.receive(t)
	require.Equal(t, "/1", body)
	time.Sleep(1500 * time.Millisecond)
	c.send(t, "cd")
	_, body = c.receive(t)
	require.Equal(t, "/2abcd", body)
}
