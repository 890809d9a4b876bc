package load

import (
	"sort"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"marjoramshore.example/core"
)

// sample is the result of one request.
type sample struct {
	class    string
	id       string // of the last attempt
	outcome  string
	reason   string
	latency  time.Duration
	attempts int
}

const (
	// maxLatency is the highest latency that the histograms hold; longer ones
	// are recorded as maxLatency.
	maxLatency = 5 * time.Minute
	// maxNotRunIDs bounds the request ids kept to check that requests refused
	// as not run did not run.
	maxNotRunIDs = 10_000
)

// ClassReport is the result of one class of requests. Latencies are those of
// answered requests, from the scheduled time to the end of the answer.
type ClassReport struct {
	Name     string
	Requests int64
	Attempts int64
	// Outcomes counts the last attempt of each request by outcome.
	Outcomes map[string]int64
	// Reasons counts refusals by reason.
	Reasons                  map[string]int64
	P50, P90, P99, P999, Max time.Duration
}

// Report is the result of a run.
type Report struct {
	Elapsed time.Duration
	Classes []ClassReport
	// NotRunIDs holds at most maxNotRunIDs ids of requests that were refused
	// as not run, so that a test can check them against the backend servers.
	NotRunIDs []string
}

// CountOutcome returns the number of requests with an outcome over all classes.
func (r Report) CountOutcome(outcome string) int64 {
	var n int64
	for _, c := range r.Classes {
		n += c.Outcomes[outcome]
	}
	return n
}

// Corrupted returns the number of complete answers whose request id or digest
// is not that of the request.
func (r Report) Corrupted() int64 { return r.CountOutcome(outcomeCorrupted) }

// Truncated returns the number of answers that ended before their full length.
func (r Report) Truncated() int64 { return r.CountOutcome(outcomeTruncated) }

// Requests returns the number of requests over all classes.
func (r Report) Requests() int64 {
	var n int64
	for _, c := range r.Classes {
		n += c.Requests
	}
	return n
}

type classStats struct {
	report    ClassReport
	latencies *hdrhistogram.Histogram
}

// collector owns the histograms. Only the goroutine that consumes the samples
// ring uses it.
type collector struct {
	start     time.Time
	classes   map[string]*classStats
	notRunIDs []string
}

func newCollector() *collector {
	return &collector{start: time.Now(), classes: map[string]*classStats{}}
}

func (c *collector) add(s sample) {
	r := c.classes[s.class]
	if r == nil {
		r = &classStats{
			report:    ClassReport{Name: s.class, Outcomes: map[string]int64{}, Reasons: map[string]int64{}},
			latencies: hdrhistogram.New(1, maxLatency.Microseconds(), 3),
		}
		c.classes[s.class] = r
	}
	r.report.Requests++
	r.report.Attempts += int64(max(s.attempts, 1))
	r.report.Outcomes[s.outcome]++
	if s.reason != "" {
		r.report.Reasons[s.reason]++
	}
	switch s.outcome {
	case string(core.OutcomeAnswered):
		_ = r.latencies.RecordValue(min(s.latency, maxLatency).Microseconds())
	case string(core.OutcomeRefusedNotRun), string(core.OutcomeDeadlineNotRun), string(core.OutcomeQuarantined):
		if len(c.notRunIDs) < maxNotRunIDs {
			c.notRunIDs = append(c.notRunIDs, s.id)
		}
	}
}

func (c *collector) report() Report {
	out := Report{Elapsed: time.Since(c.start), NotRunIDs: append([]string(nil), c.notRunIDs...)}
	for _, r := range c.classes {
		cr := r.report
		cr.Outcomes, cr.Reasons = copyCounts(cr.Outcomes), copyCounts(cr.Reasons)
		at := func(q float64) time.Duration {
			return time.Duration(r.latencies.ValueAtQuantile(q)) * time.Microsecond
		}
		cr.P50, cr.P90, cr.P99, cr.P999, cr.Max = at(50), at(90), at(99), at(99.9), at(100)
		out.Classes = append(out.Classes, cr)
	}
	sort.Slice(out.Classes, func(i, j int) bool { return out.Classes[i].Name < out.Classes[j].Name })
	return out
}

func copyCounts(m map[string]int64) map[string]int64 {
	out := make(map[string]int64, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

// ownerSlots bounds the number of owners that are remembered.
const ownerSlots = 1 << 14

type keyOwner struct{ key, addr string }

// owners remembers the owner of recently used keys, one for each slot.
type owners struct{ slots []atomic.Pointer[keyOwner] }

func newOwners() *owners { return &owners{slots: make([]atomic.Pointer[keyOwner], ownerSlots)} }

func (o *owners) slot(key string) *atomic.Pointer[keyOwner] {
	return &o.slots[uint64(core.HashKey(key))%ownerSlots]
}

func (o *owners) get(key, fallback string) string {
	if x := o.slot(key).Load(); x != nil && x.key == key {
		return x.addr
	}
	return fallback
}

func (o *owners) put(key, addr string) { o.slot(key).Store(&keyOwner{key, addr}) }
