package mtsoak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/mangotack/mangotack/internal/soak/mtinvariant"
	"github.com/mangotack/mangotack/platform/mtfake"
)

// The tenant with a quota, which only sends requests while it is hot.
const (
	hotTenantName = "hot"
	hotKey        = "key-hot"
	hotRate       = 20
	hotBurst      = 10
	// quotaWindow is the default of quota_window_s.
	quotaWindow = 5 * time.Second
	// hotInterval is the time between two requests to one instance; with four instances, they are some 13 times the quota.
	hotInterval = 15 * time.Millisecond
)

// hotTenant is what the hot tenant has sent, and what ran.
type hotTenant struct {
	mu sync.Mutex
	// sentAt is when each request was sent, by its ID.
	sentAt map[string]time.Duration
	// ran are the requests that ran, each once although retries and hedges may run it again.
	ran  map[string]bool
	next int
}

// heatTenant sends requests of the tenant to all instances for a time.
func (r *run) heatTenant(duration time.Duration) {
	until := r.now() + duration
	var group sync.WaitGroup
	for index := range r.gateways {
		group.Go(func() {
			client := &http.Client{
				Timeout:   pollTimeout,
				Transport: &http.Transport{MaxIdleConnsPerHost: 1},
			}
			defer client.CloseIdleConnections()
			for r.ctx.Err() == nil && r.now() < until {
				r.checker.CountKey("hot", r.queryKey(client, index, hotKey, r.hotTenant.nextID(r.now())))
				r.sleep(hotInterval)
			}
		})
	}
	group.Wait()
}

func (h *hotTenant) nextID(now time.Duration) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sentAt == nil {
		h.sentAt, h.ran = map[string]time.Duration{}, map[string]bool{}
	}
	h.next++
	id := fmt.Sprintf("f000%012x", h.next)
	h.sentAt[id] = now
	return id
}

// recordRun records that a request runs, and returns the number of those that were sent and ran in the window that ends now. A
// request that was sent earlier may have been charged earlier.
func (h *hotTenant) recordRun(id string, now time.Duration) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ran[id] = true
	count := 0
	for ran := range h.ran {
		if now-h.sentAt[ran] < quotaWindow {
			count++
		}
	}
	return count
}

// checkQuota reports a violation if a request exceeds the quota of the tenant.
func (r *run) checkQuota(id string, now time.Duration) {
	count := r.hotTenant.recordRun(id, now)
	allowed := (hotRate*quotaWindow.Seconds()+hotBurst)*(1+mtfake.QuotaOverage) + mtfake.QuotaSlack
	if float64(count) > allowed {
		r.checker.Report(now, mtinvariant.QuotaKept, "request %s is the %d. of the hot tenant in %v, allowed are %.1f", id, count,
			quotaWindow, allowed)
	}
}
