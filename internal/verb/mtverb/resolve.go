package mtverb

import (
	"errors"
	"fmt"
	"os"
	"text/tabwriter"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"github.com/mangotack/mangotack/internal/adapter/mtauth"
	"github.com/mangotack/mangotack/internal/adapter/mtresponseguard"
	entryv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1"
	"github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1/entryv1connect"
)

func newResolveCommand() *cobra.Command {
	entry, centre := "", ""
	command := &cobra.Command{
		Use:     "resolve --entry ADDRESS SERVICE",
		Short:   "Show which entry instances a team should use for a service",
		Long:    "Asks an entry instance as a caller would, with a team's token in MANGOTACK_TOKEN.",
		Example: "  MANGOTACK_TOKEN=... mangotack resolve --entry 127.0.1.100:7100 kilele.menu.v1.MenuService",
		RunE: func(command *cobra.Command, arguments []string) error {
			if entry == "" {
				return usageError{error: errors.New("resolve: found no --entry, expected the address for callers of an entry instance")}
			}
			if len(arguments) != 1 {
				return usageError{error: fmt.Errorf("resolve: found %d arguments, expected SERVICE", len(arguments))}
			}
			return resolve(command, entry, centre, arguments[0])
		},
	}
	command.Flags().StringVar(&entry, "entry", "", "address for callers of an entry instance, an IP number and a port")
	command.Flags().StringVar(&centre, "centre", "", "data centre of the caller")
	return command
}

func resolve(command *cobra.Command, entry, centre, service string) error {
	request := connect.NewRequest(&entryv1.ResolveRequest{
		Service: service,
		Centre:  centre,
	})
	mtauth.SetBearerToken(request.Header(), os.Getenv(tokenEnvVariable))
	response, err := entryv1connect.NewResolveServiceClient(mtresponseguard.NewClient(), "http://"+entry).
		Resolve(command.Context(), request)
	if err != nil {
		return withoutCode(err)
	}
	command.Printf("hold for %s\n", response.Msg.GetHold().AsDuration())
	table := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ENTRY\tCENTRE\tCALLS\tTICKET")
	for _, address := range response.Msg.GetAddresses() {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n",
			address.GetInstance(), address.GetCentre(), address.GetCalls(), address.GetTicket())
	}
	return table.Flush()
}
