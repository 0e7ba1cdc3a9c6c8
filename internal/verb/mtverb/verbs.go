package mtverb

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// The exit codes of the program.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// The groups under which help lists the commands.
const (
	verbGroup  = "verbs"
	topicGroup = "topics"
)

// verbs lists the functions that build the commands of all verbs.
var verbs = []func() *cobra.Command{
	newAmendCommand,
	newCheckCommand,
	newExplainCommand,
	newGatewayCommand,
	newHashCommand,
	newLogCommand,
	newMarkCommand,
	newPublishCommand,
	newResolveCommand,
	newServeCommand,
	newStatusCommand,
	newVersionCommand,
}

// errFindingsPrinted ends a verb that has already printed its findings; Run prints nothing more.
var errFindingsPrinted = errors.New("findings were printed")

// usageError is an error in the command line; the program ends with exitUsage.
type usageError struct {
	error
}

// Run runs the program with its arguments and returns its exit code.
func Run(arguments []string, stdout, stderr io.Writer) int {
	root := newRootCommand()
	root.SetArgs(arguments)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	if !errors.Is(err, errFindingsPrinted) {
		fmt.Fprintln(stderr, "mangotack:", err)
	}
	var usage usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailure
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "mangotack",
		Short:         "A load balancer for servers whose load shifts in milliseconds",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args: func(_ *cobra.Command, arguments []string) error {
			if len(arguments) > 0 {
				return usageError{error: fmt.Errorf("verb: found %q, expected one that \"mangotack help\" lists", arguments[0])}
			}
			return nil
		},
		RunE: func(command *cobra.Command, _ []string) error {
			return command.Help()
		},
	}
	root.SetFlagErrorFunc(func(command *cobra.Command, err error) error {
		return usageError{error: fmt.Errorf("%s: %w; see \"mangotack help %s\"", command.Name(), err, command.Name())}
	})
	root.AddGroup(&cobra.Group{ID: verbGroup, Title: "Verbs:"}, &cobra.Group{ID: topicGroup, Title: "Topics:"})
	for _, newCommand := range verbs {
		command := newCommand()
		command.GroupID = verbGroup
		root.AddCommand(command)
	}
	for _, topic := range topics {
		root.AddCommand(topic.command())
	}
	return root
}

// requireFiles refuses a command line without a file.
func requireFiles(command *cobra.Command, arguments []string) error {
	if len(arguments) == 0 {
		return usageError{error: fmt.Errorf("%s: found no FILE, expected at least one", command.Name())}
	}
	return nil
}

// requireNoArguments refuses a command line with any argument.
func requireNoArguments(command *cobra.Command, arguments []string) error {
	if len(arguments) > 0 {
		return usageError{error: fmt.Errorf("%s: found argument %q, expected none", command.Name(), arguments[0])}
	}
	return nil
}
