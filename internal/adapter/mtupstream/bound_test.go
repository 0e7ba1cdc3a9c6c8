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

// smallest is the memory of the smallest instance of the users, in bytes; an answer without end may cost a twentieth of it, which
// the endless answer of a whole service at once may not exceed together.
const smallest = 184 << 20

// endless sends a start, then a part again and again until the other side closes; sent counts the bytes.
func endless(sent *atomic.Int64, start, part string) func(int64, *net.TCPConn, *http.Request) bool {
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

// Bytes that are no answer come without end. The connection is closed and the request counts as lost, long before its deadline,
// and the instance hardly needs memory.
func TestAnswerWithoutEndIsBounded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt: 1\r\n"
	for name, c := range map[string]struct {
		start, part string
	}{
		"status line":              {"HTTP/1.1 200 O", "K"},
		"no line at all":           {"", "x"},
		"header line":              {head + "A: ", "b"},
		"header fields":            {head, "A: b\r\n"},
		"empty header fields":      {head, "a:\r\n"},
		"interim answers":          {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"chunk extension":          {head + "Transfer-Encoding: chunked\r\n\r\n3;", "x"},
		"chunk extensions":         {head + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 1000) + "\r\na\r\n"},
		"trailers":                 {head + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "A: b\r\n"},
		"answer to an earlier one": {"HTTP/1.1 200 OK\r\nAttempt: 0\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		"answers to earlier ones":  {"", "HTTP/1.1 200 OK\r\nAttempt: 0\r\nContent-Length: 1\r\n\r\na"},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			e := newEndpoint(t, endless(&sent, c.start, c.part))
			before := allocated()
			_, fate, err := send(t, newTestPool(), e.address, "1", true)
			require.Error(t, err)
			require.Equal(t, Lost, fate)
			require.Less(t, allocated()-before, uint64(smallest/20))
			require.Less(t, sent.Load(), int64(smallest/20), "it was not read on")
		})
	}
}

func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

// A body without end is passed on while its caller reads, in little memory, and read no further when the caller has left.
func TestBodyWithoutEndIsNotKept(t *testing.T) {
	var sent atomic.Int64
	e := newEndpoint(t, endless(&sent, "HTTP/1.1 200 OK\r\nAttempt: 1\r\n\r\n", "x"))
	reply, fate, err := send(t, newTestPool(), e.address, "1", true)
	require.NoError(t, err)
	require.Equal(t, Answered, fate)
	require.NotNil(t, reply.Rest)
	require.LessOrEqual(t, len(reply.Body), bodyKept)
	require.NoError(t, reply.Rest.Close())
}

// Endless answers to looks must not be read for as long as a look may take.
func TestLookReadsLittle(t *testing.T) {
	var sent atomic.Int64
	e := newEndpoint(t, endless(&sent, "HTTP/1.1 200 OK\r\n\r\n", "x"))
	before := allocated()
	_, err := newTestPool().Look(t.Context(), e.address, "/", nil)
	require.NoError(t, err)
	require.Less(t, allocated()-before, uint64(smallest/20))
}

// Many endpoints send long bodies at once: those that are held in memory stay below a sixth of the smallest instance's, and the
// others are passed on as they come.
func TestLongBodiesHeldAreBounded(t *testing.T) {
	kept := &keptBytes{}
	held := 0
	var bodies [][]byte
	for range 200 {
		body, whole, err := kept.readBody(&http.Response{
			Body: io.NopCloser(strings.NewReader(strings.Repeat("x", bodyKept-1))),
		}, bodyKept)
		require.NoError(t, err)
		if whole {
			held++
		}
		bodies = append(bodies, body)
	}
	require.LessOrEqual(t, kept.count.Load(), int64(keptMost))
	require.Less(t, held*bodyKept, smallest/5)
	require.Greater(t, held, 10)
	runtime.KeepAlive(bodies)
	bodies = nil
	require.Eventually(t, func() bool {
		runtime.GC()
		return kept.count.Load() == 0
	}, 10*time.Second, time.Millisecond, "the memory is free again")
}

func FuzzHeadsAndChunks(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nAttempt: 0\r\nContent-Length: 99999999999999999999\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		ours, theirs := net.Pipe()
		go func() {
			_, _ = theirs.Write(text)
			_ = theirs.Close()
		}()
		defer ours.Close()
		pool := newTestPool()
		c := newConn(ours, "")
		response, stated, err := pool.receive(c, Order{Attempt: "1"})
		if err != nil {
			return
		}
		reply, _, err := pool.collect(t.Context(), c, Order{}, response, stated, func() bool { return false })
		if err == nil && reply.Rest == nil && response.ContentLength > 0 {
			require.Len(t, reply.Body, int(response.ContentLength), "a body that breaks off is no answer")
		}
	})
}
