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
	"github.com/mangotack/mangotack/internal/testkit/mtmemory"
)

// serveH2 reads one request on each connection and answers it with raw frames.
func serveH2(listener net.Listener, answer func(framer *http2.Framer, stream uint32)) {
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
					answer(framer, headers.StreamID)
				}
			}
		}()
	}
}

// bufferedPipe lets both ends of a connection write at the same moment, as sockets do.
func bufferedPipe(conn net.Conn) net.Conn {
	queue := make(chan []byte, 256)
	go func() {
		for data := range queue {
			if _, err := conn.Write(data); err != nil {
				return
			}
		}
	}()
	return &bufferedConn{
		Conn:  conn,
		queue: queue,
	}
}

type bufferedConn struct {
	net.Conn
	queue chan []byte
}

func (c *bufferedConn) Write(data []byte) (int, error) {
	c.queue <- bytes.Clone(data)
	return len(data), nil
}

func (c *bufferedConn) Close() error {
	close(c.queue)
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
	return bufferedPipe(conn), nil
}

func TestOnlyProofsOfRefusalCountAsRefused(t *testing.T) {
	cases := map[string]struct {
		answer  func(framer *http2.Framer, stream uint32)
		refused bool
	}{
		"REFUSED_STREAM": {
			answer: func(framer *http2.Framer, stream uint32) {
				_ = framer.WriteRSTStream(stream, http2.ErrCodeRefusedStream)
			},
			refused: true,
		},
		"GOAWAY below the stream": {
			answer: func(framer *http2.Framer, _ uint32) {
				_ = framer.WriteGoAway(0, http2.ErrCodeNo, nil)
			},
			refused: true,
		},
		"GOAWAY that includes the stream, then nothing": {
			answer: func(framer *http2.Framer, stream uint32) {
				_ = framer.WriteGoAway(stream, http2.ErrCodeNo, nil)
				_ = framer.WriteRSTStream(stream, http2.ErrCodeInternal)
			},
		},
		"INTERNAL_ERROR": {
			answer: func(framer *http2.Framer, stream uint32) {
				_ = framer.WriteRSTStream(stream, http2.ErrCodeInternal)
			},
		},
		"CANCEL": {
			answer: func(framer *http2.Framer, stream uint32) {
				_ = framer.WriteRSTStream(stream, http2.ErrCodeCancel)
			},
		},
		"GOAWAY with an error below the stream, after the connection's first": {
			answer: func(framer *http2.Framer, _ uint32) {
				_ = framer.WriteGoAway(0, http2.ErrCodeEnhanceYourCalm, []byte("received from peer"))
			},
		},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := mtmemory.NewNetwork()
				listener := network.Listen("endpoint:80")
				defer listener.Close()
				go serveH2(bufferedListener{Listener: listener}, one.answer)
				pool := mtpool.NewPool(network.Dial)
				conn, err := pool.Get(t.Context(), mtpool.Target{
					Address: "endpoint:80",
					H2C:     true,
				}, time.Now())
				require.NoError(t, err)
				_, err = conn.RoundTrip(newRequest(t, http.MethodPost, "7", http.Header{}))
				require.Error(t, err)
				require.Equal(t, one.refused, mtpool.IsRefused(err), "error %q", err)
				conn.Release(false, time.Now())
				time.Sleep(time.Minute)
				pool.Sweep(time.Now())
				time.Sleep(time.Minute)
			})
		})
	}
	require.False(t, mtpool.IsRefused(nil))
	require.False(t, mtpool.IsRefused(errors.New("EOF")))
}
