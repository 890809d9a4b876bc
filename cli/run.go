package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/integrii/flaggy"

	"marjoramshore.example/core"
	"marjoramshore.example/demo"
	"marjoramshore.example/node"
	"marjoramshore.example/settings"
	"marjoramshore.example/telemetry"
)

const (
	// defaultTimeout of an operators' command leaves room for a change to be
	// in force everywhere within 8 s.
	defaultTimeout = 15 * time.Second
	// stopTimeout bounds a graceful stop. Uploads in flight may take minutes.
	stopTimeout = 10 * time.Minute
)

func serviceName(s string) core.Service { return core.Service(s) }

func nodeCommand() command {
	var file string
	sub := flaggy.NewSubcommand("node")
	sub.Description = "Run the process beside a backend server. SIGTERM stops it gracefully."
	sub.AddPositionalValue(&file, "SETTINGS", 1, true, "Settings file, JSON with comments.")
	return command{sub, func(ctx context.Context, o output) int { return runNode(ctx, o, file) }}
}

func runNode(ctx context.Context, o output, file string) int {
	s, err := settings.Load(file)
	if err != nil {
		return faults(o, err)
	}
	cfg, err := node.FromSettings(s)
	if err != nil {
		return o.fail(exitFail, err)
	}
	logs := telemetry.NewLog(telemetry.LogConfig{}, o.err)
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
	cfg.Log = logs.Logger(s.LogLevel)
	n, err := node.New(cfg)
	if err != nil {
		return o.fail(exitFail, err)
	}
	n.Start()
	<-ctx.Done()
	stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := n.Stop(stop); err != nil {
		return o.fail(exitFail, err)
	}
	return exitOK
}

// faults prints one line for each fault of a settings file.
func faults(o output, err error) int {
	list, ok := err.(settings.Faults)
	if !ok {
		return o.fail(exitUsage, err)
	}
	for _, f := range list {
		fmt.Fprintln(o.err, f.Error())
	}
	return exitUsage
}

func checkCommand() command {
	var file string
	sub := flaggy.NewSubcommand("check")
	sub.Description = "Validate a settings file and list every fault with its line and field."
	sub.AddPositionalValue(&file, "SETTINGS", 1, true, "Settings file, JSON with comments.")
	return command{sub, func(_ context.Context, o output) int {
		s, err := settings.Load(file)
		if err != nil {
			return faults(o, err)
		}
		fmt.Fprintf(o.out, "%s: ok, node %s of service %s in %s\n", file, s.Node, s.Service, s.DataCentre)
		return exitOK
	}}
}

func demoCommand() command {
	var calm bool
	seconds := 15
	sub := flaggy.NewSubcommand("demo")
	sub.Description = "Run both deployments on loopback under load and faults, and check the invariants."
	sub.Bool(&calm, "", "calm", "Inject no faults.")
	sub.Int(&seconds, "", "seconds", "Time for which load is sent, at most 15.")
	return command{sub, func(ctx context.Context, o output) int {
		if seconds < 1 || seconds > 15 {
			return o.fail(exitUsage, core.Fail(core.CodeInvalid, "--seconds must be from 1 to 15"))
		}
		err := demo.Run(ctx, demo.Options{Out: o.out, WithoutFaults: calm, LoadDuration: time.Duration(seconds) * time.Second})
		if err != nil {
			return o.fail(exitFail, err)
		}
		return exitOK
	}}
}
