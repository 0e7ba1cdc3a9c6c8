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
	"github.com/mangotack/mangotack/internal/core/mtmemory"
	settingsv1 "github.com/mangotack/mangotack/internal/gen/mangotack/settings/v1"
	"github.com/mangotack/mangotack/internal/node/mtnode"
)

const (
	defaultResolveTTL   = 10 * time.Second
	defaultMaxStaleness = time.Minute
	defaultLogRetention = 24 * time.Hour
	defaultMaxBodyBytes = 1 << 20
	defaultMaxKeys      = 500_000
	defaultLogLevel     = "info"
	// serveGCPercent lets the heap grow to several times the live heap, because each collection delays calls on a small
	// instance.
	serveGCPercent = 2000
	// defaultMemoryMB is large enough for the default limits. The runtime's limit that follows from it makes collections frequent
	// again before the heap is large.
	defaultMemoryMB    = 256
	defaultDescriptors = 8192
)

func newServeCommand() *cobra.Command {
	file := ""
	command := &cobra.Command{
		Use:     "serve --settings FILE",
		Short:   "Run an entry instance until SIGTERM or SIGINT",
		Long:    "Runs an entry instance. At the first SIGTERM or SIGINT it sends callers elsewhere, finishes\nthe calls in flight and ends; at the second it ends at once.",
		Example: "  mangotack serve --settings entry-1.json",
		Args:    requireNoArguments,
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
	if findings := mtdocument.LoadFile(file, mtdocument.Settings, settings); len(findings) > 0 {
		return printFindings(command, findings)
	}
	applyDefaults(settings)
	logger := logrus.New()
	logger.SetOutput(command.ErrOrStderr())
	level, err := logrus.ParseLevel(settings.GetLevel())
	if err != nil {
		return err
	}
	logger.SetLevel(level)
	ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
	// The handler is removed after the first signal, so that the second ends the process.
	context.AfterFunc(ctx, stop)
	tuneGarbageCollector(mtmemory.Divide(float64(settings.GetMemory()), int(settings.GetDescriptors())).Runtime)
	node, err := mtnode.NewNode(settings, logger, time.Now())
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return node.Run(ctx)
}

// tuneGarbageCollector sets the percentage and the memory limit of the garbage collector, unless GOGC and GOMEMLIMIT
// set them.
func tuneGarbageCollector(limitBytes int64) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(serveGCPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(limitBytes)
	}
}

// applyDefaults sets the documented defaults of settings that are missing.
func applyDefaults(settings *settingsv1.Settings) {
	if settings.Hold == nil {
		settings.Hold = durationpb.New(defaultResolveTTL)
	}
	if settings.Stale == nil {
		settings.Stale = durationpb.New(defaultMaxStaleness)
	}
	if settings.Retention == nil {
		settings.Retention = durationpb.New(defaultLogRetention)
	}
	if settings.Body == 0 {
		settings.Body = defaultMaxBodyBytes
	}
	if settings.Keys == 0 {
		settings.Keys = defaultMaxKeys
	}
	if settings.Memory == 0 {
		settings.Memory = defaultMemoryMB
	}
	if settings.Descriptors == 0 {
		settings.Descriptors = defaultDescriptors
	}
	if settings.Level == "" {
		settings.Level = defaultLogLevel
	}
}
