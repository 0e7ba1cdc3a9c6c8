package mtsoakverb

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/mangotack/mangotack/internal/soak/mtinvariant"
	"github.com/mangotack/mangotack/internal/soak/mtsoak"
)

// violationError is the error of a run that violated invariants.
type violationError struct {
	count     int
	directory string
}

func (e violationError) Error() string {
	return fmt.Sprintf("%d invariant violations; the logs are in %s", e.count, e.directory)
}

// Run runs the command line and returns its exit status.
func Run(arguments []string, out, errorOutput io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	command := newCommand(out)
	command.SetArgs(arguments)
	command.SetOut(out)
	command.SetErr(errorOutput)
	if err := command.ExecuteContext(ctx); err != nil {
		return 1
	}
	return 0
}

func newCommand(out io.Writer) *cobra.Command {
	settings := mtsoak.Settings{}
	keepFiles := false
	command := &cobra.Command{
		Use:          "mangotack-soak",
		Short:        "Injects faults into real gateways and checks their invariants",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(command *cobra.Command, _ []string) error {
			directory, err := os.MkdirTemp(settings.Directory, "soak-")
			if err != nil {
				return err
			}
			settings.Directory = directory
			count, err := runSoak(command.Context(), settings, out)
			if err != nil {
				return err
			}
			if count > 0 {
				return violationError{
					count:     count,
					directory: directory,
				}
			}
			if keepFiles {
				fmt.Fprintln(out, "logs in", directory)
				return nil
			}
			return os.RemoveAll(directory)
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&settings.Seed, "seed", 1, "`number` that the faults are drawn from")
	flags.DurationVar(&settings.Schedule.Duration, "for", 30*time.Second, "time for which faults are injected")
	flags.DurationVar(&settings.Schedule.MeanInterval, "gap", 400*time.Millisecond, "mean time between two faults")
	flags.IntVar(&settings.Schedule.Instances, "instances", 4, "`number` of gateways, at most 60")
	flags.IntVar(&settings.Schedule.Endpoints, "endpoints", 8, "`number` of endpoints, at most 60")
	flags.IntVar(&settings.Schedule.Zones, "zones", 0, "`number` of zones that are evacuated or return cold, at most 3")
	flags.IntVar(&settings.Callers, "callers", 24, "`number` of callers")
	flags.StringVar(&settings.Binary, "binary", "bin/mangotack", "`path` of the gateway's program")
	flags.StringVar(&settings.Directory, "dir", "",
		"`directory` for settings and logs (default the one for temporary files)")
	flags.BoolVar(&settings.SkipTiming, "untimed", false, "leave out the invariants that need processor time")
	flags.BoolVar(&keepFiles, "keep", false, "keep settings and logs of a run without violations too")
	return command
}

// runSoak runs one soak, prints its violations and returns their number.
func runSoak(ctx context.Context, settings mtsoak.Settings, out io.Writer) (int, error) {
	log, err := os.Create(filepath.Join(settings.Directory, "schedule.log"))
	if err != nil {
		return 0, err
	}
	defer log.Close()
	violations, counts, err := mtsoak.Run(ctx, settings, log)
	if err != nil {
		return 0, err
	}
	fmt.Fprintf(out, "seed %d:", settings.Seed)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(out, " %s %d;", name, counts[name])
	}
	fmt.Fprintf(out, " broken %d\n", len(violations))
	printed := map[mtinvariant.Invariant]int{}
	for _, violation := range violations {
		fmt.Fprintln(log, violation)
		if printed[violation.Invariant]++; printed[violation.Invariant] <= maxPrintedPerInvariant {
			fmt.Fprintln(out, violation)
		}
	}
	return len(violations), nil
}

// maxPrintedPerInvariant is the number of violations of each invariant that are printed; schedule.log has all.
const maxPrintedPerInvariant = 5
