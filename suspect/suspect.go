package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// Fingerprint identifies requests that are equal for a backend server.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request. bodyPrefix is a digest
// of the first bytes of the body. The hash is cryptographic, so that a caller
// cannot cause the quarantine of another request by a collision.
func NewFingerprint(service core.Service, key, method, path string, bodyPrefix []byte) Fingerprint {
	var scratch [512]byte
	b := scratch[:0]
	for _, x := range [...]string{string(service), key, method, path} {
		b = binary.AppendUvarint(b, uint64(len(x)))
		b = append(b, x...)
	}
	b = append(b, bodyPrefix...)
	sum := sha256.Sum256(b)
	return Fingerprint(binary.LittleEndian.Uint64(sum[:8]))
}

// Verdict is the decision of Start.
type Verdict uint8

// Verdicts.
const (
	// Allow lets the request start.
	Allow Verdict = iota + 1
	// Hold refuses a marked request while another marked request runs here. The
	// caller is told that it did not run and when to retry, so that a further
	// death has one suspect only.
	Hold
	// Quarantined refuses a request that must not run.
	Quarantined
)

// maxDeaths is the number of deaths at which a fingerprint is quarantined in
// any case. The objective is that one request kills no more backend servers.
const maxDeaths = 3

// DeathID identifies the death of one run of a backend server, so that a death
// that is reported on several paths counts once. It is derived from the
// incarnation.
type DeathID uint64

// death is the death of a backend server while a request with the fingerprint
// was in flight.
type death struct {
	id DeathID
	at clock.Instant
	// share is the fingerprint's share of the blame, from 0 to 1.
	share float32
}

// entry holds what is known of one fingerprint.
type entry struct {
	note       string
	deaths     [maxDeaths]death // the first deathCount are valid
	deathCount int
	running    int
	// Deaths up to the later of lastSuccess and lastLift no longer count.
	lastSuccess, lastLift clock.Instant
	quarantinedAt         clock.Instant // zero when not quarantined
	lastSeen              clock.Instant
}

// Config sets up a Table. A field that is zero or less takes its default, which
// is given in parentheses.
type Config struct {
	// Capacity is the maximum number of fingerprints in the table (1024).
	Capacity int
	// Retention is the time after which a mark, or a quarantine whose request
	// is no longer sent, is dropped (24 h). A crashing request that is resent
	// less often than this is not recognised, so it is long.
	Retention time.Duration
	// MaxHold is the longest time for which one marked request makes others
	// wait (1 s).
	MaxHold time.Duration
	// MinDeaths is the number of deaths from which a fingerprint whose shares of the
	// blame add up to one is quarantined (2, and at most 3).
	MinDeaths int
}

func (c Config) withDefaults() Config {
	if c.Capacity <= 0 {
		c.Capacity = 1024
	}
	if c.Retention <= 0 {
		c.Retention = 24 * time.Hour
	}
	if c.MaxHold <= 0 {
		c.MaxHold = time.Second
	}
	if c.MinDeaths <= 0 {
		c.MinDeaths = 2
	}
	c.MinDeaths = min(c.MinDeaths, maxDeaths)
	return c
}

// Table holds the marks and quarantines that a node knows of.
type Table struct {
	cfg     Config
	entries map[Fingerprint]*entry
	// exclusive are the marked entries of the request that runs here since
	// exclusiveSince. Marked requests without any of them are held while the running
	// count of one is above zero, for at most MaxHold.
	exclusive      [maxFingerprints]*entry
	exclusiveSince clock.Instant
}

// New returns an empty Table.
func New(c Config) *Table {
	return &Table{cfg: c.withDefaults(), entries: make(map[Fingerprint]*entry)}
}

// Start decides whether a request may start on the backend server. A request may have
// several fingerprints, of which each counts. One that has no entry creates none.
func (t *Table) Start(now clock.Instant, fingerprints ...Fingerprint) Verdict {
	var marked [maxFingerprints]*entry
	isMarked, isExclusive, quarantined := false, false, false
	for i, f := range fingerprints[:min(len(fingerprints), maxFingerprints)] {
		e := t.find(now, f)
		switch {
		case e == nil:
		case e.quarantinedAt != 0:
			e.lastSeen = now
			quarantined = true
		case e.deathCount > 0:
			marked[i], isMarked = e, true
			isExclusive = isExclusive || slices.Contains(t.exclusive[:], e)
		}
	}
	switch {
	case quarantined:
		return Quarantined
	case !isMarked:
		return Allow
	case !isExclusive && t.exclusiveRuns() && now.Sub(t.exclusiveSince) < t.cfg.MaxHold:
		return Hold
	}
	if !isExclusive || !t.exclusiveRuns() {
		t.exclusive, t.exclusiveSince = marked, now
	}
	for _, e := range marked {
		if e != nil {
			e.running++
		}
	}
	return Allow
}

