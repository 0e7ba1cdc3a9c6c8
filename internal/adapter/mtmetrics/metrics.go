package mtmetrics

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

// Meter is the set of metrics of an entry instance; it is safe for concurrent use.
type Meter struct {
	set           *metrics.Set
	extraAttempts *metrics.Counter
}

// NewMeter returns a meter with all counters at zero.
func NewMeter() *Meter {
	set := metrics.NewSet()
	// The counter stays at zero: no probes are sent, because endpoints report their load in their responses.
	set.NewCounter("mangotack_probes_total")
	return &Meter{
		set:           set,
		extraAttempts: set.NewCounter("mangotack_extra_attempts_total"),
	}
}

// ObserveCall counts a call and records its duration, from its arrival to the end of its response.
func (m *Meter) ObserveCall(service string, outcome mtoutcome.Outcome, reason string, duration time.Duration) {
	m.set.GetOrCreateCounter(
		fmt.Sprintf(`mangotack_calls_total{service=%q,outcome=%q,reason=%q}`, service, outcome, reason)).Inc()
	m.set.GetOrCreateHistogram(
		fmt.Sprintf(`mangotack_call_seconds{service=%q,outcome=%q}`, service, outcome)).Update(duration.Seconds())
}

// CountExtraAttempt counts an extra attempt, which is a retry or a hedge.
func (m *Meter) CountExtraAttempt() {
	m.extraAttempts.Inc()
}

// AddGauge adds a gauge; read returns its value and is called at each scrape.
func (m *Meter) AddGauge(name string, read func() float64) {
	m.set.NewGauge(name, read)
}

// Write writes all metrics, those of the process included, in the Prometheus text format.
func (m *Meter) Write(output io.Writer) {
	m.set.WritePrometheus(output)
	metrics.WriteProcessMetrics(output)
}
