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
	"github.com/mangotack/mangotack/internal/standin/mtacceptance"
	"github.com/mangotack/mangotack/internal/standin/mtloadgenerator"
	"github.com/mangotack/mangotack/internal/standin/mtloadstats"
	"github.com/mangotack/mangotack/internal/standin/mtscrape"
)

// newLoadCommand returns the command that generates load and writes the results as JSON.
func newLoadCommand(settingsFile *string) *cobra.Command {
	var entryAddresses []string
	statsFile := ""
	command := &cobra.Command{
		Use:   "load",
		Short: "Run the callers of all loads and write a tally",
	}
	command.Flags().StringSliceVar(&entryAddresses, "entries", nil, "addresses for callers of entry instances")
	command.Flags().StringVar(&statsFile, "tally", "", "file for the tally")
	duration := command.Flags().Duration("for", 10*time.Second, "how long to call")
	command.RunE = func(command *cobra.Command, _ []string) error {
		settings, err := loadSettings(*settingsFile)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(command.Context(), *duration)
		defer cancel()
		data, err := json.Marshal(mtloadgenerator.NewGenerator(settings, entryAddresses).Run(ctx))
		if err != nil {
			return err
		}
		return os.WriteFile(statsFile, data, 0o644)
	}
	return command
}

// newVerdictCommand returns the command that evaluates the results of a load run; it fails if a guarantee was not met.
func newVerdictCommand(settingsFile *string) *cobra.Command {
	statsFile := ""
	evaluation := &mtacceptance.Evaluation{}
	command := &cobra.Command{
		Use:   "verdict",
		Short: "Print what a run showed and judge it against the promises",
	}
	command.Flags().StringVar(&statsFile, "tally", "", "file of the tally")
	command.Flags().DurationVar(&evaluation.ForceTime, "force", 0,
		"time that an amended contract took to be in force everywhere")
	controlAddresses := command.Flags().StringSlice("controls", nil, "control addresses whose metrics count the probes")
	command.Flags().Float64Var(&evaluation.ProbeBudget, "budget", 0, "probes allowed")
	command.RunE = func(command *cobra.Command, _ []string) error {
		data, err := os.ReadFile(statsFile)
		if err != nil {
			return err
		}
		evaluation.Stats = mtloadstats.NewStats()
		if err := json.Unmarshal(data, evaluation.Stats); err != nil {
			return err
		}
		client, err := newSwitchClient(*settingsFile)
		if err != nil {
			return err
		}
		response, err := client.Report(command.Context(), connect.NewRequest(&standinv1.ReportRequest{
			Nonces: evaluation.Stats.NotRunNonces,
		}))
		if err != nil {
			return err
		}
		evaluation.Report = response.Msg
		for _, control := range *controlAddresses {
			evaluation.Probes += mtscrape.MetricValue(control, "mangotack_probes_total")
		}
		if !evaluation.Print(command.OutOrStdout()) {
			return errors.New("a promise was broken")
		}
		return nil
	}
	return command
}
