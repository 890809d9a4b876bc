package ownership

import (
	"encoding/json"
	"time"

	"marjoramshore.example/core"
)

type storeMode uint8

const (
	storeUp storeMode = iota
	storeDown
	storeSlow // answers and effects take up to 10 s
	storeLossy
)

// clientTimeout is when the store client gives up on a call.
const clientTimeout = 3 * time.Second

// fakeStore holds the one group object.
type fakeStore struct {
	s       *sim
	mode    storeMode
	version uint64
	value   []byte
	// history holds every record; records are immutable once submitted.
	history []*GroupRecord
	// calls counts reads and writes.
	gets, puts int
	lastTable  core.Token
	lastTerm   uint64
}

func (f *fakeStore) latency() time.Duration {
	d := 2*time.Millisecond + time.Duration(f.s.rng.Int64N(int64(4*time.Millisecond)))
	if f.mode == storeSlow {
		d += time.Duration(f.s.rng.Int64N(int64(10 * time.Second)))
	}
	return d
}

func (f *fakeStore) get(cut bool, done func(ReadResult)) {
	f.gets++
	if f.mode == storeDown || cut {
		f.s.after(time.Duration(f.s.rng.Int64N(int64(clientTimeout))), func() { done(ReadResult{Status: ReadUnavailable}) })
		return
	}
	d := f.latency()
	if d > clientTimeout {
		f.s.after(clientTimeout, func() { done(ReadResult{Status: ReadUnavailable}) })
		return
	}
	f.s.after(d/2, func() {
		r := ReadResult{Status: ReadMissing}
		version := f.version
		if f.mode != storeUp && version > 1 && f.s.rng.Float64() < 0.3 {
			version -= uint64(f.s.rng.Int64N(min(3, int64(version)))) // stale
		}
		if version > 0 {
			r = ReadResult{Status: ReadFound, Record: f.history[version-1], Version: version}
		}
		f.s.after(d/2, func() { done(r) })
	})
}

func (f *fakeStore) put(cut bool, rec *GroupRecord, ifVersion uint64, done func(PutResult)) {
	f.puts++
	value, err := json.Marshal(rec)
	if err != nil {
		panic(err)
	}
	if f.mode == storeDown || cut {
		if f.s.rng.Float64() < 0.1 { // reached the store, which applies it late
			f.s.after(time.Duration(f.s.rng.Int64N(int64(20*time.Second))), func() { f.apply(value, ifVersion) })
		}
		f.s.after(time.Duration(f.s.rng.Int64N(int64(clientTimeout))), func() { done(PutResult{Status: PutOutcomeUnknown}) })
		return
	}
	d, lost := f.latency(), f.mode == storeLossy && f.s.rng.Float64() < 0.5
	answered := d <= clientTimeout && !lost
	f.s.after(d/2, func() {
		status := f.apply(value, ifVersion)
		version := f.version
		if answered {
			f.s.after(d/2, func() { done(PutResult{Status: status, Version: version}) })
		}
	})
	if !answered {
		f.s.after(clientTimeout, func() { done(PutResult{Status: PutOutcomeUnknown}) })
	}
}

func (f *fakeStore) apply(value []byte, ifVersion uint64) PutStatus {
	if f.version != ifVersion {
		return PutConflict
	}
	rec := decode(value)
	if rec.Table.Version.Less(f.lastTable) || rec.Term < f.lastTerm {
		f.s.failf("stored table went back from %v to %v", f.lastTable, rec.Table.Version)
	}
	f.lastTable, f.lastTerm = rec.Table.Version, rec.Term
	if err := rec.Table.Validate(); err != nil {
		f.s.failf("stored table is invalid: %v", err)
	}
	if gap := uncovered(&rec.Table, f.s.space); gap {
		f.s.failf("stored table %v does not cover the key space", rec.Table.Version)
	}
	f.version++
	f.s.logf("APPLIED v%d term %d by %s succ %v pend %v table %v", f.version, rec.Term, rec.Writer.Node, rec.Successors, rec.Pending.Node, rec.Table.Version)
	f.value = value
	f.history = append(f.history, rec)
	return PutOK
}

// uncovered reports whether the entries leave out a part of the space.
func uncovered(t *core.Table, space core.Range) bool {
	if space == (core.Range{}) {
		space = core.FullRange
	}
	if len(t.Entries) == 0 || t.Entries[0].Range.Lo != space.Lo || t.Entries[len(t.Entries)-1].Range.Hi != space.Hi {
		return true
	}
	for i := 1; i < len(t.Entries); i++ {
		if t.Entries[i-1].Range.Hi+1 != t.Entries[i].Range.Lo {
			return true
		}
	}
	return false
}

func decode(value []byte) *GroupRecord {
	var rec GroupRecord
	if err := json.Unmarshal(value, &rec); err != nil {
		panic(err)
	}
	return &rec
}
