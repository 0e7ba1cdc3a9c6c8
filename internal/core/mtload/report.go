// A report is the text form of an ORCA header:
//
//	Endpoint-Load-Metrics: TEXT named_metrics.running=2, named_metrics.slots=2, named_metrics.queued=1
//
// Other metrics are ignored. A report that can't be read is dropped, because a wrong report must never fail a call.

package mtload

import (
	"strconv"
	"strings"
)

// Header is the name of the header that carries a report.
const Header = "Endpoint-Load-Metrics"

const valueLimit = 1e6

// Report is the load that an endpoint states of itself.
type Report struct {
	// Running is the number of calls in its slots.
	Running float64
	// Queued is the number of calls that wait for a slot.
	Queued float64
	// Slots is the number of slots at present, or 0 when the report does not tell.
	Slots float64
}

// Parse reads a report; found is false when the text is none.
func Parse(text string) (report Report, found bool) {
	metrics, found := strings.CutPrefix(text, "TEXT ")
	if !found {
		return Report{}, false
	}
	for metric := range strings.SplitSeq(metrics, ",") {
		name, valueText, _ := strings.Cut(strings.TrimSpace(metric), "=")
		value, err := strconv.ParseFloat(valueText, 64)
		// Not-a-number fails every comparison, so the range is tested from inside.
		if inRange := value >= 0 && value <= valueLimit; err != nil || !inRange {
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
