package once

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"marjoramshore.example/core"
)

// RequestID is the digest of service, customer and idempotency key. It is
// cryptographic, because a caller that could make two requests collide would
// receive the recorded outcome of another.
type RequestID [16]byte

// Key identifies one logical request across its resends.
type Key struct {
	Service        core.Service
	Customer       core.Customer
	IdempotencyKey string
	// Hash is the position of the request's routing key.
	Hash core.Hash
}

// State is what is known of a request that has begun.
type State uint8

// States.
const (
	// Running has begun and not ended.
	Running State = iota + 1
	// Done has ended with the recorded outcome.
	Done
	// Unknown has begun, and its end was not seen.
	Unknown
)

// Record is one request that has begun.
type Record struct {
	ID      RequestID
	Hash    core.Hash
	State   State
	Outcome core.Outcome
	Status  int
	// Begun is the wall time of the first attempt's start, rounded up to a
	// second.
	Begun time.Time
}

// Verdict is the kind of a Decision.
type Verdict uint8

// Verdicts.
const (
	// Run allows the request to run; it is now recorded as running.
	Run Verdict = iota + 1
	// Duplicate is a resend of the request in Decision.Record.
	Duplicate
	// MayHaveRun is a request that may have run before this owner's knowledge
	// began. It must not run; the caller is told outcome-unknown.
	MayHaveRun
	// NotOwned is a request outside the ranges of this owner. It did not run.
	NotOwned
)

// Decision answers Begin.
type Decision struct {
	Verdict Verdict
	// ID is what Finish and Forget take.
	ID RequestID
	// Record is set for Duplicate.
	Record Record
}

// Config sets up a Table. Zero fields take the defaults stated here.
type Config struct {
	// MaxBytes bounds the memory of the records and their index (8 MiB).
	MaxBytes int
	// Window is how long a record is kept (10 minutes).
	Window time.Duration
	// Skew bounds the difference between the clocks of a caller and a node
	// (1 s).
	Skew time.Duration
}

func (c Config) withDefaults() Config {
	if c.MaxBytes <= 0 {
		c.MaxBytes = 8 << 20
	}
	if c.Window <= 0 {
		c.Window = 10 * time.Minute
	}
	if c.Skew <= 0 {
		c.Skew = time.Second
	}
	return c
}

// Table holds the records of one owner.
//
// For each owned range it keeps a horizon: a request that began here, or on a
// former owner that handed over its records, and that has no record, began no
// later than the horizon. Evicting a record moves the horizon of its range to
// the time of that record.
type Table struct {
	cfg     Config
	records records
	spans   spans
	// wall is the latest wall time seen, in ms since the epoch.
	wall    int64
	evicted uint64
	// unowned is the time of the latest record that was evicted outside the
	// owned ranges. A range that is imported later may lack that record.
	unowned int64
	scratch []byte
}

// New returns an empty Table that owns nothing. All memory is allocated here.
func New(c Config) *Table {
	c = c.withDefaults()
	return &Table{cfg: c, records: newRecords(c.MaxBytes), scratch: make([]byte, 0, 512)}
}

// Acquire takes over a range from an owner that was lost. Knowledge of the
// range begins at wall, which must not be earlier than the end of the former
// owner's lease.
func (t *Table) Acquire(r core.Range, wall time.Time) {
	t.observe(wall)
	t.spans.set(r, wall.UnixMilli())
}

// AcquireNew takes a range that no owner has ever served. Its knowledge is
// complete from the start.
func (t *Table) AcquireNew(r core.Range) { t.spans.set(r, 0) }

// Release gives a range up. Its records stay until they age out, so that
// exchanges that are still in flight can be finished and exported.
func (t *Table) Release(r core.Range) { t.spans.clear(r) }

