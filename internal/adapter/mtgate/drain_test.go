package mtgate_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtrecord"
	"github.com/mangotack/mangotack/internal/testkit/mtharness"
)

// An endpoint that is marked, gets no new work and shuts down gracefully cuts off nothing, in HTTP/1.1 and HTTP/2.
func TestEndpointThatShutsDownAfterItsMarkCutsOffNothing(t *testing.T) {
	for _, protocol := range []string{mtrecord.HTTP1, mtrecord.H2C} {
		t.Run(protocol, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := mtharness.NewHarness(t)
				h.Service.Protocol = protocol
				late := atomic.Int64{}
				marked := atomic.Int64{}
				work := func(watched bool) http.HandlerFunc {
					return func(to http.ResponseWriter, request *http.Request) {
						// The mark is in force here at once, so not even the grace of 3 s is needed.
						if at := marked.Load(); watched && at > 0 && time.Now().UnixNano() > at {
							late.Add(1)
						}
						_, _ = io.Copy(io.Discard, request.Body)
						time.Sleep(700 * time.Millisecond)
						_, _ = io.WriteString(to, "charged")
					}
				}
				h.ListEndpoint("endpoint-1")
				leaver := h.Serve("endpoint-1", work(true))
				h.AddEndpoint("endpoint-2", work(false))
				entry := h.AddEntry("entry-1")
				var group sync.WaitGroup
				for i := range 40 {
					group.Go(func() {
						time.Sleep(time.Duration(i) * 300 * time.Millisecond)
						result := h.Call(t.Context(), "entry-1", mtharness.Once, "7", mtharness.Keyed(entry.Key(fmt.Sprint(i)))...)
						require.NoError(t, result.Err)
						require.Equal(t, "charged", result.Body)
					})
				}
				time.Sleep(5 * time.Second)
				entry.Mark("endpoint-1")
				marked.Store(time.Now().UnixNano())
				time.Sleep(3 * time.Second)
				require.NoError(t, leaver.Shutdown(t.Context()))
				group.Wait()
				require.Zero(t, late.Load())
			})
		})
	}
}

func TestRedirectsAndInterimAnswersPassWithoutASecondRun(t *testing.T) {
	runs := atomic.Int64{}
	handler := func(to http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		runs.Add(1)
		to.Header().Set("Location", "/"+mtharness.Service+"/Other")
		to.WriteHeader(http.StatusTemporaryRedirect)
	}
	handled(t, mtrecord.HTTP1, 2, handler, func(t *testing.T, h *mtharness.Harness) {
		result := h.Call(t.Context(), "entry-1", mtharness.Once, "7", "Expect", "100-continue")
		require.NoError(t, result.Err)
		require.Equal(t, http.StatusTemporaryRedirect, result.Status)
		require.EqualValues(t, 1, runs.Load())
	})
}
