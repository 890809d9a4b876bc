package backend

import "sync"

// RunCounts counts the stages reached by the requests with the same request id
// or idempotency key.
type RunCounts struct {
	// Received counts requests whose header arrived.
	Received int
	// Started counts requests that took a slot and began their work.
	Started int
	// Completed counts requests whose work finished.
	Completed int
}

// Stats holds counters since New. They survive a crash, so that tests can count
// duplicate runs across it.
type Stats struct {
	Received, Started, Completed uint64
	// DuplicateRuns counts starts beyond the first of the same idempotency key.
	DuplicateRuns uint64
	// DuplicateIDs counts starts beyond the first of the same request id.
	DuplicateIDs uint64
	// Shed, Fenced, Drained and Expired count requests that did not run:
	// because the queue was full, the fencing token outdated, the server
	// draining or the deadline past.
	Shed, Fenced, Drained, Expired uint64
	// Canceled counts requests whose caller closed the connection before the
	// work finished.
	Canceled uint64
	// Aborted counts requests that a crash interrupted.
	Aborted uint64
	Crashes uint64
	// InFlight and Queued are current numbers; the peaks are since New.
	InFlight, Queued         int
	PeakInFlight, PeakQueued int
	// Connections is the number of open connections, and RefusedConnections
	// counts those closed because the limit was reached.
	Connections, PeakConnections int
	RefusedConnections           uint64
	// Unrecorded counts updates of RunCounts that were dropped because
	// Config.MaxRecords was reached.
	Unrecorded uint64
}

// identity holds the ids by which runs of a request are counted; either may be
// empty.
type identity struct{ requestID, idempotencyKey string }

// records counts the runs of requests by request id and by idempotency key.
type records struct {
	mu               sync.Mutex
	maxEntries       int
	stats            Stats
	byRequestID      map[string]RunCounts
	byIdempotencyKey map[string]RunCounts
}

func newRecords(limit int) *records {
	return &records{maxEntries: limit, byRequestID: map[string]RunCounts{}, byIdempotencyKey: map[string]RunCounts{}}
}

// update applies change to the counts of the request id and to those of the
// idempotency key. The caller holds the lock.
func (r *records) update(id identity, change func(*RunCounts)) {
	for _, e := range []struct {
		m map[string]RunCounts
		k string
	}{{r.byRequestID, id.requestID}, {r.byIdempotencyKey, id.idempotencyKey}} {
		if e.k == "" {
			continue
		}
		run, known := e.m[e.k]
		if !known && len(e.m) >= r.maxEntries {
			r.stats.Unrecorded++
			continue
		}
		change(&run)
		e.m[e.k] = run
	}
}

func (r *records) addReceived(id identity) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Received++
	r.update(id, func(run *RunCounts) { run.Received++ })
}

func (r *records) addStarted(id identity) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Started++
	if r.byRequestID[id.requestID].Started > 0 {
		r.stats.DuplicateIDs++
	}
	if r.byIdempotencyKey[id.idempotencyKey].Started > 0 {
		r.stats.DuplicateRuns++
	}
	r.update(id, func(run *RunCounts) { run.Started++ })
}

func (r *records) addCompleted(id identity) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Completed++
	r.update(id, func(run *RunCounts) { run.Completed++ })
}

func (r *records) updateStats(change func(*Stats)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.stats)
}

// Stats returns a copy of the counters.
func (s *Server) Stats() Stats {
	s.records.mu.Lock()
	defer s.records.mu.Unlock()
	return s.records.stats
}

// RunsOfRequest returns the counts of the requests with a request id.
func (s *Server) RunsOfRequest(requestID string) RunCounts {
	s.records.mu.Lock()
	defer s.records.mu.Unlock()
	return s.records.byRequestID[requestID]
}

// RunsOfIdempotencyKey returns the counts of the requests with a customer's
// idempotency key.
func (s *Server) RunsOfIdempotencyKey(customer, key string) RunCounts {
	s.records.mu.Lock()
	defer s.records.mu.Unlock()
	return s.records.byIdempotencyKey[qualifiedKey(customer, key)]
}

// qualifiedKey joins an idempotency key with its customer, because keys of
// different customers may be equal. It is empty for a request without a key.
func qualifiedKey(customer, key string) string {
	if key == "" {
		return ""
	}
	return customer + "\x00" + key
}
