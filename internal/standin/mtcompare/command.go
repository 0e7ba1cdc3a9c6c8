package mtcompare

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
)

// settings are the flags of the command.
type settings struct {
	bench  string
	system string
	work   string
	before string
	after  string
	why    string
	jobs   int
}

// NewCommand returns the command, whose argument is a file with one pair per line: site, day and seed.
func NewCommand() *cobra.Command {
	s := settings{}
	command := &cobra.Command{
		Use:           "mangotack-compare [flags] PAIRS",
		Short:         "Plays the same days on two revisions of this repository and prints the differences",
		Args:          cobra.ExactArgs(1),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, arguments []string) error {
			pairs, err := readPairs(arguments[0])
			if err != nil {
				return err
			}
			unlock, err := lockDirectory(s.work)
			if err != nil {
				return err
			}
			defer unlock()
			if err := s.play(command.Context(), pairs); err != nil {
				return err
			}
			return writeSummary(command.OutOrStdout(), pairs)
		},
	}
	flags := command.Flags()
	flags.StringVar(&s.bench, "bench", "", "path of the benchmark program")
	flags.StringVar(&s.system, "system", "", "directory with the site files")
	flags.StringVar(&s.work, "work", "", "directory for checkouts and reports; the journals of the plays stay there")
	flags.StringVar(&s.before, "before", "main", "first revision")
	flags.StringVar(&s.after, "after", "HEAD", "second revision")
	flags.StringVar(&s.why, "why", "paired comparison", "reason, for the journal")
	flags.IntVar(&s.jobs, "jobs", 3, "pairs to play at a time")
	for _, name := range []string{"bench", "system", "work"} {
		// Fails only for a flag that does not exist.
		_ = command.MarkFlagRequired(name)
	}
	return command
}

// readPairs reads the pairs of a file; empty lines and those that begin with # are skipped.
func readPairs(path string) ([]Pair, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var pairs []Pair
	scanner := bufio.NewScanner(file)
	for line := 1; scanner.Scan(); line++ {
		fields := strings.Fields(scanner.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 3 {
			return nil, fmt.Errorf("%s:%d: found %d fields, expected site, day and seed", path, line, len(fields))
		}
		seed, err := strconv.ParseUint(fields[2], 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: found seed %q, expected a number", path, line, fields[2])
		}
		pairs = append(pairs, Pair{
			Site: fields[0],
			Day:  fields[1],
			Seed: seed,
		})
	}
	return pairs, scanner.Err()
}

// play plays all pairs, the two days of a pair one after the other in the same worker, and fills in their figures.
func (s settings) play(ctx context.Context, pairs []Pair) error {
	next := make(chan int)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		defer close(next)
		for index := range pairs {
			select {
			case next <- index:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		return nil
	})
	for worker := range s.jobs {
		group.Go(func() error {
			before, err := s.checkOut(ctx, fmt.Sprintf("before-%d", worker), s.before)
			if err != nil {
				return err
			}
			after, err := s.checkOut(ctx, fmt.Sprintf("after-%d", worker), s.after)
			if err != nil {
				return err
			}
			for index := range next {
				pair := &pairs[index]
				if pair.Before, err = s.playDay(ctx, before, *pair); err != nil {
					return err
				}
				if pair.After, err = s.playDay(ctx, after, *pair); err != nil {
					return err
				}
				fmt.Fprintf(os.Stderr, "%s %s %d: worth %.3f %.3f, in aim %.1f %.1f\n", pair.Site, pair.Day, pair.Seed,
					pair.Before.Worth, pair.After.Worth, pair.Before.InAim, pair.After.InAim)
			}
			return nil
		})
	}
	return group.Wait()
}

// lockDirectory creates a directory and locks it against other processes until unlock is called or the process ends.
func lockDirectory(directory string) (unlock func(), err error) {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(filepath.Join(directory, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("%s is in use by another comparison: %w", directory, err)
	}
	return func() { _ = file.Close() }, nil
}

// checkOut clones the repository of the current directory into a directory below work, or updates the clone, and
// checks out a revision.
func (s settings) checkOut(ctx context.Context, name, revision string) (string, error) {
	directory := filepath.Join(s.work, name)
	if _, err := os.Stat(directory); err != nil {
		if err := runTool(ctx, ".", "git", "clone", "--quiet", ".", directory); err != nil {
			return "", err
		}
	}
	if err := runTool(ctx, directory, "git", "fetch", "--quiet", "origin"); err != nil {
		return "", err
	}
	commit, err := exec.CommandContext(ctx, "git", "rev-parse", revision+"^{commit}").Output()
	if err != nil {
		return "", fmt.Errorf("revision %s: %w", revision, err)
	}
	return directory, runTool(ctx, directory, "git", "checkout", "--quiet", "--detach", strings.TrimSpace(string(commit)))
}

// playDay plays a day without the charge for processor time, which differs from run to run.
func (s settings) playDay(ctx context.Context, directory string, pair Pair) (Figures, error) {
	report := directory + ".json"
	err := runTool(ctx, directory, s.bench, "run", filepath.Join(s.system, pair.Site+".toml"), pair.Day,
		"--seed", strconv.FormatUint(pair.Seed, 10), "--no-cpu", "--report", report, "--why", s.why)
	if err != nil {
		return Figures{}, fmt.Errorf("%s %s %d in %s: %w", pair.Site, pair.Day, pair.Seed, directory, err)
	}
	return readReport(report)
}

// runTool runs a program; its output is part of the error if it fails.
func runTool(ctx context.Context, directory, name string, arguments ...string) error {
	command := exec.CommandContext(ctx, name, arguments...)
	command.Dir = directory
	output, err := command.CombinedOutput()
	if err != nil {
		return fmt.Errorf("%s: %w\n%s", filepath.Base(name), err, output)
	}
	return nil
}
