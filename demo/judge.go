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

// regainTarget is how soon a key must be served again after a loss.
const regainTarget = 5 * time.Second

// judge prints the summary and checks the invariants.
func (r *run) judge(list []deployment) error {
	var total load.Report
	for _, rep := range r.reports {
		total.Classes = append(total.Classes, rep.Classes...)
		total.NotRunIDs = append(total.NotRunIDs, rep.NotRunIDs...)
	}
	total.Print(r.o.Out)
	var second, ran uint64
	ids := make(map[string]int)
	for _, v := range r.f.vms {
		second += v.backend.Stats().DuplicateRuns
		for _, id := range total.NotRunIDs {
			ids[id] += v.backend.RunsOfRequest(id).Started
		}
	}
	for _, n := range ids {
		if n > 0 {
			ran++
		}
	}
	answered := total.CountOutcome(string(core.OutcomeAnswered))
	checks := []struct {
		name string
		ok   bool
		got  string
	}{
		{"faults of the run itself", len(r.faults) == 0, fmt.Sprint(r.faults)},
		{"requests were served", answered > 0, strconv.FormatInt(answered, 10)},
		{"every answer was its request's own and whole", total.Corrupted() == 0, strconv.FormatInt(total.Corrupted(), 10)},
		{"second runs of non-idempotent work", second == 0, strconv.FormatUint(second, 10)},
		{"requests refused as not run that ran", ran == 0, fmt.Sprintf("%d of %d", ran, len(total.NotRunIDs))},
		{"a lost key is served again within 5 s", r.o.WithoutFaults || r.regain > 0 && r.regain <= regainTarget, r.regain.Round(time.Millisecond).String()},
	}
	var failed []string
	for _, c := range checks {
		verdict := "ok  "
		if !c.ok {
			verdict = "FAIL"
			failed = append(failed, c.name)
		}
		fmt.Fprintf(r.o.Out, "%s  %s: %s\n", verdict, c.name, c.got)
	}
	calls := r.f.platform.Calls()
	fmt.Fprintf(r.o.Out, "%d of %d requests answered; store calls in all: %d reads, %d writes\n",
		answered, total.Requests(), calls.Reads(), calls.Writes())
	if len(failed) > 0 {
		return &InvariantError{Failed: failed}
	}
	return nil
}

// keyOwnedBy returns a key that the VM's node serves, or nothing when the node
// owns too little to find one.
func keyOwnedBy(v *vm) string {
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

// awaitServed asks for a key until it is answered, and returns the time since
// at, or zero when ctx ended first.
func awaitServed(ctx context.Context, addr string, service core.Service, key string, at time.Time) time.Duration {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		if served(ctx, addr, service, key) {
			return time.Since(at)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return 0
		}
	}
}

func served(ctx context.Context, addr string, service core.Service, key string) bool {
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
