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
	// sidecarHeap is the growth of the heap in percent before a collection.
	// Memory at its peak is priced, and a collection of a heap of a few MB
	// takes under a millisecond.
	sidecarHeap = 50
	// Lines of one kind in a second. A node writes the reason for each failed
	// request up to this rate, and counts the rest.
	logPerWindow = 40
	logWindow    = 1e9 // one second in nanoseconds
)

func sidecarCommand() command {
	var metricsAddr, advertise string
	level := "info"
	sub := flaggy.NewSubcommand("sidecar")
	sub.Description = "Run the process beside a backend server on the users' platform, which names the settings file in " +
		platform.SettingsVariable + ". SIGTERM stops it gracefully."
	sub.String(&metricsAddr, "m", "metrics", "host:port that serves /metrics; a missing host is the node's own.")
	sub.String(&advertise, "a", "advertise", "Host by which other nodes reach this one, when it is not the node's own.")
	sub.String(&level, "l", "level", "Least level of log lines: debug, info, warn or error.")
	return command{sub, func(ctx context.Context, o output) int { return runSidecar(ctx, o, metricsAddr, advertise, level) }}
}

func runSidecar(ctx context.Context, o output, metricsAddr, advertise, level string) int {
	// Until the settings are watched, a hangup would end the process.
	signal.Ignore(syscall.SIGHUP)
	debug.SetGCPercent(sidecarHeap)
	path := os.Getenv(platform.SettingsVariable)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return o.fail(exitUsage, err)
	}
	if metricsAddr != "" && metricsAddr[0] == ':' {
		metricsAddr = settings.IP + metricsAddr
	}
	logs := telemetry.NewLog(telemetry.LogConfig{Window: logWindow, PerWindow: logPerWindow}, o.out)
	logCtx, stopLog := context.WithCancel(context.Background())
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		logs.Run(logCtx)
	}()
	defer func() {
		stopLog()
		<-logged
	}()
	n, err := sidecar.New(sidecar.Config{Settings: settings, Path: path, Log: logs.Logger(level), MetricsAddr: metricsAddr, Advertise: advertise})
	if err != nil {
		return o.fail(exitFail, err)
	}
	if err := n.Start(); err != nil {
		return o.fail(exitFail, err)
	}
	<-ctx.Done()
	n.Stop()
	return exitOK
}
