package mtgateway

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mangotack/mangotack/internal/adapter/mtupstream"
	"github.com/mangotack/mangotack/internal/core/mtrate"
	"github.com/mangotack/mangotack/internal/core/mtreplication"
	"github.com/mangotack/mangotack/internal/core/mtscheduler"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

// gatewayMetrics contains the metrics of the instance.
type gatewayMetrics struct {
	set    *metrics.Set
	probes *metrics.Counter
}

func newGatewayMetrics() *gatewayMetrics {
	set := metrics.NewSet()
	return &gatewayMetrics{
		set:    set,
		probes: set.NewCounter("mangotack_gateway_looks_total"),
	}
}

var verdictLabels = map[mtscheduler.Verdict]string{
	mtscheduler.Served:    "served",
	mtscheduler.Shed:      "shed",
	mtscheduler.Failed:    "failed",
	mtscheduler.Abandoned: "abandoned",
}

func (m *gatewayMetrics) countRequest(service, outcome string, elapsed time.Duration) {
	m.set.GetOrCreateCounter(
		fmt.Sprintf(`mangotack_gateway_requests_total{service=%q,outcome=%q}`, service, outcome),
	).Inc()
	m.set.GetOrCreateHistogram(
		fmt.Sprintf(`mangotack_gateway_request_seconds{service=%q,outcome=%q}`, service, outcome),
	).Update(elapsed.Seconds())
}

func (m *gatewayMetrics) countAttempt(service string, verdict mtscheduler.Verdict) {
	m.set.GetOrCreateCounter(
		fmt.Sprintf(`mangotack_gateway_attempts_total{service=%q,verdict=%q}`, service, verdictLabels[verdict]),
	).Inc()
}

// countExtraAttempt counts a retry or hedge that was requested from the budget.
func (m *gatewayMetrics) countExtraAttempt(service, kind string, allowed bool) {
	result := "allowed"
	if !allowed {
		result = "denied"
	}
	m.set.GetOrCreateCounter(
		fmt.Sprintf(`mangotack_gateway_repeats_total{service=%q,kind=%q,result=%q}`, service, kind, result),
	).Inc()
}

// countCrash counts a crash of an endpoint for each request that was in flight there.
func (m *gatewayMetrics) countCrash(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mangotack_gateway_crashes_total{service=%q}`, service)).Inc()
}

// observeWait records how long a request waited for its endpoint.
func (m *gatewayMetrics) observeWait(service string, wait time.Duration) {
	m.set.GetOrCreateHistogram(
		fmt.Sprintf(`mangotack_gateway_wait_seconds{service=%q}`, service),
	).Update(wait.Seconds())
}

// countRelay counts a request that was passed on to another instance, whose reply is nil if none arrived.
func (m *gatewayMetrics) countRelay(service string, reply *mtupstream.Response) {
	result := "answered"
	switch {
	case reply == nil:
		result = "failed"
	case reply.Header.Get(mtoutcome.ReasonHeader) != "":
		result = "refused"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`mangotack_gateway_relayed_total{service=%q,result=%q}`, service, result)).Inc()
}

func (m *gatewayMetrics) countStoreCall(feed mtreplication.Feed, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`mangotack_gateway_store_calls_total{feed=%q,result=%q}`, feed, result)).Inc()
}

// countEra counts an answer of the store that is of another era than the one before.
func (m *gatewayMetrics) countEra(order mtreplication.EraOrder) {
	name := "mangotack_gateway_store_restores_total"
	if order == mtreplication.OldEra {
		name = "mangotack_gateway_store_outdated_answers_total"
	}
	m.set.GetOrCreateCounter(name).Inc()
}

func (m *gatewayMetrics) addGauge(name string, read func() float64) {
	m.set.NewGauge(name, read)
}

func (m *gatewayMetrics) write(writer io.Writer) {
	m.set.WritePrometheus(writer)
	metrics.WriteProcessMetrics(writer)
}

// sharedRate is a rate that is safe for use by many goroutines.
type sharedRate struct {
	mu   sync.Mutex
	rate mtrate.Rate
}

func (r *sharedRate) add(count float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rate.Add(count, now)
}

func (r *sharedRate) perSecond(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rate.PerSecond(now)
}
