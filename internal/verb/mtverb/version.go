package mtverb

import (
	"runtime/debug"

	"github.com/spf13/cobra"
)

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Show the version of the program",
		Example: "  mangotack version",
		Args:    requireNoArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			version := "unknown"
			if info, found := debug.ReadBuildInfo(); found {
				version = info.Main.Version
			}
			command.Println("mangotack", version)
			return nil
		},
	}
}
