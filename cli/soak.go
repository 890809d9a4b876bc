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

// soakFlags holds the flags of the soak command.
type soakFlags struct {
	binary, dir, html, kinds                                       string
	firstSeed                                                      uint64
	seedCount, keyedNodes, plainNodes, requestRate, callersPerNode int
	disturbFor, meanGap                                            time.Duration
	rateLimit                                                      float64
	plannedOnly, overlap, slow, grantByCall, verbose               bool
}

func soakCommand() command {
	f := soakFlags{seedCount: 1, keyedNodes: 5, plainNodes: 2, requestRate: 150, callersPerNode: 4, disturbFor: 20 * time.Second, meanGap: 1500 * time.Millisecond}
	sub := flaggy.NewSubcommand("soak")
	sub.Description = "Run nodes as processes on loopback, disturb them by a random plan of operations and faults, and check the guarantees."
	sub.String(&f.binary, "b", "binary", "Binary to test; default is this one.")
	sub.String(&f.dir, "d", "dir", "Directory for the logs of the processes; default is a new temporary one.")
	sub.String(&f.html, "", "html", "Write a page with plots to this file.")
	sub.UInt64(&f.firstSeed, "s", "seed", "First seed; 0 derives one from the clock.")
	sub.Int(&f.seedCount, "n", "seeds", "Number of runs; each run uses the next higher seed.")
	sub.Int(&f.keyedNodes, "", "keyed", "Number of nodes whose backend servers divide keys among them.")
	sub.Int(&f.plainNodes, "", "plain", "Number of nodes whose backend servers have no keys.")
	sub.Int(&f.requestRate, "r", "rate", "Requests per second of all callers together.")
	sub.Int(&f.callersPerNode, "", "callers", "Number of callers on each node; each keeps a connection open.")
	sub.Duration(&f.disturbFor, "t", "trouble", "Period during which new disturbances start.")
	sub.Duration(&f.meanGap, "g", "gap", "Mean time between two disturbances.")
	sub.Bool(&f.plannedOnly, "p", "planned", "Only planned operations, during which no request may be cut off.")
	sub.String(&f.kinds, "k", "kinds", "Kinds of disturbances, separated by commas; default is all.")
	sub.Bool(&f.overlap, "o", "overlap", "Only planned operations, in bursts that stop several nodes while others restart, reload and get configurations.")
	sub.Bool(&f.slow, "", "slow", "Give each process one processor, in short turns.")
	sub.Float64(&f.rateLimit, "", "limit", "Requests per second that the backend server of the last node names as its limit; 0 names none.")
	sub.Bool(&f.grantByCall, "", "grant-by-call", "Grant keys by calls to the backend servers, some of which get no answer.")
	sub.Bool(&f.verbose, "v", "verbose", "Print each disturbance.")
	return command{sub, f.run}
}

func (f *soakFlags) run(ctx context.Context, o streams) int {
	if f.keyedNodes < 1 || f.plainNodes < 1 || f.requestRate < 1 || f.callersPerNode < 1 || f.seedCount < 1 || f.disturbFor <= 0 || f.meanGap <= 0 || f.rateLimit < 0 {
		return o.fail(exitUsage, &soak.OptionsError{Detail: "keyed, plain, rate, callers, seeds, trouble and gap must be positive, and limit not negative"})
	}
	if err := f.setDefaults(); err != nil {
		return o.fail(exitFailure, err)
	}
	kinds, err := soak.ParseKinds(f.kinds)
	if err != nil {
		return o.fail(exitUsage, err)
	}
	out := io.Discard
	if f.verbose {
		out = o.stdout
	}
	var results []soak.Result
	violations := 0
	for i := range f.seedCount {
		seed := f.firstSeed + uint64(i)
		result, err := soak.Run(ctx, soak.Options{
			Binary: f.binary, Dir: filepath.Join(f.dir, strconv.FormatUint(seed, 10)), Seed: seed, PerSecond: f.requestRate, CallersPerNode: f.callersPerNode, Out: out,
			Shape: soak.Shape{Keyed: f.keyedNodes, Plain: f.plainNodes, Trouble: f.disturbFor, Planned: f.plannedOnly, Overlap: f.overlap, Slow: f.slow, Kinds: kinds, Gap: f.meanGap, RateLimit: f.rateLimit, GrantByCall: f.grantByCall},
		})
		if err != nil {
			return o.fail(exitFailure, err)
		}
		result.Print(o.stdout)
		violations += len(result.Violations)
		results = append(results, result)
	}
	fmt.Fprintf(o.stdout, "logs=%s violations=%d\n", f.dir, violations)
	if err := f.writePage(results); err != nil {
		return o.fail(exitFailure, err)
	}
	if violations > 0 {
		return exitFailure
	}
	return exitOK
}

// setDefaults fills in the seed, binary and directory if they are not set.
func (f *soakFlags) setDefaults() (err error) {
	if f.firstSeed == 0 {
		f.firstSeed = uint64(time.Now().UnixNano())
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

// writePage writes the results to the HTML page, if one is named.
func (f *soakFlags) writePage(results []soak.Result) error {
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
