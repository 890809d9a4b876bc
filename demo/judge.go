package demo

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/load"
)

// maxRecoveryTime is the time within which a key must be served again after its
// VM is lost.
const maxRecoveryTime = 5 * time.Second

// checkInvariants prints the load report and the result of each check, and
// returns *InvariantError when a check failed.
func (r *run) checkInvariants(deployments []deployment) error {
	var total load.Report
	for _, rep := range r.reports {
		total.Classes = append(total.Classes, rep.Classes...)
		total.NotRunIDs = append(total.NotRunIDs, rep.NotRunIDs...)
	}
	total.Print(r.options.Out)
	var duplicateRuns, ranIDs uint64
	startsByID := make(map[string]int)
	for _, v := range r.fleet.vms {
		duplicateRuns += v.backend.Stats().DuplicateRuns
		for _, id := range total.NotRunIDs {
			startsByID[id] += v.backend.RunsOfRequest(id).Started
		}
	}
	for _, n := range startsByID {
		if n > 0 {
			ranIDs++
		}
	}
	answered := total.CountOutcome(string(core.OutcomeAnswered))
	checks := []struct {
		name string
		ok   bool
		got  string
	}{
		{"errors of the demo itself", len(r.errors) == 0, fmt.Sprint(r.errors)},
		{"requests were served", answered > 0, strconv.FormatInt(answered, 10)},
		{"corrupted answers", total.Corrupted() == 0, strconv.FormatInt(total.Corrupted(), 10)},
		{"duplicate runs of at-most-once requests", duplicateRuns == 0, strconv.FormatUint(duplicateRuns, 10)},
		{"requests that ran although refused as not run", ranIDs == 0, fmt.Sprintf("%d of %d", ranIDs, len(total.NotRunIDs))},
		{"a key of the killed VM is served again within 5 s", r.options.WithoutFaults || r.recoveryTime > 0 && r.recoveryTime <= maxRecoveryTime, r.recoveryTime.Round(time.Millisecond).String()},
	}
	var failed []string
	for _, c := range checks {
		verdict := "ok  "
		if !c.ok {
			verdict = "FAIL"
			failed = append(failed, c.name)
		}
		fmt.Fprintf(r.options.Out, "%s  %s: %s\n", verdict, c.name, c.got)
	}
	calls := r.fleet.platform.Calls()
	fmt.Fprintf(r.options.Out, "%d of %d requests answered; store calls in all: %d reads, %d writes\n",
		answered, total.Requests(), calls.Reads(), calls.Writes())
	if len(failed) > 0 {
		return &InvariantError{Failed: failed}
	}
	return nil
}

// findOwnedKey returns a key that the VM's node owns, or an empty string when
// none of the keys it tries is owned by the node.
func findOwnedKey(v *vm) string {
	const tries = 100_000
	own := v.node.Lease().OwnRanges
	for i := range tries {
		key := "probe-" + strconv.Itoa(i)
		for _, h := range own {
			if h.Range.Contains(core.HashKey(key)) {
				return key
			}
		}
	}
	return ""
}

// awaitAnswer sends requests for a key until one is answered, and returns the
// time since the given one, or zero when ctx ended first.
func awaitAnswer(ctx context.Context, addr string, service core.Service, key string, at time.Time) time.Duration {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		if isAnswered(ctx, addr, service, key) {
			return time.Since(at)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return 0
		}
	}
}

func isAnswered(ctx context.Context, addr string, service core.Service, key string) bool {
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/short/probe", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Marjoram-Service", string(service))
	req.Header.Set("Marjoram-Key", key)
	req.Header.Set("Marjoram-Customer", "demo")
	req.Header.Set("Marjoram-Deadline-Ms", "250")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.Header.Get("Marjoram-Outcome") == string(core.OutcomeAnswered)
}
