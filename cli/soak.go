package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	"marjoramshore.example/soak"
)

// soakFlags are the flags of the soak command.
type soakFlags struct {
	binary, dir, html           string
	first                       uint64
	seeds, keyed, plain, perSec int
	trouble, gap                time.Duration
	planned, verbose            bool
}

func soakCommand() command {
	f := soakFlags{seeds: 1, keyed: 5, plain: 2, perSec: 150, trouble: 20 * time.Second, gap: 1500 * time.Millisecond}
	sub := flaggy.NewSubcommand("soak")
	sub.Description = "Run nodes as processes on loopback, disturb them by a random plan, and check the promises."
	sub.String(&f.binary, "b", "binary", "Program to test; default is this one.")
	sub.String(&f.dir, "d", "dir", "Directory for the logs of the processes; default is a new one.")
	sub.String(&f.html, "", "html", "Write a page with plots to this file.")
	sub.UInt64(&f.first, "s", "seed", "First seed; 0 takes one from the clock.")
	sub.Int(&f.seeds, "n", "seeds", "Number of seeds, each one more than the one before.")
	sub.Int(&f.keyed, "", "keyed", "Nodes beside backend servers that divide their keys.")
	sub.Int(&f.plain, "", "plain", "Nodes beside backend servers without keys.")
	sub.Int(&f.perSec, "r", "rate", "Requests of all callers in a second.")
	sub.Duration(&f.trouble, "t", "trouble", "How long disturbances begin.")
	sub.Duration(&f.gap, "g", "gap", "Mean time between two disturbances.")
	sub.Bool(&f.planned, "p", "planned", "Planned work only, around which no request may be cut.")
	sub.Bool(&f.verbose, "v", "verbose", "Print each disturbance.")
	return command{sub, f.run}
}

func (f *soakFlags) run(ctx context.Context, o output) int {
	if f.keyed < 1 || f.plain < 1 || f.perSec < 1 || f.seeds < 1 || f.trouble <= 0 || f.gap <= 0 {
		return o.fail(exitUsage, &soak.OptionsError{Detail: "keyed, plain, rate, seeds, trouble and gap must be positive"})
	}
	if err := f.defaults(); err != nil {
		return o.fail(exitFail, err)
	}
	out := io.Discard
	if f.verbose {
		out = o.out
	}
	var results []soak.Result
	broken := 0
	for i := range f.seeds {
		seed := f.first + uint64(i)
		res, err := soak.Run(ctx, soak.Options{
			Binary: f.binary, Dir: filepath.Join(f.dir, strconv.FormatUint(seed, 10)), Seed: seed, PerSecond: f.perSec, Out: out,
			Shape: soak.Shape{Keyed: f.keyed, Plain: f.plain, Trouble: f.trouble, Planned: f.planned, Gap: f.gap},
		})
		if err != nil {
			return o.fail(exitFail, err)
		}
		res.Print(o.out)
		broken += len(res.Violations)
		results = append(results, res)
	}
	fmt.Fprintf(o.out, "logs=%s violations=%d\n", f.dir, broken)
	if err := f.page(results); err != nil {
		return o.fail(exitFail, err)
	}
	if broken > 0 {
		return exitFail
	}
	return exitOK
}

func (f *soakFlags) defaults() (err error) {
	if f.first == 0 {
		f.first = uint64(time.Now().UnixNano())
	}
	if f.binary == "" {
		if f.binary, err = os.Executable(); err != nil {
			return err
		}
	}
	if f.dir == "" {
		f.dir, err = os.MkdirTemp("", "marjoramshore-soak-")
	}
	return err
}

func (f *soakFlags) page(results []soak.Result) error {
	if f.html == "" {
		return nil
	}
	w, err := os.Create(f.html)
	if err != nil {
		return err
	}
	if err := soak.WriteHTML(w, results); err != nil {
		_ = w.Close()
		return err
	}
	return w.Close()
}
