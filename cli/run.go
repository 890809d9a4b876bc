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
	// operatorTimeout bounds an operators' command. It leaves room for a change
	// to come into force on all nodes, which takes up to 8 s.
	operatorTimeout = 15 * time.Second
	// stopTimeout bounds a graceful stop. Uploads in flight may take minutes to
	// finish.
	stopTimeout = 10 * time.Minute
)

func serviceName(s string) core.Service { return core.Service(s) }

func nodeCommand() command {
	var file string
	sub := flaggy.NewSubcommand("node")
	sub.Description = "Run a node beside a backend server. SIGTERM stops it gracefully."
	sub.AddPositionalValue(&file, "SETTINGS", 1, true, "Settings file, JSON with comments.")
	return command{sub, func(ctx context.Context, o streams) int { return runNode(ctx, o, file) }}
}

func runNode(ctx context.Context, o streams, file string) int {
	s, err := settings.Load(file)
	if err != nil {
		return printFaults(o, err)
	}
	cfg, err := node.FromSettings(s)
	if err != nil {
		return o.fail(exitFailure, err)
	}
	logWriter := telemetry.NewLog(telemetry.LogConfig{}, o.stderr)
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
	cfg.Log = logWriter.Logger(s.LogLevel)
	n, err := node.New(cfg)
	if err != nil {
		return o.fail(exitFailure, err)
	}
	n.Start()
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := n.Stop(stopCtx); err != nil {
		return o.fail(exitFailure, err)
	}
	return exitOK
}

// printFaults prints one line for each fault of a settings file.
func printFaults(o streams, err error) int {
	faults, ok := err.(settings.Faults)
	if !ok {
		return o.fail(exitUsage, err)
	}
	for _, f := range faults {
		fmt.Fprintln(o.stderr, f.Error())
	}
	return exitUsage
}

func checkCommand() command {
	var file string
	sub := flaggy.NewSubcommand("check")
	sub.Description = "Validate a settings file and list every fault with its line and field."
	sub.AddPositionalValue(&file, "SETTINGS", 1, true, "Settings file, JSON with comments.")
	return command{sub, func(_ context.Context, o streams) int {
		s, err := settings.Load(file)
		if err != nil {
			return printFaults(o, err)
		}
		fmt.Fprintf(o.stdout, "%s: ok, node %s of service %s in %s\n", file, s.Node, s.Service, s.DataCentre)
		return exitOK
	}}
}

func demoCommand() command {
	var calm bool
	seconds := 15
	sub := flaggy.NewSubcommand("demo")
	sub.Description = "Run both deployments on loopback under load and faults, and check the invariants."
	sub.Bool(&calm, "", "calm", "Run without injected faults.")
	sub.Int(&seconds, "", "seconds", "Time in seconds for which load is sent, from 1 to 15.")
	return command{sub, func(ctx context.Context, o streams) int {
		if seconds < 1 || seconds > 15 {
			return o.fail(exitUsage, core.Fail(core.CodeInvalid, "--seconds must be from 1 to 15"))
		}
		err := demo.Run(ctx, demo.Options{Out: o.stdout, WithoutFaults: calm, LoadDuration: time.Duration(seconds) * time.Second})
		if err != nil {
			return o.fail(exitFailure, err)
		}
		return exitOK
	}}
}
