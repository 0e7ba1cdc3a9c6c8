package mtingress

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// No configuration is known yet, and a caller sends bytes without end: the bounds of this instance hold.
func TestCallerWithoutEndIsRefusedBeforeTheFirstConfiguration(t *testing.T) {
	for name, c := range map[string]struct {
		start, part string
		status      int
	}{
		"header fields": {"GET / HTTP/1.1\r\nHost: a\r\n", "A: b\r\n", http.StatusRequestHeaderFieldsTooLarge},
		// The line is cut at the bound, and what is left of it is no request.
		"first line": {"GET /", "x", http.StatusBadRequest},
		"chunks":     {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n", http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			server := newTestServer(t, Limits{}, func(context.Context, *Call) *Answer {
				t.Error("it is no whole request")
				return nil
			})
			caller := dial(t, server)
			go func() {
				_, err := io.WriteString(caller, c.start)
				for err == nil {
					_, err = io.WriteString(caller, c.part)
				}
			}()
			response, err := http.ReadResponse(caller.reader, nil)
			require.NoError(t, err)
			require.Equal(t, c.status, response.StatusCode)
			_ = caller.Close()
		})
	}
}
