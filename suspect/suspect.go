package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// Fingerprint identifies requests that are the same for a backend server.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request. bodyPrefix is a digest of the first
// bytes of the body. The hash is cryptographic, so that a caller cannot have
// another request quarantined by a collision.
func NewFingerprint(s core.Service, key, method, path string, bodyPrefix []byte) Fingerprint {
	var scratch [512]byte
	b := scratch[:0]
	for _, x := range [...]string{string(s), key, method, path} {
		b = binary.AppendUvarint(b, uint64(len(x)))
		b = append(b, x...)
	}
	b = append(b, bodyPrefix...)
	sum := sha256.Sum256(b)
	return Fingerprint(binary.LittleEndian.Uint64(sum[:8]))
}

// Verdict answers Start.
type Verdict uint8

// Verdicts.
const (
	// Allow lets the request start.
	Allow Verdict = iota + 1
	// Hold is a request that was in flight at a death, while another such
	// request runs here. Refuse it as not run with a retry-after, so that a
	// further death has one suspect only.
	Hold
	// Quarantined is a request that must not run.
	Quarantined
)

// maxDeaths is the number of deaths at which a fingerprint is quarantined in
// any case; the target allows no more.
const maxDeaths = 3

// DeathID identifies the death of one run of a backend server, so that a mark
// that arrives by several ways counts once. Derive it from the incarnation.
type DeathID uint64

// death is one death at which a fingerprint was in flight.
type death struct {
	id DeathID
	at clock.Instant
	// share is this fingerprint's part of the blame.
	share float32
}

type entry struct {
	note    string
	deaths  [maxDeaths]death // the first n are valid, oldest first
	n       int
	running int
	// success and lifted clear deaths that are not later.
	success, lifted clock.Instant
	quarantined     clock.Instant // zero when not quarantined
	seen            clock.Instant
}

// Config sets up a Table. Zero fields take the defaults stated here.
type Config struct {
	// Capacity bounds the fingerprints with marks (1024).
	Capacity int
	// Forget is the time after which a mark, or a quarantine whose request is
	// no longer sent, is forgotten (24 h). It is long because a request that
	// is resent less often than this is not recognised.
	Forget time.Duration
	// HoldFor bounds how long one marked request keeps others waiting (1 s).
	HoldFor time.Duration
}

func (c Config) withDefaults() Config {
	if c.Capacity <= 0 {
		c.Capacity = 1024
	}
	if c.Forget <= 0 {
		c.Forget = 24 * time.Hour
	}
	if c.HoldFor <= 0 {
		c.HoldFor = time.Second
	}
	return c
}

// Table holds the marks and quarantines that one node knows of.
type Table struct {
	cfg     Config
	entries map[Fingerprint]*entry
	// alone is the marked fingerprint that runs here, if its entry says so.
	alone      *entry
	aloneSince clock.Instant
}

// New returns an empty Table.
func New(c Config) *Table {
	return &Table{cfg: c.withDefaults(), entries: make(map[Fingerprint]*entry)}
}

// Start decides whether a request may start on the backend server. Requests
// without marks leave no state.
func (t *Table) Start(now clock.Instant, f Fingerprint) Verdict {
	e := t.find(now, f)
	switch {
	case e == nil:
		return Allow
	case e.quarantined != 0:
		e.seen = now
		return Quarantined
	case e.n == 0:
		return Allow
	case t.alone != nil && t.alone != e && t.alone.running > 0 && now.Sub(t.aloneSince) < t.cfg.HoldFor:
		return Hold
	}
	if t.alone != e || e.running == 0 {
		t.alone, t.aloneSince = e, now
	}
	e.running++
	return Allow
}

// Finish ends a request that Start allowed. ok means that the backend server
// gave a complete answer, which clears the request of earlier deaths.
func (t *Table) Finish(now clock.Instant, f Fingerprint, ok bool) {
	e := t.entries[f]
	if e == nil {
		return
	}
	e.running = max(0, e.running-1)
	if ok && e.quarantined == 0 {
		e.success, e.seen = now, now
		e.clear()
	}
}

// InflightRequest is a request that was in flight when the backend server died.
type InflightRequest struct {
	Fingerprint Fingerprint
	// Note describes the request to operators. Only its start is kept.
	Note string
}

const maxNote = 128