// exclusiveRuns reports whether a request with one of the exclusive entries runs.
func (t *Table) exclusiveRuns() bool {
	return slices.ContainsFunc(t.exclusive[:], func(e *entry) bool { return e != nil && e.running > 0 })
}

// maxFingerprints bounds the fingerprints of one request.
const maxFingerprints = 2

// Finish records the end of a request with one fingerprint, as FinishAll does.
func (t *Table) Finish(now clock.Instant, f Fingerprint, ok bool) { t.FinishAll(now, ok, f) }

// FinishAll records the end of a request that Start allowed. ok means that the backend
// server gave a complete answer, which clears the fingerprints' earlier deaths. It
// reports whether that changed a mark.
func (t *Table) FinishAll(now clock.Instant, ok bool, fingerprints ...Fingerprint) bool {
	cleared := false
	for _, f := range fingerprints {
		e := t.entries[f]
		if e == nil {
			continue
		}
		e.running = max(0, e.running-1)
		if ok && e.quarantinedAt == 0 {
			cleared = cleared || e.deathCount > 0
			e.lastSuccess, e.lastSeen = now, now
			e.removeCleared()
		}
	}
	return cleared
}

// InflightRequest is a request that was in flight when the backend server died.
type InflightRequest struct {
	Fingerprint Fingerprint
	// Note describes the request to operators. Only its first 128 bytes are
	// kept.
	Note string
}

const maxNoteBytes = 128

// RecordDeath marks the requests in flight at a death and returns the
// fingerprints that become quarantined by it. The blame is shared among the
// fingerprints that have earlier marks, or among all when none has. A
// fingerprint is quarantined from Config.MinDeaths on if its shares add up to one, and
// at its third death in any case.
func (t *Table) RecordDeath(now clock.Instant, id DeathID, inflight []InflightRequest) []Fingerprint {
	unhandled := make(map[Fingerprint]string, len(inflight))
	markedCount := 0
	for _, r := range inflight {
		if _, duplicate := unhandled[r.Fingerprint]; duplicate {
			continue
		}
		unhandled[r.Fingerprint] = r.Note
		if e := t.find(now, r.Fingerprint); e != nil && e.deathCount > 0 {
			markedCount++
		}
	}
	var quarantined []Fingerprint
	for _, r := range inflight {
		note, pending := unhandled[r.Fingerprint]
		if !pending {
			continue
		}
		delete(unhandled, r.Fingerprint)
		e := t.findOrAdd(now, r.Fingerprint)
		e.note, e.running = note[:min(len(note), maxNoteBytes)], 0
		if e.addDeath(death{id, now, t.blameShare(e, markedCount, len(inflight))}) && e.quarantineIfDue(now, t.cfg.MinDeaths) {
			quarantined = append(quarantined, r.Fingerprint)
		}
	}
	return quarantined
}

// blameShare returns the entry's share of the blame for a death at which total
// requests were in flight, of which markedCount distinct ones had marks.
func (t *Table) blameShare(e *entry, markedCount, total int) float32 {
	switch {
	case markedCount == 0:
		return 1 / float32(total)
	case e.deathCount > 0:
		return 1 / float32(markedCount)
	default:
		return 0
	}
}

// Lift ends a quarantine by an operator's order and clears its marks. It
// reports whether f was quarantined.
func (t *Table) Lift(now clock.Instant, f Fingerprint) bool {
	e := t.find(now, f)
	if e == nil || e.quarantinedAt == 0 {
		return false
	}
	e.lastLift, e.lastSeen = now, now
	e.removeCleared()
	return true
}

// Quarantine quarantines a fingerprint by an operator's order. note describes
// the reason to operators.
func (t *Table) Quarantine(now clock.Instant, f Fingerprint, note string) {
	e := t.findOrAdd(now, f)
	e.note = note[:min(len(note), maxNoteBytes)]
	e.quarantinedAt = now
}

