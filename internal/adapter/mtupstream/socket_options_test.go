package mtupstream

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h.
const tcpUserTimeout = 0x12

// A user timeout would also decide when keep-alive probes give up, so that a connection could end sooner or later than
// the times in docs/PLATFORM.md.
func TestConnectionsHaveNeitherUserTimeoutNorKeepAlive(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	pool := NewPool(nil, nil)
	c, err := pool.acquire(context.Background(), Request{
		Address: listener.Addr().String(),
	}, time.Now())
	require.NoError(t, err)
	t.Cleanup(c.close)
	raw, err := c.socket.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		for name, option := range map[string][2]int{
			"TCP_USER_TIMEOUT": {syscall.IPPROTO_TCP, tcpUserTimeout},
			"SO_KEEPALIVE":     {syscall.SOL_SOCKET, syscall.SO_KEEPALIVE},
		} {
			value, err := syscall.GetsockoptInt(int(fd), option[0], option[1])
			require.NoError(t, err)
			require.Zero(t, value, name)
		}
	}))
}
