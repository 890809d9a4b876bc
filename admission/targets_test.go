package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// timeOutsideController is the part of the 18 ms target that two hops in each
// direction and a new connection take.
const timeOutsideController = 6 * time.Millisecond

type spikeResult struct {
	goodput                              float64
	waitP99, latencyBefore, latencyAfter time.Duration
	uploadsDone                          int
	// refusedAfterWait is the share of requests that were refused after they
	// had waited, among these and the admitted ones.
	refusedAfterWait float64
}

// runDemandSpike offers short requests at 0.7 of the capacity that two uploads
// leave, at 3 times the whole capacity for 10 s, then at 0.7 again. With
// withUploads, two uploads run at a time on average.
func runDemandSpike(p Policy, slots int, withUploads bool, prepare func(*sim)) spikeResult {
	long := uploads("survey", 0)
	usable := float64(slots)
	if withUploads {
		long.rate = constantRate(1)
	}
	capacity := usable / lookupMeanSeconds
	src := lookups("auction", func(now clock.Instant) float64 {
		if now >= clock.Instant(5*time.Second) && now < clock.Instant(15*time.Second) {
			return 3 * capacity
		}
		return 0.7 * (capacity - 2/lookupMeanSeconds)
	}).withSeed(11)
	s := &sim{policy: p}
	if prepare != nil {
		prepare(s)
	}
	s.run(20*time.Second, src, long.withSeed(12))
	spikeJobs := arrivedBetween(src.jobs, 5*time.Second, 15*time.Second)
	usefulTime := slotTime(spikeJobs, 5*time.Second, 15*time.Second) + slotTime(long.jobs, 5*time.Second, 15*time.Second)
	result := spikeResult{
		goodput:       usefulTime.Seconds() / (10 * usable),
		waitP99:       p99(spikeJobs, waitTime),
		latencyBefore: p99(arrivedBetween(src.jobs, 2*time.Second, 5*time.Second), latency),
		latencyAfter:  p99(arrivedBetween(src.jobs, 16*time.Second, 20*time.Second), latency),
	}
	for _, j := range long.jobs {
		if j.ended > 0 {
			result.uploadsDone++
		}
	}
	st := p.Stats()
	result.refusedAfterWait = float64(st.Expired) / float64(st.Expired+st.Admitted)
	return result
}

// slotTime returns the time in [from, to) for which jobs that were answered in
// time, or still run, held slots.
func slotTime(jobs []*job, from, to time.Duration) (sum time.Duration) {
	for _, j := range jobs {
		if !j.admitted || j.ended > 0 && !j.answeredInTime {
			continue
		}
		end := to
		if j.ended > 0 {
			end = min(end, time.Duration(j.ended))
		}
		sum += max(0, end-max(from, time.Duration(j.started)))
	}
	return sum
}

// Guards against a collapse of goodput and late responses during a demand spike
// and against high latency after it.
func TestSwing(t *testing.T) {
	for _, d := range deployments() {
		withUploads := d.name == "tile-service"
		adaptive := runDemandSpike(New(d.config), d.config.Slots, withUploads, nil)
		fifo := runDemandSpike(NewFIFO(d.config), d.config.Slots, withUploads, nil)
		t.Logf("%s demand spike to 3x: goodput %.3f of capacity, FIFO %.3f", d.name, adaptive.goodput, fifo.goodput)
		t.Logf("%s p99 wait of admitted short requests %v, FIFO %v", d.name, adaptive.waitP99, fifo.waitP99)
		t.Logf("%s share refused after waiting %.4f, FIFO %.4f", d.name, adaptive.refusedAfterWait, fifo.refusedAfterWait)
		t.Logf("%s p99 latency before %v, from 1 s after the demand spike %v, FIFO %v and %v",
			d.name, adaptive.latencyBefore, adaptive.latencyAfter, fifo.latencyBefore, fifo.latencyAfter)
		must.GreaterEq(t, 0.95, adaptive.goodput)
		must.LessEq(t, 18*time.Millisecond-timeOutsideController, adaptive.waitP99)
		must.LessEq(t, 0.01, adaptive.refusedAfterWait)
		// A quarter allows for the sampling error of a p99.
		must.LessEq(t, adaptive.latencyBefore*5/4, adaptive.latencyAfter)
		if withUploads {
			t.Logf("%s uploads finished in 20 s: %d, FIFO %d", d.name, adaptive.uploadsDone, fifo.uploadsDone)
		}
	}
}

