package mtstandinverb

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	standinv1 "github.com/mangotack/mangotack/internal/gen/mangotack/standin/v1"
	"github.com/mangotack/mangotack/internal/standin/mtloader"
	"github.com/mangotack/mangotack/internal/standin/mtscrape"
	"github.com/mangotack/mangotack/internal/standin/mttally"
	"github.com/mangotack/mangotack/internal/standin/mtverdict"
)

func newLoadCommand(file *string) *cobra.Command {
	var entries []string
	report := ""
	command := &cobra.Command{
		Use:   "load",
		Short: "Run the callers of all loads and write a tally",
	}
	command.Flags().StringSliceVar(&entries, "entries", nil, "addresses for callers of entry instances")
	command.Flags().StringVar(&report, "tally", "", "file for the tally")
	span := command.Flags().Duration("for", 10*time.Second, "how long to call")
	command.RunE = func(command *cobra.Command, _ []string) error {
		settings, err := load(*file)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(command.Context(), *span)
		defer cancel()
		text, err := json.Marshal(mtloader.NewLoader(settings, entries).Run(ctx))
		if err != nil {
			return err
		}
		return os.WriteFile(report, text, 0o644)
	}
	return command
}

func newVerdictCommand(file *string) *cobra.Command {
	path := ""
	verdict := &mtverdict.Verdict{}
	command := &cobra.Command{
		Use:   "verdict",
		Short: "Print what a run showed and judge it against the promises",
	}
	command.Flags().StringVar(&path, "tally", "", "file of the tally")
	command.Flags().DurationVar(&verdict.Force, "force", 0, "time that an amended contract took to be in force everywhere")
	controls := command.Flags().StringSlice("controls", nil, "control addresses whose metrics count the probes")
	command.Flags().Float64Var(&verdict.Budget, "budget", 0, "probes allowed")
	command.RunE = func(command *cobra.Command, _ []string) error {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		verdict.Tally = mttally.NewTally()
		if err := json.Unmarshal(text, verdict.Tally); err != nil {
			return err
		}
		client, err := switches(*file)
		if err != nil {
			return err
		}
		answer, err := client.Report(command.Context(), connect.NewRequest(&standinv1.ReportRequest{
			Nonces: verdict.Tally.NotRun,
		}))
		if err != nil {
			return err
		}
		verdict.Report = answer.Msg
		for _, control := range *controls {
			verdict.Probes += mtscrape.Value(control, "mangotack_probes_total")
		}
		if !verdict.Print(command.OutOrStdout()) {
			return errors.New("a promise was broken")
		}
		return nil
	}
	return command
}
