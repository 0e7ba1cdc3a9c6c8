package mtpool_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"

	"github.com/mangotack/mangotack/internal/adapter/mtpool"
	"github.com/mangotack/mangotack/internal/testkit/mtmemorynetwork"
)

// serveHTTP2Frames accepts HTTP/2 connections and calls respond, which writes raw frames, for each request.
func serveHTTP2Frames(listener net.Listener, respond func(framer *http2.Framer, stream uint32)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			preface := make([]byte, len(http2.ClientPreface))
			if _, err := io.ReadFull(conn, preface); err != nil {
				return
			}
			framer := http2.NewFramer(conn, conn)
			_ = framer.WriteSettings()
			for {
				frame, err := framer.ReadFrame()
				if err != nil {
					return
				}
				if headers, ok := frame.(*http2.HeadersFrame); ok {
					respond(framer, headers.StreamID)
				}
			}
		}()
	}
}

// newBufferedConn returns a connection with a write buffer, so that both ends can write at the same time, as on
// sockets.
func newBufferedConn(conn net.Conn) net.Conn {
	writes := make(chan []byte, 256)
	go func() {
		for data := range writes {
			if _, err := conn.Write(data); err != nil {
				return
			}
		}
	}()
	return &bufferedConn{
		Conn:   conn,
		writes: writes,
	}
}

type bufferedConn struct {
	net.Conn
	writes chan []byte
}

func (c *bufferedConn) Write(data []byte) (int, error) {
	c.writes <- bytes.Clone(data)
	return len(data), nil
}

func (c *bufferedConn) Close() error {
	close(c.writes)
	return c.Conn.Close()
}

type bufferedListener struct {
	net.Listener
}

func (l bufferedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newBufferedConn(conn), nil
}

// A call that may have run must not be sent again, so only REFUSED_STREAM and a graceful GOAWAY below the request's
// stream count as unprocessed.
func TestOnlyProvenRefusalsAreUnprocessed(t *testing.T) {
	cases := map[string]struct {
		respond     func(framer *http2.Framer, stream uint32)
		unprocessed bool
	}{
		"REFUSED_STREAM": {
			respond: func(framer *http2.Framer, stream uint32) {
				_ = framer.WriteRSTStream(stream, http2.ErrCodeRefusedStream)
			},
			unprocessed: true,
		},
		"GOAWAY below the stream": {
			respond: func(framer *http2.Framer, _ uint32) {
				_ = framer.WriteGoAway(0, http2.ErrCodeNo, nil)
			},
			unprocessed: true,
		},
		"GOAWAY that includes the stream, then INTERNAL_ERROR": {
			respond: func(framer *http2.Framer, stream uint32) {
				_ = framer.WriteGoAway(stream, http2.ErrCodeNo, nil)
				_ = framer.WriteRSTStream(stream, http2.ErrCodeInternal)
			},
		},
		"INTERNAL_ERROR": {
			respond: func(framer *http2.Framer, stream uint32) {
				_ = framer.WriteRSTStream(stream, http2.ErrCodeInternal)
			},
		},
		"CANCEL": {
			respond: func(framer *http2.Framer, stream uint32) {
				_ = framer.WriteRSTStream(stream, http2.ErrCodeCancel)
			},
		},
		"GOAWAY with an error code, below the connection's first stream": {
			respond: func(framer *http2.Framer, _ uint32) {
				_ = framer.WriteGoAway(0, http2.ErrCodeEnhanceYourCalm, []byte("received from peer"))
			},
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := mtmemorynetwork.NewNetwork()
				listener := network.Listen("endpoint:80")
				defer listener.Close()
				go serveHTTP2Frames(bufferedListener{Listener: listener}, test.respond)
				pool := mtpool.NewPool(network.Dial)
				conn, err := pool.Get(t.Context(), mtpool.Target{
					Address: "endpoint:80",
					H2C:     true,
				}, time.Now())
				require.NoError(t, err)
				_, err = conn.RoundTrip(newRequest(t, http.MethodPost, "7", http.Header{}))
				require.Error(t, err)
				require.Equal(t, test.unprocessed, mtpool.IsUnprocessed(err), "error %q", err)
				conn.Release(false, time.Now())
				time.Sleep(time.Minute)
				pool.CloseIdle(time.Now())
				time.Sleep(time.Minute)
			})
		})
	}
	require.False(t, mtpool.IsUnprocessed(nil))
	require.False(t, mtpool.IsUnprocessed(errors.New("EOF")))
}
