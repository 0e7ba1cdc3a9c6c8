package mtupstream

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// minInstanceMemoryBytes is the memory of the smallest instance that users run. An endless response may cost a
// twentieth of it, so that endless responses from all endpoints of a service at once stay within memory.
const minInstanceMemoryBytes = 184 << 20

// endlessResponse returns a script that sends start, then part repeatedly until the client closes. It adds the bytes
// sent for part to sent.
func endlessResponse(sent *atomic.Int64, start, part string) func(int64, *net.TCPConn, *http.Request) bool {
	return func(_ int64, conn *net.TCPConn, _ *http.Request) bool {
		if _, err := io.WriteString(conn, start); err != nil {
			return false
		}
		parts := strings.Repeat(part, 1+(16<<10)/len(part))
		for {
			n, err := io.WriteString(conn, parts)
			sent.Add(int64(n))
			if err != nil {
				return false
			}
		}
	}
}

// An endpoint sends bytes without end that form no complete response. The connection must be closed and the request
// count as MayHaveRun long before its deadline, with little memory allocated.
func TestEndlessResponseIsBounded(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nAttempt: 1\r\n"
	for name, c := range map[string]struct {
		start, part string
	}{
		"status line":         {"HTTP/1.1 200 O", "K"},
		"no line end":         {"", "x"},
		"header line":         {header + "A: ", "b"},
		"header fields":       {header, "A: b\r\n"},
		"empty header fields": {header, "a:\r\n"},
		"interim responses":   {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"chunk extension":     {header + "Transfer-Encoding: chunked\r\n\r\n3;", "x"},
		"chunk extensions": {
			header + "Transfer-Encoding: chunked\r\n\r\n",
			"1;" + strings.Repeat("x", 1000) + "\r\na\r\n",
		},
		"trailers": {header + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "A: b\r\n"},
		"response to an earlier request": {
			"HTTP/1.1 200 OK\r\nAttempt: 0\r\nTransfer-Encoding: chunked\r\n\r\n",
			"400\r\n" + strings.Repeat("x", 1024) + "\r\n",
		},
		"responses to earlier requests": {"", "HTTP/1.1 200 OK\r\nAttempt: 0\r\nContent-Length: 1\r\n\r\na"},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			endpoint := newTestEndpoint(t, endlessResponse(&sent, c.start, c.part))
			before := allocatedBytes()
			_, delivery, err := send(t, newTestPool(), endpoint.address, "1", true)
			require.Error(t, err)
			require.Equal(t, MayHaveRun, delivery)
			require.Less(t, allocatedBytes()-before, uint64(minInstanceMemoryBytes/20))
			require.Less(t, sent.Load(), int64(minInstanceMemoryBytes/20), "reading must stop at the limit")
		})
	}
}

func allocatedBytes() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

// An endless body is streamed in little memory while the caller reads, and no longer read once the caller closes it.
func TestEndlessBodyIsNotBuffered(t *testing.T) {
	var sent atomic.Int64
	endpoint := newTestEndpoint(t, endlessResponse(&sent, "HTTP/1.1 200 OK\r\nAttempt: 1\r\n\r\n", "x"))
	reply, delivery, err := send(t, newTestPool(), endpoint.address, "1", true)
	require.NoError(t, err)
	require.Equal(t, Answered, delivery)
	require.NotNil(t, reply.Remainder)
	require.LessOrEqual(t, len(reply.Body), maxBufferedBodyBytes)
	require.NoError(t, reply.Remainder.Close())
}

// An endless response to a probe must not be read until the probe times out.
func TestProbeReadsBoundedBody(t *testing.T) {
	var sent atomic.Int64
	endpoint := newTestEndpoint(t, endlessResponse(&sent, "HTTP/1.1 200 OK\r\n\r\n", "x"))
	before := allocatedBytes()
	_, err := newTestPool().Probe(t.Context(), endpoint.address, "/", nil)
	require.NoError(t, err)
	require.Less(t, allocatedBytes()-before, uint64(minInstanceMemoryBytes/20))
}

// Many endpoints send long bodies at once: the buffered ones must stay below a sixth of the memory of the smallest
// instance, and the others are streamed.
func TestBufferedLongBodiesAreBounded(t *testing.T) {
	budget := &bufferBudget{}
	buffered := 0
	var bodies [][]byte
	for range 200 {
		body, complete, err := budget.readBody(&http.Response{
			Body: io.NopCloser(strings.NewReader(strings.Repeat("x", maxBufferedBodyBytes-1))),
		}, maxBufferedBodyBytes)
		require.NoError(t, err)
		if complete {
			buffered++
		}
		bodies = append(bodies, body)
	}
	require.LessOrEqual(t, budget.used.Load(), int64(maxTotalBufferedBytes))
	require.Less(t, buffered*maxBufferedBodyBytes, minInstanceMemoryBytes/5)
	require.Greater(t, buffered, 10)
	runtime.KeepAlive(bodies)
	bodies = nil
	require.Eventually(t, func() bool {
		runtime.GC()
		return budget.used.Load() == 0
	}, 10*time.Second, time.Millisecond, "reserved memory must be released")
}

func FuzzHeadersAndChunks(f *testing.F) {
	f.Add([]byte(
		"HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nAttempt: 0\r\nContent-Length: 99999999999999999999\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		client, server := net.Pipe()
		go func() {
			_, _ = server.Write(data)
			_ = server.Close()
		}()
		defer client.Close()
		pool := newTestPool()
		c := newConn(client, "")
		response, metadata, err := pool.readHeader(c, Request{AttemptID: "1"})
		if err != nil {
			return
		}
		reply, _, err := pool.readBody(t.Context(), c, Request{}, response, metadata, func() bool { return false })
		if err == nil && reply.Remainder == nil && response.ContentLength > 0 {
			require.Len(t, reply.Body, int(response.ContentLength), "truncated body returned as complete")
		}
	})
}
