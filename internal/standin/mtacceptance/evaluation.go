package mtacceptance

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	standinv1 "github.com/mangotack/mangotack/internal/gen/mangotack/standin/v1"
	"github.com/mangotack/mangotack/internal/standin/mtloadstats"
)

// maxForceTime is the time within which a change must be in force on every instance.
const maxForceTime = 13 * time.Second

// Evaluation holds the observations of a load run.
type Evaluation struct {
	// Stats are the results that the callers saw, and Report the counters of the endpoints.
	Stats  *mtloadstats.Stats
	Report *standinv1.ReportResponse
	// ForceTime is the time until an amended contract was in force on every instance, or 0 if it never was.
	ForceTime time.Duration
	// Probes is the number of probes that the entry instances sent, and ProbeBudget the number allowed.
	Probes      float64
	ProbeBudget float64
}

// guarantee is one guarantee of the product, whether the run met it, and what was observed.
type guarantee struct {
	name     string
	met      bool
	observed string
}

func (e *Evaluation) guarantees() []guarantee {
	return []guarantee{
		{
			name:     "approved teams are answered",
			met:      e.Stats.Answered > 0 && e.Stats.Answered*100 >= e.Stats.Calls*99,
			observed: fmt.Sprintf("%d of %d", e.Stats.Answered, e.Stats.Calls),
		},
		{
			name:     "unapproved teams reach nothing",
			met:      e.Stats.UnapprovedCalls > 0 && e.Stats.UnapprovedAnswered == 0,
			observed: fmt.Sprintf("%d of %d", e.Stats.UnapprovedAnswered, e.Stats.UnapprovedCalls),
		},
		{
			name:     "the whole answer to the own request",
			met:      e.Stats.Answered > 0 && e.Stats.WrongAnswers == 0,
			observed: fmt.Sprintf("%d wrong", e.Stats.WrongAnswers),
		},
		{
			name:     "told as not run is not run",
			met:      e.Report.GetRan() == 0,
			observed: fmt.Sprintf("%d of %d ran", e.Report.GetRan(), len(e.Stats.NotRunNonces)),
		},
		{
			name:     "a call with a key runs at most once",
			met:      e.Report.GetRepeated() == 1,
			observed: fmt.Sprintf("%d runs at most", e.Report.GetRepeated()),
		},
		{
			name:     "no new work 3 s after a leaving mark",
			met:      e.Report.GetLate() == 0,
			observed: fmt.Sprintf("%d calls", e.Report.GetLate()),
		},
		{
			name:     "an amended contract is in force everywhere within 13 s",
			met:      e.ForceTime > 0 && e.ForceTime <= maxForceTime,
			observed: e.ForceTime.Round(time.Millisecond).String(),
		},
		{
			name:     "probes within the budget",
			met:      e.Probes <= e.ProbeBudget,
			observed: fmt.Sprintf("%.0f of %.0f", e.Probes, e.ProbeBudget),
		},
	}
}

// Print writes a table of the results and the guarantees, and reports whether all guarantees were met.
func (e *Evaluation) Print(writer io.Writer) bool {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "calls\t%d\n", e.Stats.Calls)
	fmt.Fprintf(table, "answered\t%d\n", e.Stats.Answered)
	fmt.Fprintf(table, "refused (not run)\t%d\n", e.Stats.Refused)
	fmt.Fprintf(table, "unknown\t%d\n", e.Stats.Unknown)
	for _, reason := range slices.Sorted(maps.Keys(e.Stats.Reasons)) {
		fmt.Fprintf(table, "  of these %s\t%d\n", reason, e.Stats.Reasons[reason])
	}
	fmt.Fprintf(table, "added p50 / p99 / p99.9\t%.2f / %.2f / %.2f ms\n",
		e.Stats.AddedP50Ms, e.Stats.AddedP99Ms, e.Stats.AddedP999Ms)
	fmt.Fprintf(table, "most runs of one once-call\t%d\n", e.Report.GetRepeated())
	fmt.Fprintf(table, "new work on the leaving endpoint after 3 s\t%d\n", e.Report.GetLate())
	fmt.Fprintf(table, "probes / budget\t%.0f / %.0f\n", e.Probes, e.ProbeBudget)
	fmt.Fprintf(table, "time to force of the amended contract\t%s\n\n", e.ForceTime.Round(time.Millisecond))
	allMet := true
	for _, guarantee := range e.guarantees() {
		result := "kept"
		if !guarantee.met {
			result = "BROKEN"
			allMet = false
		}
		fmt.Fprintf(table, "%s\t%s\t%s\n", result, guarantee.name, guarantee.observed)
	}
	_ = table.Flush()
	return allMet
}
