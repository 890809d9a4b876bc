package once

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"marjoramshore.example/core"
)

// RequestID is a digest of service, customer and idempotency key. The hash is
// cryptographic, because a caller that could make two requests collide would
// receive the recorded outcome of another one.
type RequestID [16]byte

// Key identifies one logical request across its resends.
type Key struct {
	Service        core.Service
	Customer       core.Customer
	IdempotencyKey string
	// Hash is the hash of the request's routing key.
	Hash core.Hash
}

// State is what is known about the end of a request that has begun.
type State uint8

// States of a record.
const (
	// Running means that the request has begun and not ended.
	Running State = iota + 1
	// Done means that the request has ended with the recorded outcome.
	Done
	// Unknown means that the request has begun and its end was not seen.
	Unknown
)

// Record is a request that has begun. Outcome and Status are empty until its
// end is recorded.
type Record struct {
	ID      RequestID
	Hash    core.Hash
	State   State
	Outcome core.Outcome
	Status  int
	// Begun is the wall time at which the first attempt began, rounded up to a
	// second.
	Begun time.Time
}

// Verdict is the kind of a Decision.
type Verdict uint8

// Verdicts.
const (
	// Run allows the request to run. It is recorded as running if it has an
	// idempotency key.
	Run Verdict = iota + 1
	// Duplicate means that the request has begun before; Decision.Record tells
	// its state.
	Duplicate
	// MayHaveRun means that no record exists, but that the request may have run
	// before the records of its range became complete. It must not run, and the
	// caller is told outcome-unknown.
	MayHaveRun
	// NotOwned means that the request is outside the ranges of this owner. It
	// did not run.
	NotOwned
)

// Decision is the result of Begin.
type Decision struct {
	Verdict Verdict
	// ID identifies the request to RecordEnd and RemoveUnstarted. It is zero
	// for NotOwned and for a request without an idempotency key.
	ID RequestID
	// Record is set for Duplicate.
	Record Record
}

// Config sets up a Table. A field that is zero or less takes its default, which
// is given in parentheses.
type Config struct {
	// MaxBytes bounds the memory of records and index, in bytes (8 MiB).
	MaxBytes int
	// Window is the time for which a record is kept (10 minutes).
	Window time.Duration
	// MaxClockSkew bounds the difference between the clocks of a caller and a
	// node (1 s).
	MaxClockSkew time.Duration
}

func (c Config) withDefaults() Config {
	if c.MaxBytes <= 0 {
		c.MaxBytes = 8 << 20
	}
	if c.Window <= 0 {
		c.Window = 10 * time.Minute
	}
	if c.MaxClockSkew <= 0 {
		c.MaxClockSkew = time.Second
	}
	return c
}

// Table holds the records of one owner.
//
// For each owned range it keeps a horizon: a request of the range that began
// within the window and has no record began no later than the horizon. Evicting
// a record raises the horizon of its range to the time of that record.
type Table struct {
	cfg     Config
	records recordRing
	owned   ownedRanges
	// lastWall is the last wall time seen, in ms since the epoch.
	lastWall int64
	// evictedEarly counts records that were evicted before the window passed.
	evictedEarly uint64
	// unownedHorizon is the time of the latest record that was evicted outside
	// the owned ranges, in ms since the epoch. The records of a range that is
	// imported later may lack that one.
	unownedHorizon int64
	scratch        []byte
}

// New returns a Table that owns nothing. It allocates the memory for all
// records.
func New(c Config) *Table {
	c = c.withDefaults()
	return &Table{cfg: c, records: newRecordRing(c.MaxBytes), scratch: make([]byte, 0, 512)}
}

// Acquire takes over a range whose former owner was lost. The records of the
// range are complete from wall on, which must not be earlier than the end of
// the former owner's lease.
func (t *Table) Acquire(r core.Range, wall time.Time) {
	t.observeWall(wall)
	t.owned.set(r, wall.UnixMilli())
}

// AcquireNew takes a range that no owner has ever served. Its records are
// complete from the start.
func (t *Table) AcquireNew(r core.Range) { t.owned.set(r, 0) }

// Release gives up a range. Its records stay until they expire, so that
// exchanges still in flight can be finished and exported.
func (t *Table) Release(r core.Range) { t.owned.clear(r) }