// Begin decides about a non-idempotent request. A request without an
// idempotency key cannot be recognised and always runs without a record.
// issuedAt is the caller's wall time of the first attempt, or zero.
func (t *Table) Begin(wall time.Time, k Key, issuedAt time.Time) Decision {
	ms := t.observe(wall)
	span := t.spans.find(k.Hash)
	if span == nil {
		return Decision{Verdict: NotOwned}
	}
	if k.IdempotencyKey == "" {
		return Decision{Verdict: Run}
	}
	id := t.digest(k)
	if r := t.records.find(id); r != nil {
		return Decision{Verdict: Duplicate, ID: id, Record: r.public()}
	}
	if t.mayHaveRun(span, ms, issuedAt) {
		return Decision{Verdict: MayHaveRun, ID: id}
	}
	t.insert(record{id: id, hash: k.Hash, state: Running, begun: seconds(ms)})
	return Decision{Verdict: Run, ID: id}
}

// mayHaveRun reports whether a request without a record may have begun before
// this owner's knowledge.
func (t *Table) mayHaveRun(s *span, wall int64, issuedAt time.Time) bool {
	skew, window := t.cfg.Skew.Milliseconds(), t.cfg.Window.Milliseconds()
	issued := issuedAt.UnixMilli()
	if issuedAt.IsZero() || issued > wall+skew {
		// An issue time in the future is outside the skew bound and says as
		// little as none.
		return s.horizon > 0 && s.horizon+skew > wall-window
	}
	return issued <= max(s.horizon, wall-window)+skew
}

// RecordEnd records the end of a request that Begin allowed to run. Use state
// Unknown when the end was not seen.
func (t *Table) RecordEnd(id RequestID, s State, o core.Outcome, status int) {
	if r := t.records.find(id); r != nil && r.state == Running {
		r.state, r.outcome, r.status = s, outcomeIndex(o), uint16(status)
	}
}

// RemoveUnstarted removes the record of a request of which it is certain that not one
// byte reached the backend server, so that a resend may run.
func (t *Table) RemoveUnstarted(id RequestID) {
	if r := t.records.find(id); r != nil && r.state == Running {
		t.records.remove(r)
	}
}

// Stats describes a Table for telemetry.
type Stats struct {
	Records, Capacity, Bytes int
	// Evicted counts records that were dropped before the window passed.
	Evicted uint64
}

// Stats returns the current figures.
func (t *Table) Stats() Stats {
	r := &t.records
	return Stats{Records: r.live, Capacity: len(r.ring), Bytes: r.bytes(), Evicted: t.evicted}
}

// observe follows the wall clock. When the clock is set back, horizons that
// lie in the future are lowered to it, because nothing that ran until now can
// have been issued later than now.
func (t *Table) observe(wall time.Time) int64 {
	ms := wall.UnixMilli()
	if ms < t.wall-t.cfg.Skew.Milliseconds() {
		for i := range t.spans.list {
			t.spans.list[i].horizon = min(t.spans.list[i].horizon, ms)
		}
		t.unowned = min(t.unowned, ms)
	}
	t.wall = ms
	t.expire(ms)
	return ms
}

// expire drops records that are older than the window.
func (t *Table) expire(ms int64) {
	oldest := ms - t.cfg.Window.Milliseconds()
	for r := t.records.oldest(); r != nil && r.millis() < oldest; r = t.records.oldest() {
		t.records.dropOldest()
	}
}

func (t *Table) insert(r record) {
	for t.records.full() {
		if old := t.records.oldest(); old.state != 0 {
			t.evicted++
			t.raise(old)
		}
		t.records.dropOldest()
	}
	t.records.add(r)
}

// raise moves the horizon past a record that is being evicted. A record from
// before the clock was set back counts as if it had begun now.
func (t *Table) raise(r *record) {
	at := min(r.millis(), t.wall+time.Second.Milliseconds())
	if s := t.spans.find(r.hash); s != nil {
		s.horizon = max(s.horizon, at)
	} else {
		t.unowned = max(t.unowned, at)
	}
}

func (t *Table) digest(k Key) RequestID {
	b := t.scratch[:0]
	for _, s := range [...]string{string(k.Service), string(k.Customer), k.IdempotencyKey} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	if cap(b) <= maxScratch {
		t.scratch = b
	}
	sum := sha256.Sum256(b)
	return RequestID(sum[:16])
}

// maxScratch bounds the buffer that is kept for digests.
const maxScratch = 4096
