package suspect

import (
	"cmp"
	"slices"
	"time"

	"marjoramshore.example/clock"
)

// DeathMark is one death of a backend server in a Mark. At is a wall time in ms
// since the epoch. Share is the part of the blame, from 0 to 1.
type DeathMark struct {
	ID    DeathID
	At    int64
	Share float32
}

// Mark is what a node tells other nodes about a fingerprint. Times are wall
// times in ms since the epoch, or zero for never.
type Mark struct {
	Fingerprint Fingerprint
	Deaths      []DeathMark
	// Success is the time of the last complete answer, Lifted that of the last
	// lift by an operator, and Quarantined the start of a quarantine that is in
	// force.
	Success, Lifted, Quarantined int64
	// Seen is the last time at which the request was marked, answered or
	// refused, or an operator gave an order about it.
	Seen int64
}

// mergeTolerance is the least difference by which a received time must be later
// to replace the known one. It absorbs rounding and clock differences, which
// would otherwise move a time forward at each exchange.
const mergeTolerance = 2 * time.Second

// Export returns at most limit marks, the most important first. A small limit
// gives the digest for a heartbeat; a limit of Len gives all marks, for a
// hand-over. wall is the wall time at now.
func (t *Table) Export(now clock.Instant, wall time.Time, limit int) []Mark {
	fingerprints := make([]Fingerprint, 0, len(t.entries))
	for f := range t.entries {
		if t.find(now, f) != nil {
			fingerprints = append(fingerprints, f)
		}
	}
	slices.SortFunc(fingerprints, func(a, b Fingerprint) int {
		x, y := t.entries[a], t.entries[b]
		switch {
		case y.lessImportant(x):
			return -1
		case x.lessImportant(y):
			return 1
		default:
			return cmp.Compare(a, b)
		}
	})
	w := wallClock{now, wall.UnixMilli()}
	out := make([]Mark, 0, min(limit, len(fingerprints)))
	for _, f := range fingerprints[:min(limit, len(fingerprints))] {
		out = append(out, t.entries[f].toMark(f, w))
	}
	return out
}

// Marks returns the marks of those fingerprints that the table knows.
func (t *Table) Marks(now clock.Instant, wall time.Time, fingerprints []Fingerprint) []Mark {
	w := wallClock{now, wall.UnixMilli()}
	var out []Mark
	for _, f := range fingerprints {
		if e := t.find(now, f); e != nil {
			out = append(out, e.toMark(f, w))
		}
	}
	return out
}

// toMark returns the mark of fingerprint f, whose entry is e.
func (e *entry) toMark(f Fingerprint, w wallClock) Mark {
	m := Mark{
		Fingerprint: f, Success: w.toUnixMilli(e.lastSuccess), Lifted: w.toUnixMilli(e.lastLift),
		Quarantined: w.toUnixMilli(e.quarantinedAt), Seen: w.toUnixMilli(e.lastSeen),
	}
	for _, d := range e.deaths[:e.deathCount] {
		m.Deaths = append(m.Deaths, DeathMark{d.id, w.toUnixMilli(d.at), d.share})
	}
	return m
}

// Merge adds the marks of another node and returns the fingerprints that become
// quarantined by them. wall is the wall time at now. Merging the same marks
// again changes nothing.
func (t *Table) Merge(now clock.Instant, wall time.Time, marks []Mark) []Fingerprint {
	w := wallClock{now, wall.UnixMilli()}
	var quarantined []Fingerprint
	for _, m := range marks {
		seen := min(now, w.toInstant(m.Seen))
		if now.Sub(seen) > t.cfg.Retention {
			continue
		}
		e := t.find(now, m.Fingerprint)
		if e == nil {
			e = t.findOrAdd(now, m.Fingerprint)
			e.lastSeen = seen
		}
		e.lastSeen = laterTime(e.lastSeen, seen)
		if e.merge(now, w, m, t.cfg.MinDeaths) {
			quarantined = append(quarantined, m.Fingerprint)
		}
	}
	return quarantined
}

// merge adds m to the entry and reports whether that quarantines it.
func (e *entry) merge(now clock.Instant, w wallClock, m Mark, minDeaths int) bool {
	before := e.quarantinedAt != 0
	// A clock that is ahead would otherwise clear deaths that are still to come.
	e.lastSuccess = laterTime(e.lastSuccess, min(now, w.toInstant(m.Success)))
	e.lastLift = laterTime(e.lastLift, min(now, w.toInstant(m.Lifted)))
	for _, d := range m.Deaths {
		e.addDeath(death{d.ID, min(now, w.toInstant(d.At)), d.Share})
	}
	e.removeCleared()
	if q := w.toInstant(m.Quarantined); q > e.lastLift && e.quarantinedAt == 0 {
		e.quarantinedAt = min(now, q)
	}
	e.quarantineIfDue(now, minDeaths)
	return !before && e.quarantinedAt != 0
}

// laterTime returns received if it is later than current by more than
// mergeTolerance, and current otherwise.
func laterTime(current, received clock.Instant) clock.Instant {
	if received > current.Add(mergeTolerance) {
		return received
	}
	return current
}

// wallClock converts instants of this process to wall times in ms since the
// epoch and back. In both, zero means never.
type wallClock struct {
	now          clock.Instant
	nowUnixMilli int64
}

func (w wallClock) toUnixMilli(i clock.Instant) int64 {
	if i == 0 {
		return 0
	}
	return w.nowUnixMilli - w.now.Sub(i).Milliseconds()
}

func (w wallClock) toInstant(ms int64) clock.Instant {
	if ms == 0 {
		return 0
	}
	return max(1, w.now.Add(-time.Duration(w.nowUnixMilli-ms)*time.Millisecond))
}
