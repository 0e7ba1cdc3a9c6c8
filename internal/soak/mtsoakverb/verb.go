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

	"github.com/mangotack/mangotack/internal/soak/mtpromise"
	"github.com/mangotack/mangotack/internal/soak/mtsoak"
)

// errBroken is the error of a run in which a promise was not kept.
type errBroken struct {
	count     int
	directory string
}

func (e errBroken) Error() string {
	return fmt.Sprintf("%d promises were not kept; the logs are in %s", e.count, e.directory)
}

// Run runs the command line and returns its exit status.
func Run(arguments []string, out, errors io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	command := newCommand(out)
	command.SetArgs(arguments)
	command.SetOut(out)
	command.SetErr(errors)
	if err := command.ExecuteContext(ctx); err != nil {
		return 1
	}
	return 0
}

func newCommand(out io.Writer) *cobra.Command {
	settings := mtsoak.Settings{}
	keep := false
	command := &cobra.Command{
		Use:          "mangotack-soak",
		Short:        "Plays faults against real gateways and checks what they promise",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(command *cobra.Command, _ []string) error {
			directory, err := os.MkdirTemp(settings.Directory, "soak-")
			if err != nil {
				return err
			}
			settings.Directory = directory
			count, err := play(command.Context(), settings, out)
			if err != nil {
				return err
			}
			if count > 0 {
				return errBroken{
					count:     count,
					directory: directory,
				}
			}
			if keep {
				fmt.Fprintln(out, "logs in", directory)
				return nil
			}
			return os.RemoveAll(directory)
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&settings.Seed, "seed", 1, "`number` that the faults are drawn from")
	flags.DurationVar(&settings.Schedule.Duration, "for", 30*time.Second, "how long faults are injected")
	flags.DurationVar(&settings.Schedule.MeanInterval, "gap", 400*time.Millisecond, "mean time between two faults")
	flags.IntVar(&settings.Schedule.Instances, "instances", 4, "`number` of gateways, at most 60")
	flags.IntVar(&settings.Schedule.Endpoints, "endpoints", 8, "`number` of endpoints, at most 60")
	flags.IntVar(&settings.Callers, "callers", 24, "`number` of callers")
	flags.StringVar(&settings.Binary, "binary", "bin/mangotack", "`path` of the gateway's program")
	flags.StringVar(&settings.Directory, "dir", "", "`directory` that settings and logs are kept in (default that for temporary files)")
	flags.BoolVar(&settings.Untimed, "untimed", false, "leave out the promises that need processor time")
	flags.BoolVar(&keep, "keep", false, "keep settings and logs of a run without a finding too")
	return command
}

// play plays one run, prints what it has found and returns the number of promises that were not kept.
func play(ctx context.Context, settings mtsoak.Settings, out io.Writer) (int, error) {
	log, err := os.Create(filepath.Join(settings.Directory, "schedule.log"))
	if err != nil {
		return 0, err
	}
	defer log.Close()
	broken, counts, err := mtsoak.Run(ctx, settings, log)
	if err != nil {
		return 0, err
	}
	fmt.Fprintf(out, "seed %d:", settings.Seed)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(out, " %s %d;", name, counts[name])
	}
	fmt.Fprintf(out, " broken %d\n", len(broken))
	printed := map[mtpromise.Promise]int{}
	for _, finding := range broken {
		fmt.Fprintln(log, finding)
		if printed[finding.Promise]++; printed[finding.Promise] <= printMost {
			fmt.Fprintln(out, finding)
		}
	}
	return len(broken), nil
}

// printMost is the number of findings that are printed of each promise; the schedule's log has all.
const printMost = 5
