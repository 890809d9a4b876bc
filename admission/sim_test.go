package admission

import (
	"container/heap"
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// TestMain fixes the seed of property tests, so that every run has the same
// result.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "7"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

type event struct {
	at       clock.Instant
	sequence int
	run      func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// job is one simulated request.
type job struct {
	id                       ID
	source                   *source
	service                  time.Duration
	arrived, started, ended  clock.Instant
	admitted, answeredInTime bool
}

// source is a Poisson process of requests that do not wait for earlier ones.
type source struct {
	ticket   Ticket
	deadline time.Duration
	rate     func(clock.Instant) float64 // per second
	service  func(*rand.Rand) time.Duration
	random   *rand.Rand
	jobs     []*job
}

func (s *source) withSeed(seed uint64) *source {
	s.random = rand.New(rand.NewPCG(seed, 99))
	return s
}

// sim simulates a policy and a backend server in virtual time.
type sim struct {
	now       clock.Instant
	queue     eventHeap
	scheduled int
	policy    Policy
	// slowdown returns the factor for the service time of an exchange that
	// starts at an instant, given the number of exchanges that run.
	slowdown func(clock.Instant, int) float64
	running  int
	// tickInterval is the interval between calls of Expire, at least 2 ms.
	tickInterval time.Duration
	lastExpire   clock.Instant
	afterEvent   func()
}

func (s *sim) schedule(t clock.Instant, do func()) {
	s.scheduled++
	heap.Push(&s.queue, event{t, s.scheduled, do})
}

func (s *sim) run(until time.Duration, sources ...*source) {
	for _, src := range sources {
		s.scheduleArrival(src)
	}
	s.tick()
	for len(s.queue) > 0 && s.queue[0].at <= clock.Instant(until) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
		if s.afterEvent != nil {
			s.afterEvent()
		}
	}
}

func (s *sim) tick() {
	if next := s.policy.ExpireInterval(); next > 0 && s.now.Sub(s.lastExpire) >= next {
		starts, _ := s.policy.Expire(s.now)
		s.serveStarted(starts)
		s.lastExpire = s.now
	}
	s.schedule(s.now.Add(max(s.tickInterval, 2*time.Millisecond)), s.tick)
}

func (s *sim) scheduleArrival(src *source) {
	rate := src.rate(s.now)
	if rate <= 0 {
		s.schedule(s.now.Add(10*time.Millisecond), func() { s.scheduleArrival(src) })
		return
	}
	gap := time.Duration(src.random.ExpFloat64() / rate * float64(time.Second))
	s.schedule(s.now.Add(gap), func() { s.offer(src); s.scheduleArrival(src) })
}

func (s *sim) offer(src *source) {
	j := &job{source: src, arrived: s.now, service: src.service(src.random)}
	src.jobs = append(src.jobs, j)
	t := src.ticket
	t.Ref = j
	if src.deadline > 0 {
		t.Deadline = s.now.Add(src.deadline)
	}
	d := s.policy.Offer(s.now, t)
	j.id = d.ID
	if d.Verdict == Admit {
		s.serve(j)
	}
}

func (s *sim) serveStarted(starts []Start) {
	for _, st := range starts {
		j := st.Ref.(*job)
		j.id = st.ID
		s.serve(j)
	}
}

func (s *sim) serve(j *job) {
	s.running++
	j.admitted, j.started = true, s.now
	if s.slowdown != nil {
		j.service = time.Duration(float64(j.service) * s.slowdown(s.now, s.running))
	}
	s.schedule(s.now.Add(j.service), func() {
		s.running--
		j.ended = s.now
		j.answeredInTime = j.source.deadline == 0 || s.now.Sub(j.arrived) <= j.source.deadline
		s.serveStarted(s.policy.Done(s.now, j.id, OK))
	})
}

func constantRate(rate float64) func(clock.Instant) float64 {
	return func(clock.Instant) float64 { return rate }
}

// lookupTime returns a random short service time with a mean of 5 ms.
func lookupTime(r *rand.Rand) time.Duration {
	return time.Millisecond + time.Duration(min(r.ExpFloat64(), 8)*float64(4*time.Millisecond))
}

const lookupMeanSeconds = 0.005

// uploadTime returns a random long service time with a mean of 2 s.
func uploadTime(r *rand.Rand) time.Duration {
	return time.Second/2 + time.Duration(r.ExpFloat64()*1.5*float64(time.Second))
}

// lookups returns a source of short requests of one customer.
func lookups(customer string, rate func(clock.Instant) float64) *source {
	return &source{
		ticket:   Ticket{Customer: core.Customer(customer), Kind: core.KindShort, Path: "/prices/lookup", Key: "k"},
		deadline: 100 * time.Millisecond, rate: rate, service: lookupTime,
	}
}

func uploads(customer string, rate float64) *source {
	return &source{
		ticket: Ticket{Customer: core.Customer(customer), Path: "/clouds/upload", Length: 8 << 20},
		rate:   constantRate(rate), service: uploadTime,
	}
}

// arrivedBetween returns the jobs that arrived in [from, to).
func arrivedBetween(jobs []*job, from, to time.Duration) []*job {
	var out []*job
	for _, j := range jobs {
		if j.arrived >= clock.Instant(from) && j.arrived < clock.Instant(to) {
			out = append(out, j)
		}
	}
	return out
}

// p99 returns the 99th percentile of measure over the jobs that were answered.
func p99(jobs []*job, measure func(*job) time.Duration) time.Duration {
	var all []time.Duration
	for _, j := range jobs {
		if j.ended > 0 {
			all = append(all, measure(j))
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)*99-1)/100]
}

func waitTime(j *job) time.Duration { return j.started.Sub(j.arrived) }
func latency(j *job) time.Duration  { return j.ended.Sub(j.arrived) }

func shareAnsweredInTime(jobs []*job) float64 {
	n := 0
	for _, j := range jobs {
		if j.answeredInTime {
			n++
		}
	}
	return float64(n) / float64(max(len(jobs), 1))
}

type deployment struct {
	name   string
	config Config
}

func deployments() []deployment {
	return []deployment{
		{"hintapalvelu", Config{Slots: 17, Connections: 130, Seed: 1}},
		{"tile-service", Config{Slots: 12, Connections: 110, Seed: 1}},
	}
}
