package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/integrii/flaggy"

	"marjoramshore.example/operator"
)

// Exit codes of the commands that do not call the operators' API.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// streams holds the standard streams that a command writes to.
type streams struct{ stdout, stderr io.Writer }

// fail prints err to stderr and returns code.
func (o streams) fail(code int, err error) int {
	fmt.Fprintln(o.stderr, "marjoramshore:", err)
	return code
}

// command is one subcommand with its flags, and the function that runs it and
// returns the exit code.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context, o streams) int
}

// Run parses args, runs one command and returns the exit code. On wrong usage,
// it prints one line and ends the process with code 2.
func Run(args []string, out, errOut io.Writer) int {
	parser := flaggy.NewParser("marjoramshore")
	parser.Description = "Router for servers that own keys exclusively."
	parser.ShowVersionWithVersionFlag = false
	parser.ShowCompletion = false
	_ = parser.SetHelpTemplate("{{if .Message}}marjoramshore: {{.Message}}\n{{else}}" + flaggy.DefaultHelpTemplate + "{{end}}")
	commands := []command{
		nodeCommand(), checkCommand(), demoCommand(), loadCommand(), capacityCommand(), versionCommand(), sidecarCommand(),
		standinStoreCommand(), standinBackendCommand(), soakCommand(),
	}
	commands = append(commands, operatorCommands()...)
	for _, c := range commands {
		parser.AttachSubcommand(c.sub, 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		return streams{out, errOut}.fail(exitUsage, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// A second interrupt ends the process immediately, because a graceful stop
	// may take minutes, for example when the whole fleet and the store are
	// stopped. A second SIGTERM does not, because a platform may send it
	// repeatedly.
	defer context.AfterFunc(ctx, func() { signal.Reset(os.Interrupt) })()
	for _, c := range commands {
		if c.sub.Used {
			return c.run(ctx, streams{out, errOut})
		}
	}
	parser.ShowHelp()
	return exitUsage
}

func versionCommand() command {
	sub := flaggy.NewSubcommand("version")
	sub.Description = "Print the version of the binary."
	return command{sub, func(_ context.Context, o streams) int {
		version, goVersion := "devel", "unknown"
		if info, ok := debug.ReadBuildInfo(); ok {
			goVersion = info.GoVersion
			if v := info.Main.Version; v != "" && v != "(devel)" {
				version = v
			}
		}
		fmt.Fprintf(o.stdout, "marjoramshore %s (%s)\n", version, goVersion)
		return exitOK
	}}
}

// operatorCommands returns the commands that call the operators' API of a node.
func operatorCommands() []command {
	specs := []struct{ name, arg, description string }{
		{"apply", "FILE", "Plan the declaration in FILE and show the plan. Nothing changes until it is confirmed."},
		{"plan", "ID", "Show a plan that was made on this node and is still kept."},
		{"confirm", "PLAN", "Put a plan in force, given by its ID or by the file that apply wrote."},
		{"status", "", "Show a node, its group and which revision is in force."},
		{"explain", "KEY", "Show which node owns a key, with which fencing token, and why."},
		{"history", "", "List events and accepted changes."},
		{"drain", "NODE", "Move all keys away from a node."},
		{"undrain", "NODE", "End a drain."},
		{"quarantine", "FINGERPRINT", "Refuse requests with a fingerprint, or end that with --lift."},
		{"burn", "", "Report service levels and how fast their error budgets are used up."},
	}
	commands := make([]command, 0, len(specs))
	for _, spec := range specs {
		commands = append(commands, operatorCommand(spec.name, spec.arg, spec.description))
	}
	return commands
}

func operatorCommand(name, arg, description string) command {
	c := &operator.Command{Name: name, URL: "http://127.0.0.1:18002", Timeout: operatorTimeout}
	var service string
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	if arg != "" {
		sub.AddPositionalValue(&c.Argument, arg, 1, true, description)
	}
	sub.String(&c.URL, "u", "url", "URL of the operators' API of any node.")
	sub.String(&c.Token, "t", "token", "Bearer token; default is the environment variable MARJORAMSHORE_TOKEN.")
	sub.Duration(&c.Timeout, "", "timeout", "Time limit of the command.")
	sub.Bool(&c.JSON, "j", "json", "Print JSON instead of text.")
	switch name {
	case "explain", "drain", "undrain", "quarantine":
		sub.String(&service, "s", "service", "Service; default is the service of the node.")
	case "history":
		sub.Int(&c.Limit, "n", "limit", "Maximum number of events, and likewise of changes.")
	case "burn":
		sub.String(&c.HTMLFile, "", "html", "Write the report as a self-contained HTML page to this file.")
	case "apply":
		sub.String(&c.PlanFile, "o", "out", "Write the plan to this file.")
	}
	if name == "quarantine" {
		sub.Bool(&c.Lift, "", "lift", "End the quarantine instead of starting it.")
	}
	if name == "confirm" || name == "drain" || name == "undrain" || name == "quarantine" {
		sub.String(&c.By, "", "by", "Who asks for the change.")
		sub.String(&c.Cause, "", "cause", "Why the change is made.")
	}
	return command{sub, func(ctx context.Context, o streams) int {
		c.Service = serviceName(service)
		if c.Token == "" {
			c.Token = os.Getenv("MARJORAMSHORE_TOKEN")
		}
		return c.Run(ctx, o.stdout, o.stderr)
	}}
}
