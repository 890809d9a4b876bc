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

// Exit codes of the commands that do not talk to an operators' API.
const (
	exitOK    = 0
	exitFail  = 1
	exitUsage = 2
)

// output is where a command writes.
type output struct{ out, err io.Writer }

func (o output) fail(code int, err error) int {
	fmt.Fprintln(o.err, "marjoramshore:", err)
	return code
}

// command is one subcommand: its flags and what it runs.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context, o output) int
}

// Run parses args, runs one command and returns the exit code. Wrong usage
// prints one line and ends the process with code 2.
func Run(args []string, out, errOut io.Writer) int {
	p := flaggy.NewParser("marjoramshore")
	p.Description = "Router for servers that own keys exclusively."
	p.ShowVersionWithVersionFlag = false
	p.ShowCompletion = false
	_ = p.SetHelpTemplate("{{if .Message}}marjoramshore: {{.Message}}\n{{else}}" + flaggy.DefaultHelpTemplate + "{{end}}")
	commands := []command{
		nodeCommand(), checkCommand(), demoCommand(), loadCommand(), capacityCommand(), versionCommand(), sidecarCommand(),
		standinStoreCommand(), standinBackendCommand(), soakCommand(),
	}
	commands = append(commands, operatorCommands()...)
	for _, c := range commands {
		p.AttachSubcommand(c.sub, 1)
	}
	if err := p.ParseArgs(args); err != nil {
		return output{out, errOut}.fail(exitUsage, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// A second interrupt ends the process at once: a graceful stop may wait for
	// minutes, for example when the whole fleet and the store are stopped. A
	// second SIGTERM does not, since a platform may repeat it.
	defer context.AfterFunc(ctx, func() { signal.Reset(os.Interrupt) })()
	for _, c := range commands {
		if c.sub.Used {
			return c.run(ctx, output{out, errOut})
		}
	}
	p.ShowHelp()
	return exitUsage
}

func versionCommand() command {
	sub := flaggy.NewSubcommand("version")
	sub.Description = "Print the version of the binary."
	return command{sub, func(_ context.Context, o output) int {
		version, goVersion := "devel", "unknown"
		if info, ok := debug.ReadBuildInfo(); ok {
			goVersion = info.GoVersion
			if v := info.Main.Version; v != "" && v != "(devel)" {
				version = v
			}
		}
		fmt.Fprintf(o.out, "marjoramshore %s (%s)\n", version, goVersion)
		return exitOK
	}}
}

// operatorCommands are the commands that talk to a node's operators' API.
func operatorCommands() []command {
	list := []struct{ name, arg, description string }{
		{"apply", "FILE", "Plan the declaration in FILE. Nothing changes."},
		{"plan", "ID", "Show a plan that this node keeps."},
		{"confirm", "PLAN", "Put a plan in force: its id, or the file that apply wrote."},
		{"status", "", "Show a node, its group and what is in force."},
		{"explain", "KEY", "Say who owns a key, under which token, and why."},
		{"history", "", "List events and accepted changes."},
		{"drain", "NODE", "Move all keys away from a node."},
		{"undrain", "NODE", "End a drain."},
		{"quarantine", "FINGERPRINT", "Refuse requests with a fingerprint, or lift it."},
		{"burn", "", "Report how fast service levels are used up."},
	}
	out := make([]command, 0, len(list))
	for _, x := range list {
		out = append(out, operatorCommand(x.name, x.arg, x.description))
	}
	return out
}

func operatorCommand(name, arg, description string) command {
	c := &operator.Command{Name: name, URL: "http://127.0.0.1:18002", Timeout: defaultTimeout}
	var service string
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	if arg != "" {
		sub.AddPositionalValue(&c.Argument, arg, 1, true, description)
	}
	sub.String(&c.URL, "u", "url", "Operators' address of any node.")
	sub.String(&c.Token, "t", "token", "Bearer token; default is the environment's MARJORAMSHORE_TOKEN.")
	sub.Duration(&c.Timeout, "", "timeout", "Time limit of the command.")
	sub.Bool(&c.JSON, "j", "json", "Write JSON.")
	switch name {
	case "explain", "drain", "undrain", "quarantine":
		sub.String(&service, "s", "service", "Service; default is that of the node.")
	case "history":
		sub.Int(&c.Limit, "n", "limit", "Number of events and changes.")
	case "burn":
		sub.String(&c.HTMLFile, "", "html", "Write one self-contained page to this file.")
	case "apply":
		sub.String(&c.PlanFile, "o", "out", "Write the plan to this file.")
	}
	if name == "quarantine" {
		sub.Bool(&c.Lift, "", "lift", "End the quarantine.")
	}
	if name == "confirm" || name == "drain" || name == "undrain" || name == "quarantine" {
		sub.String(&c.By, "", "by", "Who asks for the change.")
		sub.String(&c.Cause, "", "cause", "Why the change is made.")
	}
	return command{sub, func(ctx context.Context, o output) int {
		c.Service = serviceName(service)
		if c.Token == "" {
			c.Token = os.Getenv("MARJORAMSHORE_TOKEN")
		}
		return c.Run(ctx, o.out, o.err)
	}}
}
