package mtverb

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/mangotack/mangotack/internal/verb/mtdiagnosis"
)

func newExplainCommand() *cobra.Command {
	id := ""
	asJSON := false
	command := &cobra.Command{
		Use:   "explain [--id ID] FILE...",
		Short: "Tell from logs what became of a request",
		Long: "Merges the logs of several instances by time, prints the lines of the request with the ID, lines\n" +
			"about what is missing, and the cause. Without --id it prints the whole time line.",
		Example: "  mangotack explain --id 9c41d07be2a35f68 entry-1.log entry-2.log",
		Args:    requireFiles,
		RunE: func(command *cobra.Command, arguments []string) error {
			return explainLogs(command, id, asJSON, arguments)
		},
	}
	command.Flags().StringVar(&id, "id", "", "ID of the request, as its caller sent it")
	command.Flags().BoolVar(&asJSON, "json", false, "print one JSON object for programs")
	return command
}

// explainLogs prints the report on a request ID, or on the whole time line when the ID is empty.
func explainLogs(command *cobra.Command, id string, asJSON bool, paths []string) error {
	var lines []mtdiagnosis.LogLine
	for _, path := range paths {
		logLines, err := readLog(path)
		if err != nil {
			return fmt.Errorf("explain: %w", err)
		}
		lines = append(lines, logLines...)
	}
	report := mtdiagnosis.Diagnose(id, lines)
	if asJSON {
		encoder := json.NewEncoder(command.OutOrStdout())
		encoder.SetEscapeHTML(false)
		return encoder.Encode(report)
	}
	return report.Write(command.OutOrStdout())
}

func readLog(path string) ([]mtdiagnosis.LogLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return mtdiagnosis.Read(file, path)
}
