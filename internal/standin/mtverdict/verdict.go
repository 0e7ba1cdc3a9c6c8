package mtverdict

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	standinv1 "github.com/mangotack/mangotack/internal/gen/mangotack/standin/v1"
	"github.com/mangotack/mangotack/internal/standin/mttally"
)

// forceLimit is the time within which a change must be in force everywhere.
const forceLimit = 13 * time.Second

// Verdict holds what was seen in a run.
type Verdict struct {
	Tally  *mttally.Tally
	Report *standinv1.ReportResponse
	// Force is the time that an amended contract took to be in force everywhere, or 0 when it never was.
	Force time.Duration
	// Probes is the number of probes that the entry instances sent, and Budget the number allowed.
	Probes float64
	Budget float64
}

type promise struct {
	name string
	kept bool
	seen string
}

func (v *Verdict) promises() []promise {
	return []promise{
		{
			name: "approved teams are answered",
			kept: v.Tally.Answered > 0 && v.Tally.Answered*100 >= v.Tally.Calls*99,
			seen: fmt.Sprintf("%d of %d", v.Tally.Answered, v.Tally.Calls),
		},
		{
			name: "unapproved teams reach nothing",
			kept: v.Tally.Strangers > 0 && v.Tally.Let == 0,
			seen: fmt.Sprintf("%d of %d", v.Tally.Let, v.Tally.Strangers),
		},
		{
			name: "the whole answer to the own request",
			kept: v.Tally.Answered > 0 && v.Tally.Wrong == 0,
			seen: fmt.Sprintf("%d wrong", v.Tally.Wrong),
		},
		{
			name: "told as not run is not run",
			kept: v.Report.GetRan() == 0,
			seen: fmt.Sprintf("%d of %d ran", v.Report.GetRan(), len(v.Tally.NotRun)),
		},
		{
			name: "a call with a key runs at most once",
			kept: v.Report.GetRepeated() == 1,
			seen: fmt.Sprintf("%d runs at most", v.Report.GetRepeated()),
		},
		{
			name: "no new work 3 s after a leaving mark",
			kept: v.Report.GetLate() == 0,
			seen: fmt.Sprintf("%d calls", v.Report.GetLate()),
		},
		{
			name: "an amended contract is in force everywhere within 13 s",
			kept: v.Force > 0 && v.Force <= forceLimit,
			seen: v.Force.Round(time.Millisecond).String(),
		},
		{
			name: "probes within the budget",
			kept: v.Probes <= v.Budget,
			seen: fmt.Sprintf("%.0f of %.0f", v.Probes, v.Budget),
		},
	}
}

// Print writes the table and the verdict per promise, and reports whether all promises were kept.
func (v *Verdict) Print(to io.Writer) bool {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "calls\t%d\n", v.Tally.Calls)
	fmt.Fprintf(table, "answered\t%d\n", v.Tally.Answered)
	fmt.Fprintf(table, "refused (not run)\t%d\n", v.Tally.Refused)
	fmt.Fprintf(table, "unknown\t%d\n", v.Tally.Unknown)
	for _, reason := range slices.Sorted(maps.Keys(v.Tally.Reasons)) {
		fmt.Fprintf(table, "  of these %s\t%d\n", reason, v.Tally.Reasons[reason])
	}
	fmt.Fprintf(table, "added p50 / p99 / p99.9\t%.2f / %.2f / %.2f ms\n", v.Tally.P50, v.Tally.P99, v.Tally.P999)
	fmt.Fprintf(table, "most runs of one once-call\t%d\n", v.Report.GetRepeated())
	fmt.Fprintf(table, "new work on the leaving endpoint after 3 s\t%d\n", v.Report.GetLate())
	fmt.Fprintf(table, "probes / budget\t%.0f / %.0f\n", v.Probes, v.Budget)
	fmt.Fprintf(table, "time to force of the amended contract\t%s\n\n", v.Force.Round(time.Millisecond))
	all := true
	for _, promise := range v.promises() {
		word := "kept"
		if !promise.kept {
			word = "BROKEN"
			all = false
		}
		fmt.Fprintf(table, "%s\t%s\t%s\n", word, promise.name, promise.seen)
	}
	_ = table.Flush()
	return all
}
