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

// TestMain fixes the seed of property tests, so that every run returns the
// same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "7"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

type event struct {
	at clock.Instant
	n  int
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// job is one simulated request.
type job struct {
	id                     ID
	source                 *source
	service                time.Duration
	arrived, begun, ended  clock.Instant
	admitted, answeredGood bool
}

// source is an open-loop Poisson stream of requests.
type source struct {
	ticket   Ticket
	deadline time.Duration
	rate     func(clock.Instant) float64 // per second
	service  func(*rand.Rand) time.Duration
	random   *rand.Rand
	jobs     []*job
}

func (s *source) with(seed uint64) *source {
	s.random = rand.New(rand.NewPCG(seed, 99))
	return s
}

// sim runs a policy in virtual time in front of a backend server.
type sim struct {
	now    clock.Instant
	queue  events
	n      int
	policy Policy
	// slow scales the service time of an exchange that starts at an instant
	// with a number of exchanges running.
	slow    func(clock.Instant, int) float64
	running int
	// every is the resolution of Expire; zero means 2 ms.
	every   time.Duration
	expired clock.Instant
	each    func()
}

func (s *sim) at(t clock.Instant, do func()) {
	s.n++
	heap.Push(&s.queue, event{t, s.n, do})
}

func (s *sim) run(until time.Duration, sources ...*source) {
	for _, src := range sources {
		s.arrive(src)
	}
	s.tick()
	for len(s.queue) > 0 && s.queue[0].at <= clock.Instant(until) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
		if s.each != nil {
			s.each()
		}
	}
}

func (s *sim) tick() {
	if next := s.policy.Next(); next > 0 && s.now.Sub(s.expired) >= next {
		starts, _ := s.policy.Expire(s.now)
		s.begin(starts)
		s.expired = s.now
	}
	s.at(s.now.Add(max(s.every, 2*time.Millisecond)), s.tick)
}

func (s *sim) arrive(src *source) {
	rate := src.rate(s.now)
	if rate <= 0 {
		s.at(s.now.Add(10*time.Millisecond), func() { s.arrive(src) })
		return
	}
	gap := time.Duration(src.random.ExpFloat64() / rate * float64(time.Second))
	s.at(s.now.Add(gap), func() { s.offer(src); s.arrive(src) })
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

func (s *sim) begin(starts []Start) {
	for _, st := range starts {
		j := st.Ref.(*job)
		j.id = st.ID
		s.serve(j)
	}
}

func (s *sim) serve(j *job) {
	s.running++
	j.admitted, j.begun = true, s.now
	if s.slow != nil {
		j.service = time.Duration(float64(j.service) * s.slow(s.now, s.running))
	}
	s.at(s.now.Add(j.service), func() {
		s.running--
		j.ended = s.now
		j.answeredGood = j.source.deadline == 0 || s.now.Sub(j.arrived) <= j.source.deadline
		s.begin(s.policy.Done(s.now, j.id, OK))
	})
}

func constant(rate float64) func(clock.Instant) float64 {
	return func(clock.Instant) float64 { return rate }
}

// lookup draws a short service time with a mean of 5 ms.
func lookup(r *rand.Rand) time.Duration {
	return time.Millisecond + time.Duration(min(r.ExpFloat64(), 8)*float64(4*time.Millisecond))
}

const lookupMean = 0.005

// upload draws a long service time with a mean of 2 s.
func upload(r *rand.Rand) time.Duration {
	return time.Second/2 + time.Duration(r.ExpFloat64()*1.5*float64(time.Second))
}

// shorts is a stream of short requests of one customer.
func shorts(customer string, rate func(clock.Instant) float64) *source {
	return &source{
		ticket:   Ticket{Customer: core.Customer(customer), Kind: core.KindShort, Path: "/prices/lookup", Key: "k"},
		deadline: 100 * time.Millisecond, rate: rate, service: lookup,
	}
}

func uploads(customer string, rate float64) *source {
	return &source{
		ticket: Ticket{Customer: core.Customer(customer), Path: "/clouds/upload", Length: 8 << 20},
		rate:   constant(rate), service: upload,
	}
}

// between selects the jobs that arrived in [from, to).
func between(jobs []*job, from, to time.Duration) []*job {
	var out []*job
	for _, j := range jobs {
		if j.arrived >= clock.Instant(from) && j.arrived < clock.Instant(to) {
			out = append(out, j)
		}
	}
	return out
}

// p99 returns the 99th percentile of f over the answered jobs.
func p99(jobs []*job, f func(*job) time.Duration) time.Duration {
	var all []time.Duration
	for _, j := range jobs {
		if j.ended > 0 {
			all = append(all, f(j))
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)*99-1)/100]
}

func wait(j *job) time.Duration    { return j.begun.Sub(j.arrived) }
func latency(j *job) time.Duration { return j.ended.Sub(j.arrived) }

func served(jobs []*job) float64 {
	n := 0
	for _, j := range jobs {
		if j.answeredGood {
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
