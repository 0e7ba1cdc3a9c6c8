package mtmeter

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

// Meter counts what an entry instance does; it is safe for use by many goroutines.
type Meter struct {
	set   *metrics.Set
	extra *metrics.Counter
}

// NewMeter returns a meter with all counts at zero.
func NewMeter() *Meter {
	set := metrics.NewSet()
	// No probes are sent, because load reports ride on answers; the count of none is stated all the same.
	set.NewCounter("mangotack_probes_total")
	return &Meter{
		set:   set,
		extra: set.NewCounter("mangotack_extra_attempts_total"),
	}
}

// Call counts a call and the time from its arrival to the end of its answer.
func (m *Meter) Call(service string, outcome mtoutcome.Outcome, reason string, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mangotack_calls_total{service=%q,outcome=%q,reason=%q}`, service, outcome, reason)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`mangotack_call_seconds{service=%q,outcome=%q}`, service, outcome)).Update(took.Seconds())
}

// Extra counts a retry or a hedge.
func (m *Meter) Extra() {
	m.extra.Inc()
}

// Gauge adds a value that is read whenever the metrics are.
func (m *Meter) Gauge(name string, read func() float64) {
	m.set.NewGauge(name, read)
}

// Write writes all metrics in the text format of Prometheus.
func (m *Meter) Write(to io.Writer) {
	m.set.WritePrometheus(to)
	metrics.WriteProcessMetrics(to)
}