// RecordDeath marks the requests in flight and returns those that are now
// quarantined. The blame is shared between those that have earlier marks, or
// between all when none has. A fingerprint is quarantined at its second death
// when its shares amount to one death, and at its third in any case.
func (t *Table) RecordDeath(now clock.Instant, id DeathID, inflight []InflightRequest) []Fingerprint {
	distinct := make(map[Fingerprint]string, len(inflight))
	marked := 0
	for _, r := range inflight {
		if _, twice := distinct[r.Fingerprint]; twice {
			continue
		}
		distinct[r.Fingerprint] = r.Note
		if e := t.find(now, r.Fingerprint); e != nil && e.n > 0 {
			marked++
		}
	}
	var out []Fingerprint
	for _, r := range inflight {
		note, pending := distinct[r.Fingerprint]
		if !pending {
			continue
		}
		delete(distinct, r.Fingerprint)
		e := t.ensure(now, r.Fingerprint)
		e.note, e.running = note[:min(len(note), maxNote)], 0
		if e.add(death{id, now, t.share(e, marked, len(inflight))}) && e.judge(now) {
			out = append(out, r.Fingerprint)
		}
	}
	return out
}

func (t *Table) share(e *entry, marked, all int) float32 {
	switch {
	case marked == 0:
		return 1 / float32(all)
	case e.n > 0:
		return 1 / float32(marked)
	default:
		return 0
	}
}

// Lift ends a quarantine by an operator's order and clears its marks.
func (t *Table) Lift(now clock.Instant, f Fingerprint) bool {
	e := t.find(now, f)
	if e == nil || e.quarantined == 0 {
		return false
	}
	e.lifted, e.seen = now, now
	e.clear()
	return true
}

// Quarantine quarantines a fingerprint by an operator's order.
func (t *Table) Quarantine(now clock.Instant, f Fingerprint, note string) {
	e := t.ensure(now, f)
	e.note = note[:min(len(note), maxNote)]
	e.quarantined = now
}

// QuarantinedRequest is a quarantined fingerprint as shown to operators.
type QuarantinedRequest struct {
	Fingerprint Fingerprint
	Note        string
	Deaths      int
	// Since and Seen tell how long ago it was quarantined and last refused.
	Since, Seen time.Duration
}

// ListQuarantined returns the quarantined fingerprints in no particular order.
func (t *Table) ListQuarantined(now clock.Instant) []QuarantinedRequest {
	var out []QuarantinedRequest
	for f := range t.entries {
		if e := t.find(now, f); e != nil && e.quarantined != 0 {
			out = append(out, QuarantinedRequest{f, e.note, e.n, now.Sub(e.quarantined), now.Sub(e.seen)})
		}
	}
	return out
}

// Len returns the number of fingerprints that the table holds.
func (t *Table) Len() int { return len(t.entries) }

// find returns the entry of f unless its time has passed.
func (t *Table) find(now clock.Instant, f Fingerprint) *entry {
	e := t.entries[f]
	if e != nil && now.Sub(e.seen) > t.cfg.Forget {
		delete(t.entries, f)
		return nil
	}
	return e
}

func (t *Table) ensure(now clock.Instant, f Fingerprint) *entry {
	e := t.find(now, f)
	if e == nil {
		if len(t.entries) >= t.cfg.Capacity {
			t.evict()
		}
		e = &entry{}
		t.entries[f] = e
	}
	e.seen = max(e.seen, now)
	return e
}

// evict drops the entry that matters least: not quarantined, fewest deaths,
// longest unseen.
func (t *Table) evict() {
	var victim Fingerprint
	var worst *entry
	for f, e := range t.entries {
		if worst == nil || e.less(worst) || !worst.less(e) && f < victim {
			victim, worst = f, e
		}
	}
	delete(t.entries, victim)
}

// less reports whether e matters less than o.
func (e *entry) less(o *entry) bool {
	if (e.quarantined != 0) != (o.quarantined != 0) {
		return e.quarantined == 0
	}
	if e.n != o.n {
		return e.n < o.n
	}
	return e.seen < o.seen
}

// add records a death and reports whether it is new and not yet cleared. When
// the entry is full it is quarantined already and needs no further marks.
func (e *entry) add(d death) bool {
	if d.at <= max(e.success, e.lifted) || e.n == maxDeaths {
		return false
	}
	for _, x := range e.deaths[:e.n] {
		if x.id == d.id {
			return false
		}
	}
	e.deaths[e.n] = d
	e.n++
	return true
}

// judge quarantines the entry when its marks suffice.
func (e *entry) judge(now clock.Instant) bool {
	var blame float32
	for _, d := range e.deaths[:e.n] {
		blame += d.share
	}
	if e.quarantined != 0 || e.n < maxDeaths && (e.n < 2 || blame < 1) {
		return false
	}
	e.quarantined = now
	return true
}

// clear drops deaths and a quarantine that a success or an operator cleared.
func (e *entry) clear() {
	from := max(e.success, e.lifted)
	kept := 0
	for _, d := range e.deaths[:e.n] {
		if d.at > from {
			e.deaths[kept] = d
			kept++
		}
	}
	e.n = kept
	if e.quarantined <= e.lifted {
		e.quarantined = 0
	}
}
