// A report is the text form of an ORCA header:
//
//	Endpoint-Load-Metrics: TEXT named_metrics.running=2, named_metrics.slots=2, named_metrics.queued=1
//
// Other metrics are ignored. A malformed report is ignored, because it must not make the call fail.

package mtload

import (
	"strconv"
	"strings"
)

// Header is the name of the header that carries a report.
const Header = "Endpoint-Load-Metrics"

// maxValue bounds each value of a report.
const maxValue = 1e6

// Report is the load that an endpoint reports.
type Report struct {
	// Running is the number of running calls; each uses a slot.
	Running float64
	// Queued is the number of calls waiting for a slot.
	Queued float64
	// Slots is the current number of slots, or 0 if the report does not state it.
	Slots float64
}

// Parse parses the value of the header; found is false if the value is not a valid report.
func Parse(text string) (report Report, found bool) {
	metrics, found := strings.CutPrefix(text, "TEXT ")
	if !found {
		return Report{}, false
	}
	for metric := range strings.SplitSeq(metrics, ",") {
		name, valueText, _ := strings.Cut(strings.TrimSpace(metric), "=")
		value, err := strconv.ParseFloat(valueText, 64)
		// The condition is the valid range, because every comparison with NaN is false.
		if inRange := value >= 0 && value <= maxValue; err != nil || !inRange {
			return Report{}, false
		}
		report.set(name, value)
	}
	return report, true
}

func (r *Report) set(name string, value float64) {
	switch name {
	case "named_metrics.running":
		r.Running = value
	case "named_metrics.queued":
		r.Queued = value
	case "named_metrics.slots":
		r.Slots = value
	}
}

// String returns the report as the value of the header.
func (r Report) String() string {
	format := func(value float64) string {
		return strconv.FormatFloat(value, 'g', -1, 64)
	}
	return "TEXT named_metrics.running=" + format(r.Running) +
		", named_metrics.queued=" + format(r.Queued) +
		", named_metrics.slots=" + format(r.Slots)
}
