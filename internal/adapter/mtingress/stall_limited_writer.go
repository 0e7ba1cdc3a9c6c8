package mtingress

import (
	"errors"
	"net"
	"os"
	"time"
)

// writeTimeout bounds how long a caller may take no byte of a response.
const writeTimeout = 10 * time.Second

// stallLimitedWriter writes to a connection as long as the caller takes bytes. A write that makes no progress for
// writeTimeout fails; a long response over a slow link does not.
type stallLimitedWriter struct {
	conn net.Conn
}

// Write implements io.Writer.
func (w *stallLimitedWriter) Write(p []byte) (int, error) {
	written := 0
	for {
		_ = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := w.conn.Write(p[written:])
		written += n
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
	}
}

// writeBuffers writes several slices by one system call if the socket takes them.
func (w *stallLimitedWriter) writeBuffers(buffers net.Buffers) error {
	for {
		_ = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := buffers.WriteTo(w.conn)
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
	}
}
