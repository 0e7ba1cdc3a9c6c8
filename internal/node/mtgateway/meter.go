package mtgateway

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mangotack/mangotack/internal/core/mtnews"
	"github.com/mangotack/mangotack/internal/core/mtplacer"
	"github.com/mangotack/mangotack/internal/core/mtrate"
)

// meter counts what the instance does.
type meter struct {
	set   *metrics.Set
	looks *metrics.Counter
}

func newMeter() *meter {
	set := metrics.NewSet()
	return &meter{
		set:   set,
		looks: set.NewCounter("mangotack_gateway_looks_total"),
	}
}

var verdictNames = map[mtplacer.Verdict]string{
	mtplacer.Served:    "served",
	mtplacer.Shed:      "shed",
	mtplacer.Failed:    "failed",
	mtplacer.Abandoned: "abandoned",
}

func (m *meter) call(service, outcome string, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mangotack_gateway_requests_total{service=%q,outcome=%q}`, service, outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`mangotack_gateway_request_seconds{service=%q,outcome=%q}`, service, outcome)).Update(took.Seconds())
}

func (m *meter) attempt(service string, verdict mtplacer.Verdict) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mangotack_gateway_attempts_total{service=%q,verdict=%q}`, service, verdictNames[verdict])).Inc()
}

// repeat counts a retry or a second attempt that the budget was asked for.
func (m *meter) repeat(service, kind string, allowed bool) {
	result := "allowed"
	if !allowed {
		result = "denied"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`mangotack_gateway_repeats_total{service=%q,kind=%q,result=%q}`, service, kind, result)).Inc()
}

// wait counts how long a request waited for its endpoint.
func (m *meter) wait(service string, waited time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`mangotack_gateway_wait_seconds{service=%q}`, service)).Update(waited.Seconds())
}

func (m *meter) storeCall(feed mtnews.Feed, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`mangotack_gateway_store_calls_total{feed=%q,result=%q}`, feed, result)).Inc()
}

func (m *meter) gauge(name string, read func() float64) {
	m.set.NewGauge(name, read)
}

func (m *meter) write(to io.Writer) {
	m.set.WritePrometheus(to)
	metrics.WriteProcessMetrics(to)
}

// rate is a rate that several goroutines count for.
type rate struct {
	mu   sync.Mutex
	rate mtrate.Rate
}

func (r *rate) add(count float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rate.Add(count, now)
}

func (r *rate) perSecond(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rate.PerSecond(now)
}
