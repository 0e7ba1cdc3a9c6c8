package mtverb

import (
	"errors"

	"github.com/spf13/cobra"

	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

func newMarkCommand() *cobra.Command {
	flags := &operatorFlags{}
	leaving, joining := false, false
	command := &cobra.Command{
		Use:     "mark --entry ADDRESS (--leaving | --joining) NAME...",
		Short:   "Mark endpoints or entry instances as leaving or joining",
		Long:    "Marks endpoints or entry instances. One that is marked as leaving receives no new work and\nfinishes what it has.",
		Example: "  MANGOTACK_TOKEN=... mangotack mark --entry 127.0.1.100:7200 --leaving --wait menu-03",
		RunE: func(command *cobra.Command, arguments []string) error {
			if leaving == joining {
				return usageError{error: errors.New("mark: expected one of --leaving and --joining")}
			}
			if len(arguments) == 0 {
				return usageError{error: errors.New("mark: found no NAME, expected at least one")}
			}
			var records []*recordv1.Record
			for _, name := range arguments {
				records = append(records, &recordv1.Record{
					Body: &recordv1.Record_Mark{
						Mark: &recordv1.Mark{
							Instance: name,
							Leaving:  leaving,
						},
					},
				})
			}
			status, err := flags.status(command)
			if err != nil {
				return err
			}
			return flags.publish(command, records, status.GetVersions())
		},
	}
	command.Flags().BoolVar(&leaving, "leaving", false, "the instances receive no new work")
	command.Flags().BoolVar(&joining, "joining", false, "the instances receive work again")
	flags.add(command)
	flags.addWait(command)
	return command
}
