// Command harness3 plays the cases of this review against the project's processes. The
// platform's store, the backend servers and the callers are stand-ins in its process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// binary is the program of the deploy file, from the root of the repository.
const binary = "target/marjoramshore"

// withTrouble is false if the case is to run without its disruption.
var withTrouble = os.Getenv("TROUBLE") != "0"

var (
	recordMu sync.Mutex
	recordTo *os.File
	began    = time.Now()
	nodes    []*node
	workDir  string
)

// note writes a line to the record of the case.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if recordTo != nil {
		fmt.Fprintf(recordTo, "%8.3f %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// cannotRun ends the run because the case could not be played.
func cannotRun(format string, args ...any) {
	note("cannot run: "+format, args...)
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	finish(2)
}

func finish(code int) {
	for _, n := range nodes {
		n.mu.Lock()
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
		}
		n.mu.Unlock()
	}
	if workDir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(workDir)
	}
	os.Exit(code)
}

// verdict ends the run: with 1 if the rule was broken.
func verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	note("verdict: broken=%t %s", broken, text)
	fmt.Printf("broken=%t %s\n", broken, text)
	if broken {
		finish(1)
	}
	finish(0)
}

// maxRun bounds the time of a case.
const maxRun = 115 * time.Second

// waitFor waits until a condition holds. The case can't run if it does not within max.
func waitFor(what string, max time.Duration, condition func() bool) {
	if !waitUntil(max, condition) {
		cannotRun("%s: not within %v", what, max)
	}
}

func waitUntil(max time.Duration, condition func() bool) bool {
	for end := time.Now().Add(max); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

var cases = map[string]func(){
	"restart-after-release":     restartAfterRelease,
	"lease-of-no-run":           leaseOfNoRun,
	"lost-behind-broken-answer": lostBehindBrokenAnswer,
	"crashes-across-restarts":   crashesAcrossRestarts,
	"gone-after-upload":         goneAfterUpload,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE RECORD")
		os.Exit(2)
	}
	var err error
	if recordTo, err = os.Create(os.Args[2]); err != nil {
		cannotRun("create the record: %v", err)
	}
	if workDir, err = os.MkdirTemp("", "review"); err != nil {
		cannotRun("create a folder: %v", err)
	}
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-signals:
			cannotRun("ended by a signal")
		case <-time.After(maxRun):
			cannotRun("the case takes too long")
		}
	}()
	cases[os.Args[1]]()
}
