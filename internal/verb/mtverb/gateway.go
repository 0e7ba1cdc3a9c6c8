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
	"github.com/mangotack/mangotack/internal/adapter/mtsink"
	"github.com/mangotack/mangotack/internal/node/mtgateway"
	"github.com/mangotack/mangotack/platform"
)

const (
	// gatewayCollect lets the heap of a gateway double between collections; memory at its peak has a price there.
	gatewayCollect = 100
	// gatewayProcessors is the number of processors that a gateway uses: its instances have a part of one.
	gatewayProcessors = 1
)

func newGatewayCommand() *cobra.Command {
	file := ""
	command := &cobra.Command{
		Use:   "gateway [--settings FILE]",
		Short: "Run an entry instance on the users' platform until SIGTERM or SIGINT",
		Long: "Runs an entry instance that serves plain HTTP by host and path on the users' platform. Without\n" +
			"--settings, the file is the one that the platform names in the environment.",
		Args: noArguments,
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
	runtime.GOMAXPROCS(gatewayProcessors)
	debug.SetGCPercent(gatewayCollect)
	logger := logrus.New()
	sink := mtsink.NewSink(command.OutOrStdout())
	defer sink.Close()
	logger.SetOutput(sink)
	logger.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: time.RFC3339Nano,
	})
	ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// Without a receiver this signal would end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	gateway, findings, err := platform.NewInstance(file, logger, time.Now())
	if len(findings) > 0 {
		return printFindings(command, findings)
	}
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	gateway.CountDropped(sink.Total)
	go watchSettings(ctx, gateway, file, hangups, logger)
	gateway.Run(ctx)
	return nil
}

// settingsPeriod is the time between two looks at the settings file, which may change without a signal.
const settingsPeriod = 5 * time.Second

// watchSettings reloads the settings file at SIGHUP and when its text has changed.
func watchSettings(ctx context.Context, gateway *mtgateway.Gateway, file string, hangups <-chan os.Signal, logger *logrus.Logger) {
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	last := []byte(nil)
	if text, err := os.ReadFile(file); err == nil {
		last = text
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
		}
		text, err := os.ReadFile(file)
		if err == nil && bytes.Equal(text, last) {
			continue
		}
		last = text
		reload(gateway, file, text, err, logger)
	}
}

func reload(gateway *mtgateway.Gateway, file string, text []byte, err error, logger *logrus.Logger) {
	if err != nil {
		mtevent.SettingsRefused.Log(logger, logrus.Fields{
			"error": err.Error(),
		})
		return
	}
	settings, findings := platform.ParseSettings(file, text)
	if len(findings) > 0 {
		mtevent.SettingsRefused.Log(logger, logrus.Fields{
			"findings": findings,
		})
		return
	}
	gateway.Reload(settings, time.Now())
}
