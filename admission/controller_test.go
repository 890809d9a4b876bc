package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"pgregory.net/rapid"
)

// model tracks the expected state of every request, "queued" or "running", in
// a random sequence of calls.
type model struct {
	c      *Controller
	now    clock.Instant
	states map[int]string
	ids    map[int]ID
}

func (m *model) expectStarted(t *rapid.T, starts []Start) {
	for _, s := range starts {
		must.EqOp(t, "queued", m.states[s.Ref.(int)])
		must.EqOp(t, m.ids[s.Ref.(int)], s.ID)
		m.states[s.Ref.(int)] = "running"
	}
}

func (m *model) expectRefused(t *rapid.T, refusals []Refusal) {
	for _, r := range refusals {
		must.EqOp(t, "queued", m.states[r.Ref.(int)])
		must.True(t, r.Code.NotRun())
		delete(m.states, r.Ref.(int))
	}
}

func (m *model) pickRequest(t *rapid.T, state string) (int, bool) {
	for n := 0; n < len(m.ids); n++ {
		if m.states[n] == state && rapid.Bool().Draw(t, "pick") {
			return n, true
		}
	}
	return 0, false
}

func (m *model) offer(t *rapid.T) {
	n := len(m.ids)
	ticket := Ticket{
		Customer: core.Customer(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")),
		Path:     rapid.SampledFrom([]string{"/x/1", "/y/2"}).Draw(t, "path"),
		Kind:     core.WorkKind(rapid.IntRange(0, 2).Draw(t, "kind")),
		Ref:      n,
	}
	if rapid.Bool().Draw(t, "deadline") {
		ticket.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "left")) * time.Millisecond)
	}
	d := m.c.Offer(m.now, ticket)
	m.ids[n] = d.ID
	switch d.Verdict {
	case Admit:
		m.states[n] = "running"
	case Queue:
		m.states[n] = "queued"
	case Refuse:
		must.True(t, d.Code.NotRun())
	}
}

func (m *model) step(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 6).Draw(t, "op") {
	case 0, 1, 2:
		m.offer(t)
	case 3:
		if n, ok := m.pickRequest(t, "running"); ok {
			delete(m.states, n)
			m.expectStarted(t, m.c.Done(m.now, m.ids[n], Result(rapid.IntRange(0, 3).Draw(t, "result"))))
		}
	case 4:
		if n, ok := m.pickRequest(t, "queued"); ok {
			delete(m.states, n)
			m.expectStarted(t, m.c.Cancel(m.now, m.ids[n]))
		}
	case 5:
		if n, ok := m.pickRequest(t, "running"); ok {
			m.expectStarted(t, m.c.ReleaseSlot(m.now, m.ids[n]))
		}
	case 6:
		starts, refusals := m.c.Expire(m.now)
		m.expectStarted(t, starts)
		m.expectRefused(t, refusals)
	}
}

// Guards against requests that are lost or end twice, counters that drift and
// hard limits that are exceeded, in random sequences of calls.
func TestRequestAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			c:      New(Config{Slots: 4, Connections: 6, QueueSize: 8}),
			states: map[int]string{}, ids: map[int]ID{},
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			m.step(t)
			st := m.c.Stats()
			count := map[string]int{}
			for _, s := range m.states {
				count[s]++
			}
			must.EqOp(t, count["running"], st.RunningShort+st.RunningLong+st.Flushing)
			must.LessEq(t, 4, st.RunningShort+st.RunningLong)
			must.LessEq(t, 6, count["running"])
			must.LessEq(t, count["queued"], st.QueuedShort+st.QueuedLong)
			must.LessEq(t, 8, st.QueuedShort+st.QueuedLong)
		}
		m.expectRefused(t, m.c.Drain(m.now))
		for n, s := range m.states {
			must.EqOp(t, "running", s)
			must.SliceEmpty(t, m.c.Done(m.now, m.ids[n], OK))
		}
		st := m.c.Stats()
		must.EqOp(t, 0, st.RunningShort+st.RunningLong+st.Flushing+st.QueuedShort+st.QueuedLong)
		must.EqOp(t, core.CodeDraining, m.c.Offer(m.now, Ticket{}).Code)
	})
}

// Guards against a limit that stays too high when concurrency makes the backend
// server slow, and against one that is lowered, and wastes capacity, when the
// slowness has another cause.
func TestAdaptiveLimit(t *testing.T) {
	cfg := deployments()[0].config
	run := func(p Policy, slow func(int) float64) float64 {
		src := lookups("auction", constantRate(2*17/lookupMeanSeconds)).withSeed(61)
		s := &sim{policy: p, slowdown: func(now clock.Instant, n int) float64 {
			if now < clock.Instant(5*time.Second) {
				return 1
			}
			return slow(n)
		}}
		s.run(25*time.Second, src)
		n := 0
		for _, j := range arrivedBetween(src.jobs, 10*time.Second, 24*time.Second) {
			if j.answeredInTime {
				n++
			}
		}
		return float64(n) / 14
	}
	contended := func(n int) float64 { return 1 + 0.5*float64(max(0, n-9)) }
	adaptive, fifo := run(New(cfg), contended), run(NewFIFO(cfg), contended)
	best := 9 / lookupMeanSeconds
	t.Logf("slower above 9 concurrent requests: %.0f responses in time per second of at most %.0f, FIFO %.0f", adaptive, best, fifo)
	must.Greater(t, fifo, adaptive)
	uniform := func(int) float64 { return 3 }
	adaptive, fifo = run(New(cfg), uniform), run(NewFIFO(cfg), uniform)
	best = 17 / (3 * lookupMeanSeconds)
	t.Logf("3 times slower at any concurrency: %.0f responses in time per second of %.0f, FIFO %.0f", adaptive, best, fifo)
	must.GreaterEq(t, 0.95*best, adaptive)
}

