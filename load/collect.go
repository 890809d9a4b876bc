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
	// maxLatency bounds what the histograms resolve.
	maxLatency = 5 * time.Minute
	// maxRefused bounds the ids kept for checking that refused requests did
	// not run.
	maxRefused = 10_000
)

// ClassReport is the result of one class of work. Latencies are those of
// answered requests, from the drawn instant to the end of the answer.
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
	// NotRunIDs holds the request ids that were refused as not run, up to a
	// bound, so that a test can check them against the backend servers.
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

// Corrupted returns the number of whole answers that were not the request's.
func (r Report) Corrupted() int64 { return r.CountOutcome(outcomeCorrupted) }

// Cut returns the number of answers that broke off.
func (r Report) Cut() int64 { return r.CountOutcome(outcomeCut) }

// Requests returns the number of requests over all classes.
func (r Report) Requests() int64 {
	var n int64
	for _, c := range r.Classes {
		n += c.Requests
	}
	return n
}

type classResult struct {
	report ClassReport
	hist   *hdrhistogram.Histogram
}

// collector owns the histograms. Its goroutine is the one of the results ring.
type collector struct {
	start   time.Time
	classes map[string]*classResult
	notRun  []string
}

func newCollector() *collector {
	return &collector{start: time.Now(), classes: map[string]*classResult{}}
}

func (c *collector) add(s sample) {
	r := c.classes[s.class]
	if r == nil {
		r = &classResult{
			report: ClassReport{Name: s.class, Outcomes: map[string]int64{}, Reasons: map[string]int64{}},
			hist:   hdrhistogram.New(1, maxLatency.Microseconds(), 3),
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
		_ = r.hist.RecordValue(min(s.latency, maxLatency).Microseconds())
	case string(core.OutcomeRefusedNotRun), string(core.OutcomeDeadlineNotRun), string(core.OutcomeQuarantined):
		if len(c.notRun) < maxRefused {
			c.notRun = append(c.notRun, s.id)
		}
	}
}

func (c *collector) report() Report {
	out := Report{Elapsed: time.Since(c.start), NotRunIDs: append([]string(nil), c.notRun...)}
	for _, r := range c.classes {
		cr := r.report
		cr.Outcomes, cr.Reasons = copyCounts(cr.Outcomes), copyCounts(cr.Reasons)
		at := func(q float64) time.Duration {
			return time.Duration(r.hist.ValueAtQuantile(q)) * time.Microsecond
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

// hintSlots bounds the remembered addresses of owners.
const hintSlots = 1 << 14

type hint struct{ key, addr string }

// hints remembers the owner of recently used keys, one for each slot.
type hints struct{ slots []atomic.Pointer[hint] }

func newHints() *hints { return &hints{slots: make([]atomic.Pointer[hint], hintSlots)} }

func (h *hints) slot(key string) *atomic.Pointer[hint] {
	return &h.slots[uint64(core.HashKey(key))%hintSlots]
}

func (h *hints) get(key, other string) string {
	if x := h.slot(key).Load(); x != nil && x.key == key {
		return x.addr
	}
	return other
}

func (h *hints) put(key, addr string) { h.slot(key).Store(&hint{key, addr}) }
