package mtverb

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/mangotack/mangotack/internal/adapter/mtdocument"
	settingsv1 "github.com/mangotack/mangotack/internal/gen/mangotack/settings/v1"
	"github.com/mangotack/mangotack/internal/verb/mtoperator"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
	"github.com/mangotack/mangotack/pkg/mtfinding"
)

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE...",
		Short:   "Check settings and bundles of records",
		Long:    "Checks files and prints each finding with its file, its place, what was found and what was\nexpected. A file with the field \"instance\" holds settings, any other file a bundle of records.",
		Example: "  mangotack check entry-1.json contracts.json",
		Args:    requireFiles,
		RunE: func(command *cobra.Command, arguments []string) error {
			var findings []mtfinding.Finding
			for _, file := range arguments {
				findings = append(findings, checkFile(file)...)
			}
			if len(findings) > 0 {
				return printFindings(command, findings)
			}
			command.Printf("%d files, no findings\n", len(arguments))
			return nil
		},
	}
}

func checkFile(file string) []mtfinding.Finding {
	if isSettings(file) {
		return mtdocument.LoadFile(file, mtdocument.Settings, &settingsv1.Settings{})
	}
	_, findings := mtoperator.LoadBundle(file)
	return findings
}

// isSettings reports whether a file has the field "instance", which only settings have. It returns false for a file
// that can't be read or parsed; loading the file reports that fault.
func isSettings(file string) bool {
	data, err := os.ReadFile(file)
	if err != nil {
		return false
	}
	fields := map[string]json.RawMessage{}
	err = json.Unmarshal(data, &fields)
	_, found := fields["instance"]
	return err == nil && found
}

// printFindings prints findings to standard error and returns errFindingsPrinted.
func printFindings(command *cobra.Command, findings []mtfinding.Finding) error {
	for _, finding := range findings {
		fmt.Fprintln(command.ErrOrStderr(), finding)
	}
	return errFindingsPrinted
}

// loadBundle loads a bundle and prints its findings, if any. A bundle without records is an error.
func loadBundle(command *cobra.Command, file string) ([]*recordv1.Record, error) {
	records, findings := mtoperator.LoadBundle(file)
	if len(findings) > 0 {
		return nil, printFindings(command, findings)
	}
	if len(records) == 0 {
		return nil, errors.New(file + ": found no record, expected at least one")
	}
	return records, nil
}