// Guards against false load reports that lower goodput or lengthen waits while
// service times are normal.
func TestLyingReport(t *testing.T) {
	for _, busy := range []bool{true, false} {
		c := New(deployments()[0].config)
		result := runDemandSpike(c, 17, false, func(s *sim) {
			s.afterEvent = func() { c.ReportLoad(s.now, busy) }
		})
		t.Logf("load report always busy=%v: goodput %.3f", busy, result.goodput)
		must.GreaterEq(t, 0.95, result.goodput)
		must.LessEq(t, 18*time.Millisecond-timeOutsideController, result.waitP99)
	}
}

// Guards against short requests that wait behind long ones, whether or not
// those are declared long.
func TestShortBesideLong(t *testing.T) {
	for _, d := range deployments() {
		for _, declared := range []bool{true, false} {
			run := func(p Policy, longRate float64) (time.Duration, float64, int) {
				src := lookups("storm", constantRate(0.4*float64(d.config.Slots)/lookupMeanSeconds)).withSeed(21)
				long := uploads("survey", longRate).withSeed(22)
				if !declared {
					long.ticket.Length, long.ticket.Kind = core.UnknownLength, core.KindUnspecified
				}
				s := &sim{policy: p}
				s.run(22*time.Second, src, long)
				longDone := 0
				for _, j := range long.jobs {
					if j.ended > 0 {
						longDone++
					}
				}
				jobs := arrivedBetween(src.jobs, 2*time.Second, 20*time.Second)
				return p99(jobs, latency), shareAnsweredInTime(jobs), longDone
			}
			alone, _, _ := run(New(d.config), 0)
			beside, share, done := run(New(d.config), 100)
			fifoAlone, _, _ := run(NewFIFO(d.config), 0)
			fifoBeside, fifoShare, fifoDone := run(NewFIFO(d.config), 100)
			t.Logf("%s declared=%v: p99 latency of short work %v alone, %v beside long work (share in time %.4f, %d long done); FIFO %v, %v (%.4f, %d)",
				d.name, declared, alone, beside, share, done, fifoAlone, fifoBeside, fifoShare, fifoDone)
			must.LessEq(t, 2*alone, beside)
			must.GreaterEq(t, 0.99, share)
			must.Positive(t, done)
		}
	}
}

// Guards against a path with both short and long requests that takes the slots
// of short requests on other paths.
func TestShortBesideMixedPath(t *testing.T) {
	for _, d := range deployments() {
		run := func(p Policy, rate float64) (time.Duration, float64) {
			src := lookups("storm", constantRate(0.05*float64(d.config.Slots)/lookupMeanSeconds)).withSeed(23)
			mixed := lookups("survey", constantRate(rate)).withSeed(24)
			mixed.ticket.Path, mixed.deadline = "/clouds/query", 0
			mixed.service = func(r *rand.Rand) time.Duration {
				if r.IntN(10) == 0 {
					return uploadTime(r)
				}
				return lookupTime(r)
			}
			(&sim{policy: p}).run(22*time.Second, src, mixed)
			jobs := arrivedBetween(src.jobs, 2*time.Second, 20*time.Second)
			return p99(jobs, latency), shareAnsweredInTime(jobs)
		}
		alone, _ := run(New(d.config), 0)
		beside, share := run(New(d.config), 200)
		fifoBeside, fifoShare := run(NewFIFO(d.config), 200)
		t.Logf("%s: p99 latency of short work %v alone, %v (share in time %.4f) beside a mixed path; FIFO %v (%.4f)",
			d.name, alone, beside, share, fifoBeside, fifoShare)
		must.LessEq(t, 2*alone, beside)
		must.GreaterEq(t, 0.99, share)
	}
}

