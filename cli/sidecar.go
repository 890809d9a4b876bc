package cli

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/integrii/flaggy"

	"marjoramshore.example/platform"
	"marjoramshore.example/sidecar"
	"marjoramshore.example/telemetry"
)

const (
	// sidecarGCPercent is the heap growth, in percent, that starts a garbage
	// collection. It is low because the price depends on peak memory, and a
	// collection of a heap of a few MB takes less than a millisecond.
	sidecarGCPercent = 50
	// logLinesPerWindow bounds the log lines of one kind in each logWindow. A node
	// logs the reason for each failed request up to this rate, and counts the
	// rest.
	logLinesPerWindow = 40
	logWindow         = 1e9 // one second in nanoseconds
)

func sidecarCommand() command {
	var metricsAddr, advertise string
	level := "info"
	sub := flaggy.NewSubcommand("sidecar")
	sub.Description = "Run a node beside a backend server on the users' platform, which names the settings file in " +
		platform.SettingsVariable + ". SIGTERM stops it gracefully."
	sub.String(&metricsAddr, "m", "metrics", "Address (host:port) that serves /metrics; the host defaults to the node's own.")
	sub.String(&advertise, "a", "advertise", "Host that other nodes connect to, if it is not the node's own.")
	sub.String(&level, "l", "level", "Minimum level of log lines: debug, info, warn or error.")
	return command{sub, func(ctx context.Context, o streams) int { return runSidecar(ctx, o, metricsAddr, advertise, level) }}
}

func runSidecar(ctx context.Context, o streams, metricsAddr, advertise, level string) int {
	// Ignored here because SIGHUP would end the process until the settings are
	// watched.
	signal.Ignore(syscall.SIGHUP)
	debug.SetGCPercent(sidecarGCPercent)
	settingsPath := os.Getenv(platform.SettingsVariable)
	settings, err := platform.LoadSettings(settingsPath)
	if err != nil {
		return o.fail(exitUsage, err)
	}
	debug.SetMemoryLimit(sidecar.RuntimeMemory(settings))
	if metricsAddr != "" && metricsAddr[0] == ':' {
		metricsAddr = settings.IP + metricsAddr
	}
	logWriter := telemetry.NewLog(telemetry.LogConfig{Window: logWindow, PerWindow: logLinesPerWindow}, o.stdout)
	logCtx, stopLog := context.WithCancel(context.Background())
	logDone := make(chan struct{})
	go func() {
		defer close(logDone)
		logWriter.Run(logCtx)
	}()
	defer func() {
		stopLog()
		<-logDone
	}()
	n, err := sidecar.New(sidecar.Config{Settings: settings, Path: settingsPath, Log: logWriter.Logger(level), MetricsAddr: metricsAddr, Advertise: advertise})
	if err != nil {
		return o.fail(exitFailure, err)
	}
	if err := n.Start(); err != nil {
		return o.fail(exitFailure, err)
	}
	<-ctx.Done()
	n.Stop()
	return exitOK
}
