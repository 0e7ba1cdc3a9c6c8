package mtverb

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/adapter/mthangup"
	"github.com/mangotack/mangotack/internal/adapter/mtlogsink"
	"github.com/mangotack/mangotack/internal/node/mtgateway"
	"github.com/mangotack/mangotack/platform"
)

const (
	// gatewayGCPercent lets the heap of a gateway double between collections; a higher value would raise its peak
	// memory, which has a price on the users' platform.
	gatewayGCPercent = 100
	// gatewayMaxProcs is the GOMAXPROCS of a gateway, whose instance has only a fraction of one processor.
	gatewayMaxProcs = 1
)

func newGatewayCommand() *cobra.Command {
	file := ""
	command := &cobra.Command{
		Use:   "gateway [--settings FILE]",
		Short: "Run an entry instance on the users' platform until SIGTERM or SIGINT",
		Long: "Runs an entry instance that serves plain HTTP by host and path on the users' platform. Without\n" +
			"--settings, the file is the one that the platform names in the environment.",
		Args: requireNoArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			return runGateway(command, file)
		},
	}
	command.Flags().StringVar(&file, "settings", "", "file of settings in the platform's format")
	return command
}

func runGateway(command *cobra.Command, file string) error {
	if file == "" {
		file = platform.SettingsPath()
	}
	runtime.GOMAXPROCS(gatewayMaxProcs)
	debug.SetGCPercent(gatewayGCPercent)
	logger := logrus.New()
	sink := mtlogsink.NewSink(command.OutOrStdout())
	defer sink.Close()
	logger.SetOutput(sink)
	logger.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: time.RFC3339Nano,
	})
	ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	gateway, findings, err := platform.NewGateway(file, logger, time.Now())
	if len(findings) > 0 {
		return printFindings(command, findings)
	}
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	// The collector runs sooner when the memory is short; otherwise the heap doubles between collections.
	debug.SetMemoryLimit(gateway.MemoryLimit())
	gateway.RegisterDroppedLines(sink.DroppedLines)
	go watchSettings(ctx, gateway, file, mthangup.Signals(), logger)
	gateway.Run(ctx)
	return nil
}

// settingsPollInterval is the time between two checks of the settings file, which may change without a SIGHUP.
const settingsPollInterval = 5 * time.Second

// watchSettings reads the settings file at each SIGHUP and every settingsPollInterval, and reloads it when its text has
// changed or it can't be read.
func watchSettings(
	ctx context.Context, gateway *mtgateway.Gateway, file string, hangups <-chan os.Signal, logger *logrus.Logger,
) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastText := []byte(nil)
	if text, err := os.ReadFile(file); err == nil {
		lastText = text
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
		}
		text, err := os.ReadFile(file)
		if err == nil && bytes.Equal(text, lastText) {
			continue
		}
		lastText = text
		reloadSettings(gateway, file, text, err, logger)
	}
}

// reloadSettings applies the text of the settings file to the gateway; text that is invalid, or couldn't be read
// because of err, is logged and changes nothing.
func reloadSettings(gateway *mtgateway.Gateway, file string, text []byte, err error, logger *logrus.Logger) {
	if err != nil {
		mtevent.SettingsInvalid.Log(logger, logrus.Fields{
			"error": err.Error(),
		})
		return
	}
	settings, findings := platform.ParseSettings(file, text)
	if len(findings) > 0 {
		mtevent.SettingsInvalid.Log(logger, logrus.Fields{
			"findings": findings,
		})
		return
	}
	gateway.Reload(settings, time.Now())
}
