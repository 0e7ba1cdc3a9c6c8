package mtingress

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
	server.Close()
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
	server.Close()
	require.NoError(t, c.Close())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	server.Wait(ctx)
	require.NoError(t, ctx.Err())
	require.EqualValues(t, 1, handler.cut.Load())
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