// QuarantinedRequest is a quarantined fingerprint as shown to operators.
type QuarantinedRequest struct {
	Fingerprint Fingerprint
	Note        string
	Deaths      int
	// Since is the time since the start of the quarantine, and Seen the time
	// since the request was last refused or otherwise recorded.
	Since, Seen time.Duration
}

// ListQuarantined returns the quarantined fingerprints in no particular order.
func (t *Table) ListQuarantined(now clock.Instant) []QuarantinedRequest {
	var out []QuarantinedRequest
	for f := range t.entries {
		if q, ok := t.Find(now, f); ok {
			out = append(out, q)
		}
	}
	return out
}

// Find returns what is known of a quarantined fingerprint, or false if it is not
// quarantined.
func (t *Table) Find(now clock.Instant, f Fingerprint) (QuarantinedRequest, bool) {
	e := t.find(now, f)
	if e == nil || e.quarantinedAt == 0 {
		return QuarantinedRequest{}, false
	}
	return QuarantinedRequest{f, e.note, e.deathCount, now.Sub(e.quarantinedAt), now.Sub(e.lastSeen)}, true
}

// Count returns the number of fingerprints with marks, and of those in quarantine.
func (t *Table) Count(now clock.Instant) (marked, quarantined int) {
	for f := range t.entries {
		switch e := t.find(now, f); {
		case e == nil:
		case e.quarantinedAt != 0:
			quarantined++
		case e.deathCount > 0:
			marked++
		}
	}
	return marked, quarantined
}

// Len returns the number of fingerprints in the table.
func (t *Table) Len() int { return len(t.entries) }

// find returns the entry of f, or nil. It deletes an entry whose retention has
// passed.
func (t *Table) find(now clock.Instant, f Fingerprint) *entry {
	e := t.entries[f]
	if e != nil && now.Sub(e.lastSeen) > t.cfg.Retention {
		delete(t.entries, f)
		return nil
	}
	return e
}

// findOrAdd returns the entry of f, marked as seen now. It adds one if needed
// and evicts another one if the table is full.
func (t *Table) findOrAdd(now clock.Instant, f Fingerprint) *entry {
	e := t.find(now, f)
	if e == nil {
		if len(t.entries) >= t.cfg.Capacity {
			t.evict()
		}
		e = &entry{}
		t.entries[f] = e
	}
	e.lastSeen = max(e.lastSeen, now)
	return e
}

// evict deletes the least important entry.
func (t *Table) evict() {
	var victim Fingerprint
	var least *entry
	for f, e := range t.entries {
		if least == nil || e.lessImportant(least) || !least.lessImportant(e) && f < victim {
			victim, least = f, e
		}
	}
	delete(t.entries, victim)
}

// lessImportant reports whether e is less important than o: not quarantined,
// then fewer deaths, then longer unseen.
func (e *entry) lessImportant(o *entry) bool {
	if (e.quarantinedAt != 0) != (o.quarantinedAt != 0) {
		return e.quarantinedAt == 0
	}
	if e.deathCount != o.deathCount {
		return e.deathCount < o.deathCount
	}
	return e.lastSeen < o.lastSeen
}

// addDeath records a death and reports whether it is new and not cleared. An
// entry with maxDeaths deaths is already quarantined and needs no more.
func (e *entry) addDeath(d death) bool {
	if d.at <= max(e.lastSuccess, e.lastLift) || e.deathCount == maxDeaths {
		return false
	}
	for _, x := range e.deaths[:e.deathCount] {
		if x.id == d.id {
			return false
		}
	}
	e.deaths[e.deathCount] = d
	e.deathCount++
	return true
}

// quarantineIfDue quarantines the entry if its deaths suffice and reports
// whether it did.
func (e *entry) quarantineIfDue(now clock.Instant, minDeaths int) bool {
	var blame float32
	for _, d := range e.deaths[:e.deathCount] {
		blame += d.share
	}
	if e.quarantinedAt != 0 || e.deathCount < maxDeaths && (e.deathCount < minDeaths || blame < 1) {
		return false
	}
	e.quarantinedAt = now
	return true
}

// removeCleared removes deaths that a success or a lift has cleared, and a
// quarantine that was lifted.
func (e *entry) removeCleared() {
	clearedUntil := max(e.lastSuccess, e.lastLift)
	kept := 0
	for _, d := range e.deaths[:e.deathCount] {
		if d.at > clearedUntil {
			e.deaths[kept] = d
			kept++
		}
	}
	e.deathCount = kept
	if e.quarantinedAt <= e.lastLift {
		e.quarantinedAt = 0
	}
}
