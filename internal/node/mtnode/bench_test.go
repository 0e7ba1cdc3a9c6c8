package mtnode_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/testkit/mtcluster"
)

// BenchmarkCall measures a call to an endpoint over loopback, directly and through an entry instance. The caller, the
// entry instance and the endpoint run in the same process.
func BenchmarkCall(b *testing.B) {
	site := mtcluster.NewCluster(b)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(writer, "answer")
	}))
	b.Cleanup(server.Close)
	site.RegisterEndpoint("deposit-1", depositService, strings.TrimPrefix(server.URL, "http://"))
	site.AddInstance("entry-1")
	site.Publish(depositRecords()...)
	for name, address := range map[string]string{
		"direct":  strings.TrimPrefix(server.URL, "http://"),
		"proxied": site.Instances[0].CallsAddress,
	} {
		b.Run(name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
			call := func() int {
				request, err := http.NewRequest(
					http.MethodPost, "http://"+address+"/"+depositService+"/Charge", bytes.NewReader([]byte("7")))
				require.NoError(b, err)
				request.Header.Set("Authorization", "Bearer "+teamToken)
				response, err := client.Do(request)
				require.NoError(b, err)
				defer response.Body.Close()
				_, _ = io.Copy(io.Discard, response.Body)
				return response.StatusCode
			}
			site.Eventually(func() bool { return call() == http.StatusOK }, "an answer")
			b.ReportAllocs()
			b.RunParallel(func(parallel *testing.PB) {
				for parallel.Next() {
					call()
				}
			})
		})
	}
}
