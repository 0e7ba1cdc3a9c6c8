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

// An endpoint that is marked as leaving must receive no new calls, so that its graceful shutdown interrupts none, over
// HTTP/1.1 and HTTP/2.
func TestShutdownAfterALeavingMarkInterruptsNoCall(t *testing.T) {
	for _, protocol := range []string{mtrecord.HTTP1, mtrecord.H2C} {
		t.Run(protocol, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := mtharness.NewHarness(t)
				h.Service.Protocol = protocol
				lateCalls := atomic.Int64{}
				markedAt := atomic.Int64{}
				newHandler := func(countLateCalls bool) http.HandlerFunc {
					return func(w http.ResponseWriter, request *http.Request) {
						// The mark takes effect at once in this process, so calls must not arrive even within the 3 s
						// between the mark and the shutdown.
						if at := markedAt.Load(); countLateCalls && at > 0 && time.Now().UnixNano() > at {
							lateCalls.Add(1)
						}
						_, _ = io.Copy(io.Discard, request.Body)
						time.Sleep(700 * time.Millisecond)
						_, _ = io.WriteString(w, "charged")
					}
				}
				h.RegisterEndpoint("endpoint-1")
				leaving := h.StartServer("endpoint-1", newHandler(true))
				h.AddEndpoint("endpoint-2", newHandler(false))
				entry := h.AddEntryInstance("entry-1")
				var group sync.WaitGroup
				for i := range 40 {
					group.Go(func() {
						time.Sleep(time.Duration(i) * 300 * time.Millisecond)
						result := h.Call(t.Context(), "entry-1", mtharness.OnceMethod, "7",
							mtharness.KeyHeaderPair(entry.NewKey(fmt.Sprint(i)))...)
						require.NoError(t, result.Err)
						require.Equal(t, "charged", result.Body)
					})
				}
				time.Sleep(5 * time.Second)
				entry.MarkLeaving("endpoint-1")
				markedAt.Store(time.Now().UnixNano())
				time.Sleep(3 * time.Second)
				require.NoError(t, leaving.Shutdown(t.Context()))
				group.Wait()
				require.Zero(t, lateCalls.Load())
			})
		})
	}
}
