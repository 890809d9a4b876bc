package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// outside is the part of the 18 ms target that is spent outside the
// controller: two hops in each direction and a new connection.
const outside = 6 * time.Millisecond

type swing struct {
	goodput             float64
	wait, before, after time.Duration
	longDone            int
	// late is the share of queued requests that were refused after waiting.
	late float64
}

// runSwing offers 0.7 of capacity, 3 times capacity for 10 s, then 0.7 again.
// With uploads, two uploads run at a time on average.
func runSwing(p Policy, slots int, withUploads bool, prepare func(*sim)) swing {
	long := uploads("survey", 0)
	usable := float64(slots)
	if withUploads {
		long.rate = constant(1)
	}
	capacity := usable / lookupMean
	src := shorts("auction", func(now clock.Instant) float64 {
		if now >= clock.Instant(5*time.Second) && now < clock.Instant(15*time.Second) {
			return 3 * capacity
		}
		return 0.7 * (capacity - 2/lookupMean)
	}).with(11)
	s := &sim{policy: p}
	if prepare != nil {
		prepare(s)
	}
	s.run(20*time.Second, src, long.with(12))
	peak := between(src.jobs, 5*time.Second, 15*time.Second)
	busy := slotTime(peak, 5*time.Second, 15*time.Second) + slotTime(long.jobs, 5*time.Second, 15*time.Second)
	r := swing{
		goodput: busy.Seconds() / (10 * usable),
		wait:    p99(peak, wait),
		before:  p99(between(src.jobs, 2*time.Second, 5*time.Second), latency),
		after:   p99(between(src.jobs, 16*time.Second, 20*time.Second), latency),
	}
	for _, j := range long.jobs {
		if j.ended > 0 {
			r.longDone++
		}
	}
	st := p.Stats()
	r.late = float64(st.Expired) / float64(st.Expired+st.Admitted)
	return r
}

// slotTime is the service time that good answers received in an interval.
func slotTime(jobs []*job, from, to time.Duration) (sum time.Duration) {
	for _, j := range jobs {
		if !j.admitted || j.ended > 0 && !j.answeredGood {
			continue
		}
		end := to
		if j.ended > 0 {
			end = min(end, time.Duration(j.ended))
		}
		sum += max(0, end-max(from, time.Duration(j.begun)))
	}
	return sum
}

// Guards against collapse of goodput, late answers and a slow return to normal
// in a demand swing.
func TestSwing(t *testing.T) {
	for _, d := range deployments() {
		uploads := d.name == "tile-service"
		ours := runSwing(New(d.config), d.config.Slots, uploads, nil)
		base := runSwing(NewFIFO(d.config), d.config.Slots, uploads, nil)
		t.Logf("%s swing to 3x: goodput %.3f of capacity, baseline %.3f", d.name, ours.goodput, base.goodput)
		t.Logf("%s p99 wait of accepted short requests %v, baseline %v", d.name, ours.wait, base.wait)
		t.Logf("%s refused after waiting: %.4f of accepted, baseline %.4f", d.name, ours.late, base.late)
		t.Logf("%s p99 latency before %v, from 1 s after the swing %v, baseline %v and %v",
			d.name, ours.before, ours.after, base.before, base.after)
		must.GreaterEq(t, 0.95, ours.goodput)
		must.LessEq(t, 18*time.Millisecond-outside, ours.wait)
		must.LessEq(t, 0.01, ours.late)
		// A quarter allows for the sampling error of a p99.
		must.LessEq(t, ours.before*5/4, ours.after)
		if uploads {
			t.Logf("%s uploads finished in 20 s: %d, baseline %d", d.name, ours.longDone, base.longDone)
		}
	}
}

// Guards against a load report that changes decisions on its own.
func TestLyingReport(t *testing.T) {
	for _, busy := range []bool{true, false} {
		c := New(deployments()[0].config)
		r := runSwing(c, 17, false, func(s *sim) {
			s.each = func() { c.Report(s.now, busy) }
		})
		t.Logf("load report always busy=%v: goodput %.3f", busy, r.goodput)
		must.GreaterEq(t, 0.95, r.goodput)
		must.LessEq(t, 18*time.Millisecond-outside, r.wait)
	}
}

// Guards against short work that waits behind long work, whether or not the
// long work is declared.
func TestShortBesideLong(t *testing.T) {
	for _, d := range deployments() {
		for _, declared := range []bool{true, false} {
			run := func(p Policy, longRate float64) (time.Duration, float64, int) {
				src := shorts("storm", constant(0.4*float64(d.config.Slots)/lookupMean)).with(21)
				long := uploads("survey", longRate).with(22)
				if !declared {
					long.ticket.Length, long.ticket.Kind = core.UnknownLength, core.KindUnspecified
				}
				s := &sim{policy: p}
				s.run(22*time.Second, src, long)
				done := 0
				for _, j := range long.jobs {
					if j.ended > 0 {
						done++
					}
				}
				jobs := between(src.jobs, 2*time.Second, 20*time.Second)
				return p99(jobs, latency), served(jobs), done
			}
			alone, _, _ := run(New(d.config), 0)
			beside, share, done := run(New(d.config), 100)
			baseAlone, _, _ := run(NewFIFO(d.config), 0)
			baseBeside, baseShare, baseDone := run(NewFIFO(d.config), 100)
			t.Logf("%s declared=%v: p99 of short work %v alone, %v beside long work (served %.4f, %d long done); baseline %v, %v (%.4f, %d)",
				d.name, declared, alone, beside, share, done, baseAlone, baseBeside, baseShare, baseDone)
			must.LessEq(t, 2*alone, beside)
			must.GreaterEq(t, 0.99, share)
			must.Positive(t, done)
		}
	}
}

