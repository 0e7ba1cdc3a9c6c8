package mtverb

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/mangotack/mangotack/internal/core/mtrecord"
	"github.com/mangotack/mangotack/internal/verb/mtoperator"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

func newAmendCommand() *cobra.Command {
	flags := &operatorFlags{}
	version := uint64(0)
	command := &cobra.Command{
		Use:     "amend --entry ADDRESS --version NUMBER FILE",
		Short:   "Replace one record that is in force",
		Long:    "Replaces the record in force by the one in a file, shows what changes, and refuses when the\nversion in force is not the one that the operator has seen.",
		Example: "  MANGOTACK_TOKEN=... mangotack amend --entry 127.0.1.100:7200 --version 3 --wait contract.json",
		RunE: func(command *cobra.Command, arguments []string) error {
			if len(arguments) != 1 {
				return usageError{error: fmt.Errorf("amend: found %d arguments, expected FILE", len(arguments))}
			}
			if version == 0 {
				return usageError{error: errors.New("amend: found no --version, expected the version that the file replaces")}
			}
			records, err := loadBundle(command, arguments[0])
			if err != nil {
				return err
			}
			if len(records) != 1 {
				return fmt.Errorf("%s: found %d records, expected one", arguments[0], len(records))
			}
			return flags.amend(command, records[0], version)
		},
	}
	command.Flags().Uint64Var(&version, "version", 0, "version that the file replaces")
	flags.add(command)
	flags.addWait(command)
	return command
}

// amend prints how a record differs from the version in force and publishes it, unless the version in force is not the
// expected one.
func (f *operatorFlags) amend(command *cobra.Command, record *recordv1.Record, version uint64) error {
	status, err := f.status(command)
	if err != nil {
		return err
	}
	key := mtrecord.Key(record)
	current := mtoperator.CurrentVersion(status.GetVersions(), key)
	if current.GetNumber() != version {
		return fmt.Errorf("%s: found version %d in force, expected version %d; read it and amend again",
			key, current.GetNumber(), version)
	}
	difference, err := mtoperator.Diff(current.GetRecord(), record)
	if err != nil {
		return err
	}
	command.Print(difference)
	return f.publish(command, []*recordv1.Record{record}, status.GetVersions())
}
