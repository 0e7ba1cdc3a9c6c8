package mtverb

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"

	entryv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1"
)

func newStatusCommand() *cobra.Command {
	flags := &operatorFlags{}
	asJSON := false
	command := &cobra.Command{
		Use:     "status --entry ADDRESS",
		Short:   "Show the instances and endpoints as one entry instance sees them",
		Example: "  MANGOTACK_TOKEN=... mangotack status --entry 127.0.1.100:7200",
		Args:    requireNoArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			status, err := flags.status(command)
			if err != nil {
				return err
			}
			if asJSON {
				text, err := protojson.MarshalOptions{Multiline: true}.Marshal(status)
				command.Println(string(text))
				return err
			}
			printStatus(command, status)
			return nil
		},
	}
	flags.add(command)
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON in place of tables")
	return command
}

func printStatus(command *cobra.Command, status *entryv1.StatusResponse) {
	command.Printf("instance %s, ready %t, log applied up to offset %d, %d keys of records\n\n",
		status.GetInstance(), status.GetReady(), status.GetApplied(), len(status.GetVersions()))
	table := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ENTRY\tCENTRE\tCALLS\tSTATE\tAPPLIED\tSILENT")
	for _, instance := range status.GetInstances() {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\n", instance.GetName(), instance.GetCentre(), instance.GetCalls(),
			instance.GetState(), instance.GetApplied(), instance.GetAge().AsDuration().Round(time.Millisecond))
	}
	_ = table.Flush()
	command.Println()
	fmt.Fprintln(table, "ENDPOINT\tSERVICE\tCENTRE\tSTATE\tOWN\tBUSY\tREPORT AGE\tLEAD")
	for _, endpoint := range status.GetEndpoints() {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%.1f\t%s\t%s\n",
			endpoint.GetName(), endpoint.GetService(), endpoint.GetCentre(), endpoint.GetState(),
			endpoint.GetInflight(), endpoint.GetRunning(), reportAge(endpoint), endpoint.GetLead())
	}
	_ = table.Flush()
}

// reportAge returns the age of an endpoint's last load report as text.
func reportAge(endpoint *entryv1.EndpointStatus) string {
	if endpoint.GetAge() == nil {
		return "none"
	}
	return endpoint.GetAge().AsDuration().Round(time.Millisecond).String()
}