// Guards against a limit that does not fall when the backend server refuses
// requests because of load, and against one that falls after a few failures of
// long work.
func TestLimitFollowsFailures(t *testing.T) {
	run := func(every int, r Result) int {
		l, now := newLimiter(17), clock.Instant(0)
		for n := range 2000 {
			now = now.Add(5 * time.Millisecond)
			if n%every == 0 {
				l.recordResult(r)
			} else {
				l.recordResult(OK)
				l.observe(now, 5*time.Millisecond)
			}
			l.recordRunning(17)
			l.advanceWindow(now)
		}
		return l.limit()
	}
	must.EqOp(t, minLimit, run(3, Shed))
	must.EqOp(t, 17, run(3, Failed))
	must.EqOp(t, minLimit, run(1, Failed))
	l := newLimiter(17)
	for now := clock.Instant(0); now < clock.Instant(time.Minute); now = now.Add(time.Second) {
		l.recordResult(Failed)
		l.advanceWindow(now)
	}
	must.EqOp(t, 17, l.limit())
}

// Guards against requests that are declared short, run long and still count as
// short.
func TestReclassification(t *testing.T) {
	c := New(Config{Slots: 17, Connections: 130})
	d := c.Offer(0, Ticket{Kind: core.KindShort, Path: "/jobs/huge"})
	must.EqOp(t, Admit, d.Verdict)
	must.EqOp(t, 1, c.Stats().RunningShort)
	c.Expire(clock.Instant(51 * time.Millisecond))
	must.EqOp(t, 1, c.Stats().RunningLong)
	c.Offer(clock.Instant(52*time.Millisecond), Ticket{Kind: core.KindShort, Path: "/jobs/huge"})
	must.EqOp(t, 2, c.Stats().RunningLong)
	c.Done(clock.Instant(time.Second), d.ID, OK)
	must.EqOp(t, 1, c.Stats().RunningLong)
}

// Guards against requests on unknown paths that occupy all slots, so that a
// request on a path known to be short has to wait.
func TestReserveHoldsAgainstUnknownPaths(t *testing.T) {
	c := New(Config{Slots: 17, Connections: 130})
	known := c.Offer(0, Ticket{Path: "/known/path", Kind: core.KindShort})
	c.Done(clock.Instant(time.Millisecond), known.ID, OK)
	for range 40 {
		c.Offer(clock.Instant(time.Millisecond), Ticket{Path: "/new/path", Kind: core.KindShort})
	}
	must.EqOp(t, Admit, c.Offer(clock.Instant(time.Millisecond), Ticket{Path: "/known/path", Kind: core.KindShort}).Verdict)
}

// Guards against queueing a request that cannot be answered before its
// deadline, and against refusals that all give the same retry-after.
func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	c := New(Config{Slots: 1, Connections: 1})
	d := c.Offer(0, Ticket{Deadline: 1})
	must.EqOp(t, core.CodeDeadlineNotRun, d.Code)
	seen := map[time.Duration]bool{}
	for range 200 {
		d = c.Offer(0, Ticket{Kind: core.KindShort, Customer: "c"})
		if d.Verdict == Refuse {
			must.Positive(t, d.RetryAfter)
			seen[d.RetryAfter] = true
		}
	}
	must.Greater(t, 10, len(seen))
}

// newLoadStep returns a function that offers one request and ends the oldest
// running one once 17 run.
func newLoadStep(c *Controller) func() {
	now := clock.Instant(0)
	ids := make([]ID, 0, 64)
	t := Ticket{Customer: "auction", Kind: core.KindShort, Path: "/prices/lookup/x", Key: "k"}
	names := make([]core.Customer, 4096)
	keys := make([]string, 4096)
	for i := range names {
		names[i] = core.Customer(fmt.Sprintf("customer-%d", i*i%977))
		keys[i] = fmt.Sprintf("key-%d", i)
	}
	n := 0
	return func() {
		now = now.Add(300 * time.Microsecond)
		n++
		t.Customer, t.Key = names[n%len(names)], keys[n%len(keys)]
		if d := c.Offer(now, t); d.Verdict == Admit {
			ids = append(ids, d.ID)
		}
		if len(ids) >= 17 {
			id := ids[0]
			ids = append(ids[:0], ids[1:]...)
			for _, s := range c.Done(now, id, OK) {
				ids = append(ids, s.ID)
			}
		}
	}
}

// Guards against memory allocation in Offer and Done.
func TestNoAllocation(t *testing.T) {
	step := newLoadStep(New(Config{Slots: 17, Connections: 130}))
	for range 10_000 {
		step()
	}
	must.EqOp(t, 0, testing.AllocsPerRun(10_000, step))
}

// BenchmarkDecision measures Offer and Done of one request together.
func BenchmarkDecision(b *testing.B) {
	step := newLoadStep(New(Config{Slots: 17, Connections: 130}))
	b.ReportAllocs()
	for b.Loop() {
		step()
	}
}
