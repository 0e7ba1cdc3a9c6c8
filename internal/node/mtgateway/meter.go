package mtgateway

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mangotack/mangotack/internal/core/mtnews"
	"github.com/mangotack/mangotack/internal/core/mtplacer"
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

// rateWeight is the weight of one period in the moving mean of the rate.
const rateWeight = 0.5

// rate is a number of events or bytes a second as a moving mean over periods of a second.
type rate struct {
	mu     sync.Mutex
	count  float64
	began  time.Time
	second float64
}

func (r *rate) add(count float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roll(now)
	r.count += count
}

func (r *rate) roll(now time.Time) {
	if r.began.IsZero() {
		r.began = now
	}
	if past := now.Sub(r.began); past >= time.Second {
		r.second += rateWeight * (r.count/past.Seconds() - r.second)
		r.count = 0
		r.began = now
	}
}

func (r *rate) load() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roll(time.Now())
	return r.second
}
