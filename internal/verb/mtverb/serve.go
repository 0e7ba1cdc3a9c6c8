package mtverb

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/mangotack/mangotack/internal/adapter/mtdocument"
	settingsv1 "github.com/mangotack/mangotack/internal/gen/mangotack/settings/v1"
	"github.com/mangotack/mangotack/internal/node/mtnode"
)

const (
	defaultHold      = 10 * time.Second
	defaultStale     = time.Minute
	defaultRetention = 24 * time.Hour
	defaultBody      = 1 << 20
	defaultKeys      = 500_000
	defaultLevel     = "info"
	// gcPercent lets the heap grow to several times what is live, because each collection delays calls on a small instance;
	// memoryLimit makes collections frequent again before the heap is large, in bytes.
	gcPercent   = 2000
	memoryLimit = 192 << 20
)

func newServeCommand() *cobra.Command {
	file := ""
	command := &cobra.Command{
		Use:     "serve --settings FILE",
		Short:   "Run an entry instance until SIGTERM or SIGINT",
		Long:    "Runs an entry instance. At the first SIGTERM or SIGINT it sends callers elsewhere, finishes\nthe calls in flight and ends; at the second it ends at once.",
		Example: "  mangotack serve --settings entry-1.json",
		Args:    noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			return serve(command, file)
		},
	}
	command.Flags().StringVar(&file, "settings", "", "file of settings")
	return command
}

func serve(command *cobra.Command, file string) error {
	if file == "" {
		return usageError{error: errors.New("serve: found no --settings, expected a file")}
	}
	settings := &settingsv1.Settings{}
	if findings := mtdocument.Load(file, mtdocument.Settings, settings); len(findings) > 0 {
		return printFindings(command, findings)
	}
	complete(settings)
	logger := logrus.New()
	logger.SetOutput(command.ErrOrStderr())
	level, err := logrus.ParseLevel(settings.GetLevel())
	if err != nil {
		return err
	}
	logger.SetLevel(level)
	ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
	// After the first signal the handler is gone, so the second ends the process.
	context.AfterFunc(ctx, stop)
	tuneCollector()
	node, err := mtnode.NewNode(settings, logger, time.Now())
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return node.Run(ctx)
}

// tuneCollector sets the garbage collector, unless the environment does.
func tuneCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}

// complete fills in the documented defaults.
func complete(settings *settingsv1.Settings) {
	if settings.Hold == nil {
		settings.Hold = durationpb.New(defaultHold)
	}
	if settings.Stale == nil {
		settings.Stale = durationpb.New(defaultStale)
	}
	if settings.Retention == nil {
		settings.Retention = durationpb.New(defaultRetention)
	}
	if settings.Body == 0 {
		settings.Body = defaultBody
	}
	if settings.Keys == 0 {
		settings.Keys = defaultKeys
	}
	if settings.Level == "" {
		settings.Level = defaultLevel
	}
}
