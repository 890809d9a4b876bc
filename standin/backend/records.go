package backend

import "sync"

// RunCounts counts what happened to the requests that share an identity.
type RunCounts struct {
	// Received counts requests whose header arrived.
	Received int
	// Started counts requests that took a slot and ran.
	Started int
	// Completed counts requests whose work finished.
	Completed int
}

// Stats are counters since New. They survive a crash, so that tests can count
// second runs across it.
type Stats struct {
	Received, Started, Completed uint64
	// DuplicateRuns counts starts beyond the first of one idempotency key.
	DuplicateRuns uint64
	// SecondIDs counts starts beyond the first of one request id.
	SecondIDs uint64
	// Shed, Fenced, Drained and Expired count requests that did not run.
	Shed, Fenced, Drained, Expired uint64
	// Canceled counts requests whose caller left before the work finished.
	Canceled uint64
	// Aborted counts requests that a crash cut off.
	Aborted uint64
	Crashes uint64
	// InFlight and Queued are current numbers; the peaks are since New.
	InFlight, Queued         int
	PeakInFlight, PeakQueued int
	// Connections is the number of open connections, and Refused counts the
	// ones closed for exceeding the limit.
	Connections, PeakConnections int
	RefusedConnections           uint64
	// Unrecorded counts identities beyond Config.MaxRecords.
	Unrecorded uint64
}

type identity struct{ id, idem string }

type records struct {
	mu    sync.Mutex
	max   int
	stats Stats
	ids   map[string]RunCounts
	idems map[string]RunCounts
}

func newRecords(limit int) *records {
	return &records{max: limit, ids: map[string]RunCounts{}, idems: map[string]RunCounts{}}
}

func (r *records) note(who identity, change func(*RunCounts)) {
	for _, e := range []struct {
		m map[string]RunCounts
		k string
	}{{r.ids, who.id}, {r.idems, who.idem}} {
		if e.k == "" {
			continue
		}
		run, known := e.m[e.k]
		if !known && len(e.m) >= r.max {
			r.stats.Unrecorded++
			continue
		}
		change(&run)
		e.m[e.k] = run
	}
}

func (r *records) received(who identity) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Received++
	r.note(who, func(run *RunCounts) { run.Received++ })
}

func (r *records) started(who identity) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Started++
	if r.ids[who.id].Started > 0 {
		r.stats.SecondIDs++
	}
	if r.idems[who.idem].Started > 0 {
		r.stats.DuplicateRuns++
	}
	r.note(who, func(run *RunCounts) { run.Started++ })
}

func (r *records) completed(who identity) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Completed++
	r.note(who, func(run *RunCounts) { run.Completed++ })
}

func (r *records) count(change func(*Stats)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.stats)
}

// Stats returns the counters.
func (s *Server) Stats() Stats {
	s.rec.mu.Lock()
	defer s.rec.mu.Unlock()
	return s.rec.stats
}

// RunsOfRequest returns what happened to a request id.
func (s *Server) RunsOfRequest(requestID string) RunCounts {
	s.rec.mu.Lock()
	defer s.rec.mu.Unlock()
	return s.rec.ids[requestID]
}

// RunsOfIdempotencyKey returns what happened to a customer's idempotency key.
func (s *Server) RunsOfIdempotencyKey(customer, key string) RunCounts {
	s.rec.mu.Lock()
	defer s.rec.mu.Unlock()
	return s.rec.idems[idemKey(customer, key)]
}

func idemKey(customer, key string) string {
	if key == "" {
		return ""
	}
	return customer + "\x00" + key
}
