package slopes

import (
	"strconv"
	"time"

	"marjoramshore.example/admission"
	"marjoramshore.example/capacity"
	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/groupwire"
	"marjoramshore.example/once"
	"marjoramshore.example/suspect"
)

// wall is the wall time of all measurements of records.
var wall = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// filled returns a table with n records of requests that ended, and room for
// no more.
func filled(n int) *once.Table {
	t := once.New(once.Config{MaxBytes: n * 40})
	t.AcquireNew(core.FullRange)
	for i := range n {
		d := t.Begin(wall, once.Key{Service: service, Customer: "ruoka", IdempotencyKey: strconv.Itoa(i), Hash: core.HashKey(strconv.Itoa(i))}, wall)
		t.RecordEnd(d.ID, once.Done, core.OutcomeAnswered, 200)
	}
	return t
}

// onceRecords measures at-most-once records: their memory, and the size and
// processor time of a hand-over from export to import.
func onceRecords() ([]capacity.Slope, error) {
	memory, err := over(capacity.Slope{Name: "record-memory", Unit: "bytes", Per: "record"}, []int{15_000, 60_000, 240_000},
		func(n int) (float64, error) {
			var t *once.Table
			used := held(1, func() *once.Table {
				t = filled(n)
				return t
			})
			return used * float64(n) / float64(t.Stats().Capacity), nil
		})
	if err != nil {
		return nil, err
	}
	size := capacity.Slope{Name: "hand-over-bytes", Unit: "bytes", Per: "record", Counted: true}
	took, err := over(capacity.Slope{Name: "hand-over-time", Unit: "seconds", Per: "record"}, []int{1000, 8000, 40_000},
		func(n int) (float64, error) {
			from := once.New(once.Config{})
			from.AcquireNew(core.FullRange)
			from.MergeRecords(filled(n).RecordsIn(core.FullRange))
			b, err := groupwire.EncodeTransfer(core.FullRange, from.Export(core.FullRange))
			size.Points = append(size.Points, capacity.Point{Size: float64(n), Value: float64(len(b))})
			return timed(1, func() { handOver(from) }), err
		})
	return []capacity.Slope{memory, size, took}, err
}

// handOver does the work of both sides of a hand-over. The new table is made
// beforehand in a node, so the time of New is a small part that stays in.
func handOver(from *once.Table) {
	b, err := groupwire.EncodeTransfer(core.FullRange, from.Export(core.FullRange))
	if err != nil {
		return
	}
	if _, in, err := groupwire.DecodeTransfer(b); err == nil {
		once.New(once.Config{}).Import(wall, in)
	}
}

// admissionCosts measures a decision, from Offer to Done, with a backend
// server of 17 slots, and the memory of a controller.
func admissionCosts() ([]capacity.Slope, error) {
	queued, err := over(capacity.Slope{Name: "admission-time", Unit: "seconds", Per: "request in flight"}, []int{16, 128, 1000},
		func(n int) (float64, error) { return decision(n, 64), nil })
	if err != nil {
		return nil, err
	}
	customers, err := over(capacity.Slope{Name: "admission-customer-time", Unit: "seconds", Per: "customer"}, []int{8, 64, 512},
		func(n int) (float64, error) { return decision(512, n), nil })
	if err != nil {
		return nil, err
	}
	memory, err := over(capacity.Slope{Name: "admission-memory", Unit: "bytes", Per: "queue place"}, []int{256, 1024, 4096},
		func(n int) (float64, error) {
			return held(20, func() *admission.Controller { return admission.New(admission.Config{QueueSize: n}) }), nil
		})
	return []capacity.Slope{queued, customers, memory}, err
}

// decision returns the time of one exchange with inFlight requests running or
// waiting, spread over customers.
func decision(inFlight, customers int) float64 {
	c := admission.New(admission.Config{Slots: 17, Connections: 130, QueueSize: 2048, MaxShortWait: time.Hour})
	now := clock.Instant(time.Hour)
	names := make([]core.Customer, customers)
	for i := range names {
		names[i] = core.Customer("customer-" + strconv.Itoa(i))
	}
	running, next := make([]admission.ID, 0, 4096), 0
	offer := func() {
		d := c.Offer(now, admission.Ticket{Customer: names[next%customers], Path: "/lookup", Kind: core.KindShort, Length: 0})
		next++
		if d.Verdict == admission.Admit {
			running = append(running, d.ID)
		}
	}
	step := func() {
		now = now.Add(100 * time.Microsecond)
		offer()
		if len(running) == 0 {
			return
		}
		id := running[0]
		running = append(running[:0], running[1:]...)
		for _, s := range c.Done(now, id, admission.OK) {
			running = append(running, s.ID)
		}
	}
	for range inFlight {
		offer()
	}
	return timed(5000, step)
}

// suspects measures the marks of requests that crash backend servers.
func suspects() ([]capacity.Slope, error) {
	s, err := over(capacity.Slope{Name: "suspect-memory", Unit: "bytes", Per: "fingerprint"}, []int{64, 256, 1024},
		func(n int) (float64, error) { return held(20, func() *suspect.Table { return marked(n) }), nil })
	return []capacity.Slope{s}, err
}

func marked(n int) *suspect.Table {
	t := suspect.New(suspect.Config{Capacity: n})
	for i := range n {
		t.RecordDeath(clock.Instant(time.Hour), suspect.DeathID(i+1), []suspect.InflightRequest{{Fingerprint: suspect.Fingerprint(i + 1), Note: "POST /tiles/" + strconv.Itoa(i)}})
	}
	return t
}
