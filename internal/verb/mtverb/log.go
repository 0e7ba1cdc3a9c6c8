package mtverb

import (
	"fmt"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/mangotack/mangotack/internal/core/mtrecord"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

func newLogCommand() *cobra.Command {
	flags := &operatorFlags{}
	command := &cobra.Command{
		Use:     "log --entry ADDRESS",
		Short:   "Show the changes in force in the order of the platform's log",
		Example: "  MANGOTACK_TOKEN=... mangotack log --entry 127.0.1.100:7200",
		Args:    requireNoArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			status, err := flags.status(command)
			if err != nil {
				return err
			}
			versions := status.GetVersions()
			slices.SortFunc(versions, func(a, b *recordv1.Version) int {
				return int(int64(a.GetOffset()) - int64(b.GetOffset()))
			})
			table := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(table, "OFFSET\tKEY\tVERSION\tID")
			for _, version := range versions {
				fmt.Fprintf(table, "%d\t%s\t%d\t%s\n",
					version.GetOffset(), mtrecord.Key(version.GetRecord()), version.GetNumber(),
					version.GetRecord().GetId())
			}
			return table.Flush()
		},
	}
	flags.add(command)
	return command
}