// Begin decides whether a non-idempotent request may run. A request without an
// idempotency key cannot be recognised and always runs without a record.
// issuedAt is the caller's wall time of the first attempt, or zero.
func (t *Table) Begin(wall time.Time, k Key, issuedAt time.Time) Decision {
	ms := t.observeWall(wall)
	owned := t.owned.find(k.Hash)
	if owned == nil {
		return Decision{Verdict: NotOwned}
	}
	if k.IdempotencyKey == "" {
		return Decision{Verdict: Run}
	}
	id := t.digest(k)
	if r := t.records.find(id); r != nil {
		return Decision{Verdict: Duplicate, ID: id, Record: r.toRecord()}
	}
	if t.mayHaveRun(owned, ms, issuedAt) {
		return Decision{Verdict: MayHaveRun, ID: id}
	}
	t.insert(record{id: id, hash: k.Hash, state: Running, begunSeconds: ceilSeconds(ms)})
	return Decision{Verdict: Run, ID: id}
}

// mayHaveRun reports whether a request without a record may have begun before
// the records of its range became complete.
func (t *Table) mayHaveRun(owned *ownedRange, wallMillis int64, issuedAt time.Time) bool {
	skew, window := t.cfg.MaxClockSkew.Milliseconds(), t.cfg.Window.Milliseconds()
	issued := issuedAt.UnixMilli()
	if issuedAt.IsZero() || issued > wallMillis+skew {
		// An issue time in the future is outside the skew bound and says as
		// little as none.
		return owned.horizon > 0 && owned.horizon+skew > wallMillis-window
	}
	return issued <= max(owned.horizon, wallMillis-window)+skew
}

// RecordEnd records the end of a request that Begin allowed to run. The state
// is Done, or Unknown if the end was not seen.
func (t *Table) RecordEnd(id RequestID, s State, o core.Outcome, status int) {
	if r := t.records.find(id); r != nil && r.state == Running {
		r.state, r.outcome, r.status = s, outcomeIndex(o), uint16(status)
	}
}

// RemoveUnstarted removes the record of a request of which certainly no byte
// reached the backend server, so that a resend may run.
func (t *Table) RemoveUnstarted(id RequestID) {
	if r := t.records.find(id); r != nil && r.state == Running {
		t.records.remove(r)
	}
}

// Stats describes a Table for telemetry. Records and Capacity count records.
type Stats struct {
	Records, Capacity, Bytes int
	// Evicted counts records that were evicted before the window passed.
	Evicted uint64
}

// Stats returns the current statistics.
func (t *Table) Stats() Stats {
	r := &t.records
	return Stats{Records: r.live, Capacity: len(r.ring), Bytes: r.bytes(), Evicted: t.evictedEarly}
}

// observeWall takes note of the wall time, drops expired records and returns
// the time in ms since the epoch. When the clock is set back, horizons in the
// future are lowered to the new time, because nothing that has run so far can
// have been issued later than now.
func (t *Table) observeWall(wall time.Time) int64 {
	ms := wall.UnixMilli()
	if ms < t.lastWall-t.cfg.MaxClockSkew.Milliseconds() {
		for i := range t.owned.sorted {
			t.owned.sorted[i].horizon = min(t.owned.sorted[i].horizon, ms)
		}
		t.unownedHorizon = min(t.unownedHorizon, ms)
	}
	t.lastWall = ms
	t.dropExpired(ms)
	return ms
}

// dropExpired drops records that are older than the window.
func (t *Table) dropExpired(ms int64) {
	oldest := ms - t.cfg.Window.Milliseconds()
	for r := t.records.oldest(); r != nil && r.begunMillis() < oldest; r = t.records.oldest() {
		t.records.dropOldest()
	}
}

// insert adds a record and evicts the oldest ones if the ring is full.
func (t *Table) insert(r record) {
	for t.records.full() {
		if old := t.records.oldest(); old.state != 0 {
			t.evictedEarly++
			t.raiseHorizon(old)
		}
		t.records.dropOldest()
	}
	t.records.add(r)
}

// raiseHorizon raises the horizon to the time of a record that is being
// evicted. A record from before the clock was set back counts as if it had
// begun now.
func (t *Table) raiseHorizon(r *record) {
	at := min(r.begunMillis(), t.lastWall+time.Second.Milliseconds())
	if s := t.owned.find(r.hash); s != nil {
		s.horizon = max(s.horizon, at)
	} else {
		t.unownedHorizon = max(t.unownedHorizon, at)
	}
}

func (t *Table) digest(k Key) RequestID {
	b := t.scratch[:0]
	for _, s := range [...]string{string(k.Service), string(k.Customer), k.IdempotencyKey} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	if cap(b) <= maxScratchBytes {
		t.scratch = b
	}
	sum := sha256.Sum256(b)
	return RequestID(sum[:16])
}

// maxScratchBytes bounds the buffer that is kept for computing digests.
const maxScratchBytes = 4096
