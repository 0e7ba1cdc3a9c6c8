package mtingress

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A caller sends an endless request before the instance has its first configuration: the default limits must apply.
func TestEndlessRequestIsRefusedByDefaultLimits(t *testing.T) {
	for name, test := range map[string]struct {
		start, part string
		status      int
	}{
		"header fields": {"GET / HTTP/1.1\r\nHost: a\r\n", "A: b\r\n", http.StatusRequestHeaderFieldsTooLarge},
		// The line is truncated at the limit and no longer parses as a request line.
		"first line": {"GET /", "x", http.StatusBadRequest},
		"chunks": {
			"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
			"400\r\n" + strings.Repeat("x", 1024) + "\r\n",
			http.StatusRequestEntityTooLarge,
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := newTestServer(t, Limits{}, func(context.Context, *Call) *Response {
				t.Error("handler called for an incomplete request")
				return nil
			})
			client := dial(t, server)
			go func() {
				_, err := io.WriteString(client, test.start)
				for err == nil {
					_, err = io.WriteString(client, test.part)
				}
			}()
			response, err := http.ReadResponse(client.reader, nil)
			require.NoError(t, err)
			require.Equal(t, test.status, response.StatusCode)
			_ = client.Close()
		})
	}
}