// Guards against a path whose requests sometimes run long and that then takes
// the slots of short work on other paths.
func TestShortBesideMixedPath(t *testing.T) {
	for _, d := range deployments() {
		run := func(p Policy, rate float64) (time.Duration, float64) {
			src := shorts("storm", constant(0.05*float64(d.config.Slots)/lookupMean)).with(23)
			mixed := shorts("survey", constant(rate)).with(24)
			mixed.ticket.Path, mixed.deadline = "/clouds/query", 0
			mixed.service = func(r *rand.Rand) time.Duration {
				if r.IntN(10) == 0 {
					return upload(r)
				}
				return lookup(r)
			}
			(&sim{policy: p}).run(22*time.Second, src, mixed)
			jobs := between(src.jobs, 2*time.Second, 20*time.Second)
			return p99(jobs, latency), served(jobs)
		}
		alone, _ := run(New(d.config), 0)
		beside, share := run(New(d.config), 200)
		base, baseShare := run(NewFIFO(d.config), 200)
		t.Logf("%s: p99 of short work %v alone, %v (served %.4f) beside a mixed path; baseline %v (%.4f)",
			d.name, alone, beside, share, base, baseShare)
		must.LessEq(t, 2*alone, beside)
		must.GreaterEq(t, 0.99, share)
	}
}

// Guards against starvation of long work under an overload of short work.
func TestLongWorkProgresses(t *testing.T) {
	for _, d := range deployments() {
		src := shorts("auction", constant(3*float64(d.config.Slots)/lookupMean)).with(31)
		long := uploads("survey", 2).with(32)
		c := New(d.config)
		s := &sim{policy: c}
		var worst time.Duration
		floor := longFloor(d.config.Slots)
		since := clock.Instant(0)
		s.each = func() {
			st := c.Stats()
			if st.QueuedLong == 0 || st.RunningLong >= floor || c.lastLong == s.now {
				since = s.now
			}
			worst = max(worst, s.now.Sub(since))
		}
		s.run(12*time.Second, src, long)
		t.Logf("%s: longest time without a start of long work while it queues and fewer than %d run: %v", d.name, floor, worst)
		// One short service time passes until a slot is free.
		must.LessEq(t, time.Second+c.cfg.LongAfter, worst)
	}
}

// Guards against a quiet customer that pays for a noisy one.
func TestQuietCustomer(t *testing.T) {
	for _, d := range deployments() {
		capacity := float64(d.config.Slots) / lookupMean
		run := func(p Policy, noise float64) []*job {
			quiet := shorts("quiet", constant(0.05*capacity)).with(41)
			noisy := shorts("noisy", constant(noise*capacity)).with(42)
			s := &sim{policy: p}
			s.run(8*time.Second, quiet, noisy)
			return between(quiet.jobs, time.Second, 7*time.Second)
		}
		alone, beside, base := run(New(d.config), 0), run(New(d.config), 10), run(NewFIFO(d.config), 10)
		a, b := p99(alone, latency), p99(beside, latency)
		t.Logf("%s quiet customer beside 10x capacity: served %.5f, p99 %v, alone %v; baseline served %.5f, p99 %v",
			d.name, served(beside), b, a, served(base), p99(base, latency))
		must.GreaterEq(t, 0.999, served(beside))
		must.LessEq(t, 2*a, b)
	}
}

// Guards against a quiet customer whose uploads wait for a noisy one's.
func TestQuietUploads(t *testing.T) {
	for _, d := range deployments() {
		run := func(p Policy, noise float64) []*job {
			quiet, noisy := uploads("quiet", 0.3).with(43), uploads("noisy", noise).with(44)
			(&sim{policy: p, every: 20 * time.Millisecond}).run(420*time.Second, quiet, noisy)
			return between(quiet.jobs, 10*time.Second, 400*time.Second)
		}
		tenfold := 10 * float64(d.config.Slots) / 2
		alone, beside, base := run(New(d.config), 0), run(New(d.config), tenfold), run(NewFIFO(d.config), tenfold)
		a, b := p99(alone, latency), p99(beside, latency)
		t.Logf("%s quiet uploads beside 10x capacity: served %.4f, p99 %v, alone %v; baseline served %.4f, p99 %v",
			d.name, served(beside), b, a, served(base), p99(base, latency))
		must.GreaterEq(t, 0.999, served(beside))
		must.LessEq(t, 2*a, b)
	}
}

// Guards against shares that ignore weights or the cost of requests.
func TestWeights(t *testing.T) {
	c := New(Config{Slots: 17, Connections: 130, Seed: 3})
	heavy, light := shorts("heavy", constant(6000)).with(51), shorts("light", constant(6000)).with(52)
	heavy.ticket.Weight = 3
	slow := light.service
	light.service = func(r *rand.Rand) time.Duration { return 2 * slow(r) }
	s := &sim{policy: c}
	s.run(5*time.Second, heavy, light)
	h := slotTime(heavy.jobs, time.Second, 5*time.Second).Seconds()
	l := slotTime(light.jobs, time.Second, 5*time.Second).Seconds()
	t.Logf("slot time of weight 3 over weight 1: %.2f", h/l)
	must.Between(t, 2.7, h/l, 3.3)
}
