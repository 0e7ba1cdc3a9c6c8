package mtstandinverb

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"syscall"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/mangotack/mangotack/internal/adapter/mtdocument"
	settingsv1 "github.com/mangotack/mangotack/internal/gen/mangotack/settings/v1"
	standinv1 "github.com/mangotack/mangotack/internal/gen/mangotack/standin/v1"
	"github.com/mangotack/mangotack/internal/gen/mangotack/standin/v1/standinv1connect"
	"github.com/mangotack/mangotack/internal/standin/mtstandin"
)

// subcommands are the constructors of all subcommands. Their argument is the file name of the settings, which is set
// when the flags are parsed.
var subcommands = []func(settingsFile *string) *cobra.Command{
	newServeCommand,
	newLoadCommand,
	newLogCommand,
	newEndpointCommand,
	newVerdictCommand,
	newRelayCommand,
}

// Run runs the program with its arguments and returns its exit code.
func Run(arguments []string, stdout, stderr io.Writer) int {
	settingsFile := ""
	root := &cobra.Command{
		Use:           "mangotack-standin",
		Short:         "Stand-ins for the platform, the endpoints and the callers",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.PersistentFlags().StringVar(&settingsFile, "settings", "", "file of settings")
	for _, newCommand := range subcommands {
		root.AddCommand(newCommand(&settingsFile))
	}
	root.SetArgs(arguments)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(stderr, "mangotack-standin:", err)
		return 1
	}
	return 0
}

// loadSettings reads the settings from a file; the error lists all findings.
func loadSettings(file string) (*settingsv1.Standin, error) {
	settings := &settingsv1.Standin{}
	findings := mtdocument.LoadFile(file, mtdocument.Standin, settings)
	errs := make([]error, len(findings))
	for i, finding := range findings {
		errs[i] = errors.New(finding.String())
	}
	return settings, errors.Join(errs...)
}

func newServeCommand(settingsFile *string) *cobra.Command {
	return &cobra.Command{
		Use:   "serve",
		Short: "Run the platform and the endpoints until SIGTERM or SIGINT",
		RunE: func(_ *cobra.Command, _ []string) error {
			settings, err := loadSettings(*settingsFile)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return mtstandin.NewStandin(settings).Run(ctx)
		},
	}
}

// newSwitchClient returns a client of the service that switches the faults of the running stand-ins.
func newSwitchClient(file string) (standinv1connect.SwitchServiceClient, error) {
	settings, err := loadSettings(file)
	if err != nil {
		return nil, err
	}
	return standinv1connect.NewSwitchServiceClient(http.DefaultClient, "http://"+settings.GetPlatform()), nil
}

func newLogCommand(settingsFile *string) *cobra.Command {
	request := &standinv1.SetLogRequest{}
	command := &cobra.Command{
		Use:   "log",
		Short: "Replace the behaviour of the log",
	}
	command.Flags().BoolVar(&request.Out, "out", false, "fail each request")
	command.Flags().BoolVar(&request.Lose, "lose", false, "lose the answers of appends")
	requestDelay := command.Flags().Duration("slow", 0, "delay each request")
	command.RunE = func(command *cobra.Command, _ []string) error {
		request.Slow = durationpb.New(*requestDelay)
		client, err := newSwitchClient(*settingsFile)
		if err != nil {
			return err
		}
		_, err = client.SetLog(command.Context(), connect.NewRequest(request))
		return err
	}
	return command
}

func newEndpointCommand(settingsFile *string) *cobra.Command {
	request := &standinv1.SetEndpointRequest{}
	command := &cobra.Command{
		Use:   "endpoint NAME",
		Short: "Replace the behaviour of an endpoint",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			request.Name = arguments[0]
			client, err := newSwitchClient(*settingsFile)
			if err != nil {
				return err
			}
			_, err = client.SetEndpoint(command.Context(), connect.NewRequest(request))
			return err
		},
	}
	command.Flags().Float64Var(&request.Slower, "slower", 0, "multiply the service time")
	command.Flags().BoolVar(&request.Fail, "fail", false, "fail each call at once")
	command.Flags().BoolVar(&request.Shed, "shed", false, "refuse each call before it runs")
	command.Flags().BoolVar(&request.Silent, "silent", false, "make the open connections go silent")
	command.Flags().BoolVar(&request.Cold, "cold", false, "be slow for two seconds, as after a start")
	command.Flags().BoolVar(&request.Leaving, "leaving", false, "count new work from 3 s after now on")
	return command
}
