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

// wallTime is the wall-clock time used in all measurements of records and
// events.
var wallTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// sampleOnceTable returns a table that holds the records of n completed
// requests and has no room for more.
func sampleOnceTable(n int) *once.Table {
	t := once.New(once.Config{MaxBytes: n * 40})
	t.AcquireNew(core.FullRange)
	for i := range n {
		d := t.Begin(wallTime, once.Key{Service: service, Customer: "ruoka", IdempotencyKey: strconv.Itoa(i), Hash: core.HashKey(strconv.Itoa(i))}, wallTime)
		t.RecordEnd(d.ID, once.Done, core.OutcomeAnswered, 200)
	}
	return t
}

// measureOnceRecords measures the memory of at-most-once records, and the size
// and the processor time of a hand-over from export to import.
func measureOnceRecords() ([]capacity.Slope, error) {
	memory, err := measureSizes(capacity.Slope{Name: "record-memory", Unit: "bytes", Per: "record"}, []int{15_000, 60_000, 240_000},
		func(n int) (float64, error) {
			var table *once.Table
			usedBytes := heapOf(1, func() *once.Table {
				table = sampleOnceTable(n)
				return table
			})
			return usedBytes * float64(n) / float64(table.Stats().Capacity), nil
		})
	if err != nil {
		return nil, err
	}
	transferBytes := capacity.Slope{Name: "hand-over-bytes", Unit: "bytes", Per: "record", Counted: true}
	transferTime, err := measureSizes(capacity.Slope{Name: "hand-over-time", Unit: "seconds", Per: "record"}, []int{1000, 8000, 40_000},
		func(n int) (float64, error) {
			from := once.New(once.Config{})
			from.AcquireNew(core.FullRange)
			from.MergeRecords(sampleOnceTable(n).RecordsIn(core.FullRange))
			b, err := groupwire.EncodeTransfer(core.FullRange, from.Export(core.FullRange))
			transferBytes.Points = append(transferBytes.Points, capacity.Point{Size: float64(n), Value: float64(len(b))})
			return secondsPerRun(1, func() { handOverRecords(from) }), err
		})
	return []capacity.Slope{memory, transferBytes, transferTime}, err
}

// handOverRecords does the work of both sides of a hand-over. A node creates
// the receiving table beforehand; here the call of New is included, since it
// takes only a small part of the time.
func handOverRecords(from *once.Table) {
	b, err := groupwire.EncodeTransfer(core.FullRange, from.Export(core.FullRange))
	if err != nil {
		return
	}
	if _, in, err := groupwire.DecodeTransfer(b); err == nil {
		once.New(once.Config{}).Import(wallTime, in)
	}
}

// measureAdmission measures the time of an admission decision, from Offer to
// Done, with a backend server of 17 slots, and the memory of a controller.
func measureAdmission() ([]capacity.Slope, error) {
	queued, err := measureSizes(capacity.Slope{Name: "admission-time", Unit: "seconds", Per: "request in flight"}, []int{16, 128, 1000},
		func(n int) (float64, error) { return decisionSeconds(n, 64), nil })
	if err != nil {
		return nil, err
	}
	customers, err := measureSizes(capacity.Slope{Name: "admission-customer-time", Unit: "seconds", Per: "customer"}, []int{8, 64, 512},
		func(n int) (float64, error) { return decisionSeconds(512, n), nil })
	if err != nil {
		return nil, err
	}
	memory, err := measureSizes(capacity.Slope{Name: "admission-memory", Unit: "bytes", Per: "queue place"}, []int{256, 1024, 4096},
		func(n int) (float64, error) {
			return heapOf(20, func() *admission.Controller { return admission.New(admission.Config{QueueSize: n}) }), nil
		})
	return []capacity.Slope{queued, customers, memory}, err
}

// decisionSeconds returns the seconds that admission spends on one request,
// while inFlight requests of the given number of customers are running or
// waiting.
func decisionSeconds(inFlight, customers int) float64 {
	controller := admission.New(admission.Config{Slots: 17, Connections: 130, QueueSize: 2048, MaxShortWait: time.Hour})
	now := clock.Instant(time.Hour)
	names := make([]core.Customer, customers)
	for i := range names {
		names[i] = core.Customer("customer-" + strconv.Itoa(i))
	}
	running, offered := make([]admission.ID, 0, 4096), 0
	offer := func() {
		d := controller.Offer(now, admission.Ticket{Customer: names[offered%customers], Path: "/lookup", Kind: core.KindShort, Length: 0})
		offered++
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
		for _, s := range controller.Done(now, id, admission.OK) {
			running = append(running, s.ID)
		}
	}
	for range inFlight {
		offer()
	}
	return secondsPerRun(5000, step)
}

// measureSuspects measures the memory of the fingerprints of requests that
// crash backend servers.
func measureSuspects() ([]capacity.Slope, error) {
	s, err := measureSizes(capacity.Slope{Name: "suspect-memory", Unit: "bytes", Per: "fingerprint"}, []int{64, 256, 1024},
		func(n int) (float64, error) { return heapOf(20, func() *suspect.Table { return suspects(n) }), nil })
	return []capacity.Slope{s}, err
}

// suspects returns a full table with the marks of n requests.
func suspects(n int) *suspect.Table {
	t := suspect.New(suspect.Config{Capacity: n})
	for i := range n {
		t.RecordDeath(clock.Instant(time.Hour), suspect.DeathID(i+1), []suspect.InflightRequest{{Fingerprint: suspect.Fingerprint(i + 1), Note: "POST /tiles/" + strconv.Itoa(i)}})
	}
	return t
}
