package suspect

import (
	"cmp"
	"slices"
	"time"

	"marjoramshore.example/clock"
)

// DeathMark is one death in a Mark.
type DeathMark struct {
	ID    DeathID
	At    int64
	Share float32
}

// Mark is what one node tells others about a fingerprint. Times are wall
// times in ms since the epoch, or zero for never.
type Mark struct {
	Fingerprint                  Fingerprint
	Deaths                       []DeathMark
	Success, Lifted, Quarantined int64
	// Seen is the last time at which the request was marked or refused.
	Seen int64
}

// mergeSlack is the smallest difference that makes a merged time newer. It
// absorbs rounding and clock differences, which would otherwise move a time
// forward each time it travels.
const mergeSlack = 2 * time.Second

// Export returns at most limit marks, those that matter most first. Order a
// digest for a heartbeat with a small limit and a hand-over with Len.
func (t *Table) Export(now clock.Instant, wall time.Time, limit int) []Mark {
	fs := make([]Fingerprint, 0, len(t.entries))
	for f := range t.entries {
		if t.find(now, f) != nil {
			fs = append(fs, f)
		}
	}
	slices.SortFunc(fs, func(a, b Fingerprint) int {
		x, y := t.entries[a], t.entries[b]
		switch {
		case y.less(x):
			return -1
		case x.less(y):
			return 1
		default:
			return cmp.Compare(a, b)
		}
	})
	w := wallTime{now, wall.UnixMilli()}
	out := make([]Mark, 0, min(limit, len(fs)))
	for _, f := range fs[:min(limit, len(fs))] {
		out = append(out, t.entries[f].mark(f, w))
	}
	return out
}

func (e *entry) mark(f Fingerprint, w wallTime) Mark {
	m := Mark{
		Fingerprint: f, Success: w.out(e.success), Lifted: w.out(e.lifted),
		Quarantined: w.out(e.quarantined), Seen: w.out(e.seen),
	}
	for _, d := range e.deaths[:e.n] {
		m.Deaths = append(m.Deaths, DeathMark{d.id, w.out(d.at), d.share})
	}
	return m
}

// Merge takes over the marks of another node and returns the fingerprints that
// are quarantined by it. Merging the same marks again changes nothing.
func (t *Table) Merge(now clock.Instant, wall time.Time, marks []Mark) []Fingerprint {
	w := wallTime{now, wall.UnixMilli()}
	var out []Fingerprint
	for _, m := range marks {
		seen := min(now, w.in(m.Seen))
		if now.Sub(seen) > t.cfg.Forget {
			continue
		}
		e := t.find(now, m.Fingerprint)
		if e == nil {
			e = t.ensure(now, m.Fingerprint)
			e.seen = seen
		}
		e.seen = newer(e.seen, seen)
		if e.merge(now, w, m) {
			out = append(out, m.Fingerprint)
		}
	}
	return out
}

// merge reports whether the entry is quarantined by m.
func (e *entry) merge(now clock.Instant, w wallTime, m Mark) bool {
	before := e.quarantined != 0
	e.success = newer(e.success, w.in(m.Success))
	e.lifted = newer(e.lifted, w.in(m.Lifted))
	for _, d := range m.Deaths {
		e.add(death{d.ID, min(now, w.in(d.At)), d.Share})
	}
	e.clear()
	if q := w.in(m.Quarantined); q > e.lifted && e.quarantined == 0 {
		e.quarantined = min(now, q)
	}
	e.judge(now)
	return !before && e.quarantined != 0
}

func newer(have, got clock.Instant) clock.Instant {
	if got > have.Add(mergeSlack) {
		return got
	}
	return have
}

// wallTime converts instants of this process to wall times and back.
type wallTime struct {
	now clock.Instant
	ms  int64
}

func (w wallTime) out(i clock.Instant) int64 {
	if i == 0 {
		return 0
	}
	return w.ms - w.now.Sub(i).Milliseconds()
}

func (w wallTime) in(ms int64) clock.Instant {
	if ms == 0 {
		return 0
	}
	return max(1, w.now.Add(-time.Duration(w.ms-ms)*time.Millisecond))
}