// Guards against long work that never starts while short work overloads the
// backend server.
func TestLongWorkProgresses(t *testing.T) {
	for _, d := range deployments() {
		src := lookups("auction", constantRate(3*float64(d.config.Slots)/lookupMeanSeconds)).withSeed(31)
		long := uploads("survey", 2).withSeed(32)
		c := New(d.config)
		s := &sim{policy: c}
		var worst time.Duration
		floor := minLongSlots(d.config.Slots)
		since := clock.Instant(0)
		s.afterEvent = func() {
			st := c.Stats()
			if st.QueuedLong == 0 || st.RunningLong >= floor || c.lastLongStart == s.now {
				since = s.now
			}
			worst = max(worst, s.now.Sub(since))
		}
		s.run(12*time.Second, src, long)
		t.Logf("%s: longest time without a start of long work while it is queued and fewer than %d run: %v", d.name, floor, worst)
		// A slot becomes free within one short service time.
		must.LessEq(t, time.Second+c.cfg.LongThreshold, worst)
	}
}

// Guards against a customer with few requests that is refused or slowed down
// because another customer sends too many.
func TestQuietCustomer(t *testing.T) {
	for _, d := range deployments() {
		capacity := float64(d.config.Slots) / lookupMeanSeconds
		run := func(p Policy, noise float64) []*job {
			quiet := lookups("quiet", constantRate(0.05*capacity)).withSeed(41)
			noisy := lookups("noisy", constantRate(noise*capacity)).withSeed(42)
			s := &sim{policy: p}
			s.run(8*time.Second, quiet, noisy)
			return arrivedBetween(quiet.jobs, time.Second, 7*time.Second)
		}
		alone, beside, fifoBeside := run(New(d.config), 0), run(New(d.config), 10), run(NewFIFO(d.config), 10)
		aloneP99, besideP99 := p99(alone, latency), p99(beside, latency)
		t.Logf("%s quiet customer beside 10x capacity: share in time %.5f, p99 latency %v, alone %v; FIFO share %.5f, p99 %v",
			d.name, shareAnsweredInTime(beside), besideP99, aloneP99, shareAnsweredInTime(fifoBeside), p99(fifoBeside, latency))
		must.GreaterEq(t, 0.999, shareAnsweredInTime(beside))
		must.LessEq(t, 2*aloneP99, besideP99)
	}
}

// Guards against a customer with few uploads whose uploads wait for those of a
// customer with many.
func TestQuietUploads(t *testing.T) {
	for _, d := range deployments() {
		run := func(p Policy, noise float64) []*job {
			quiet, noisy := uploads("quiet", 0.3).withSeed(43), uploads("noisy", noise).withSeed(44)
			(&sim{policy: p, tickInterval: 20 * time.Millisecond}).run(420*time.Second, quiet, noisy)
			return arrivedBetween(quiet.jobs, 10*time.Second, 400*time.Second)
		}
		tenfoldRate := 10 * float64(d.config.Slots) / 2
		alone, beside, fifoBeside := run(New(d.config), 0), run(New(d.config), tenfoldRate), run(NewFIFO(d.config), tenfoldRate)
		aloneP99, besideP99 := p99(alone, latency), p99(beside, latency)
		t.Logf("%s quiet uploads beside 10x capacity: share in time %.4f, p99 latency %v, alone %v; FIFO share %.4f, p99 %v",
			d.name, shareAnsweredInTime(beside), besideP99, aloneP99, shareAnsweredInTime(fifoBeside), p99(fifoBeside, latency))
		must.GreaterEq(t, 0.999, shareAnsweredInTime(beside))
		must.LessEq(t, 2*aloneP99, besideP99)
	}
}

// Guards against fair shares that ignore the weights of customers or the
// service times of their requests.
func TestWeights(t *testing.T) {
	c := New(Config{Slots: 17, Connections: 130, Seed: 3})
	heavy, light := lookups("heavy", constantRate(6000)).withSeed(51), lookups("light", constantRate(6000)).withSeed(52)
	heavy.ticket.Weight = 3
	singleTime := light.service
	light.service = func(r *rand.Rand) time.Duration { return 2 * singleTime(r) }
	s := &sim{policy: c}
	s.run(5*time.Second, heavy, light)
	heavyTime := slotTime(heavy.jobs, time.Second, 5*time.Second).Seconds()
	lightTime := slotTime(light.jobs, time.Second, 5*time.Second).Seconds()
	t.Logf("slot time of weight 3 over weight 1: %.2f", heavyTime/lightTime)
	must.Between(t, 2.7, heavyTime/lightTime, 3.3)
}
