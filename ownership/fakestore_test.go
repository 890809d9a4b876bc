package ownership

import (
	"encoding/json"
	"time"

	"marjoramshore.example/core"
)

// storeMode selects how the fake store fails.
type storeMode uint8

const (
	storeUp storeMode = iota
	storeDown
	storeSlow // calls take up to 10 s until they take effect and are answered
	storeLosesAnswers
)

// clientTimeout is when the store client gives up on a call.
const clientTimeout = 3 * time.Second

// fakeStore holds the group record of the one group of a simulation.
type fakeStore struct {
	sim     *sim
	mode    storeMode
	version uint64
	value   []byte
	// history holds every stored record by version. Records are immutable once
	// submitted.
	history []*GroupRecord
	// gets and puts count the calls.
	gets, puts int
	// lastTable and lastTerm are those of the newest stored record.
	lastTable core.Token
	lastTerm  uint64
}

func (f *fakeStore) latency() time.Duration {
	d := 2*time.Millisecond + time.Duration(f.sim.random.Int64N(int64(4*time.Millisecond)))
	if f.mode == storeSlow {
		d += time.Duration(f.sim.random.Int64N(int64(10 * time.Second)))
	}
	return d
}

func (f *fakeStore) get(unreachable bool, done func(ReadResult)) {
	f.gets++
	if f.mode == storeDown || unreachable {
		f.sim.schedule(time.Duration(f.sim.random.Int64N(int64(clientTimeout))), func() { done(ReadResult{Status: ReadUnavailable}) })
		return
	}
	d := f.latency()
	if d > clientTimeout {
		f.sim.schedule(clientTimeout, func() { done(ReadResult{Status: ReadUnavailable}) })
		return
	}
	f.sim.schedule(d/2, func() {
		r := ReadResult{Status: ReadMissing}
		version := f.version
		if f.mode != storeUp && version > 1 && f.sim.random.Float64() < 0.3 {
			version -= uint64(f.sim.random.Int64N(min(3, int64(version)))) // a stale read
		}
		if version > 0 {
			r = ReadResult{Status: ReadFound, Record: f.history[version-1], Version: version}
		}
		f.sim.schedule(d/2, func() { done(r) })
	})
}

func (f *fakeStore) put(unreachable bool, rec *GroupRecord, ifVersion uint64, done func(PutResult)) {
	f.puts++
	value, err := json.Marshal(rec)
	if err != nil {
		panic(err)
	}
	if f.mode == storeDown || unreachable {
		// The write may reach the store, which then applies it late.
		if f.sim.random.Float64() < 0.1 {
			f.sim.schedule(time.Duration(f.sim.random.Int64N(int64(20*time.Second))), func() { f.apply(value, ifVersion) })
		}
		f.sim.schedule(time.Duration(f.sim.random.Int64N(int64(clientTimeout))), func() { done(PutResult{Status: PutOutcomeUnknown}) })
		return
	}
	d, lost := f.latency(), f.mode == storeLosesAnswers && f.sim.random.Float64() < 0.5
	answered := d <= clientTimeout && !lost
	f.sim.schedule(d/2, func() {
		status := f.apply(value, ifVersion)
		version := f.version
		if answered {
			f.sim.schedule(d/2, func() { done(PutResult{Status: status, Version: version}) })
		}
	})
	if !answered {
		f.sim.schedule(clientTimeout, func() { done(PutResult{Status: PutOutcomeUnknown}) })
	}
}

// apply stores a record if ifVersion is the stored version. It fails the run if
// the record goes back in time or its table is not valid.
func (f *fakeStore) apply(value []byte, ifVersion uint64) PutStatus {
	if f.version != ifVersion {
		return PutConflict
	}
	rec := decodeRecord(value)
	if rec.Table.Version.Less(f.lastTable) || rec.Term < f.lastTerm {
		f.sim.failf("stored table went back from %v to %v", f.lastTable, rec.Table.Version)
	}
	f.lastTable, f.lastTerm = rec.Table.Version, rec.Term
	if err := rec.Table.Validate(); err != nil {
		f.sim.failf("stored table is invalid: %v", err)
	}
	if gap := leavesGap(&rec.Table, f.sim.keyRange); gap {
		f.sim.failf("stored table %v does not cover the key space", rec.Table.Version)
	}
	f.version++
	f.sim.logf("APPLIED v%d term %d by %s succ %v pend %v table %v", f.version, rec.Term, rec.Writer.Node, rec.Successors, rec.PendingSuccessor.Node, rec.Table.Version)
	f.value = value
	f.history = append(f.history, rec)
	return PutOK
}

// leavesGap reports whether the entries leave out a part of the key range.
func leavesGap(t *core.Table, keyRange core.Range) bool {
	if keyRange == (core.Range{}) {
		keyRange = core.FullRange
	}
	if len(t.Entries) == 0 || t.Entries[0].Range.Lo != keyRange.Lo || t.Entries[len(t.Entries)-1].Range.Hi != keyRange.Hi {
		return true
	}
	for i := 1; i < len(t.Entries); i++ {
		if t.Entries[i-1].Range.Hi+1 != t.Entries[i].Range.Lo {
			return true
		}
	}
	return false
}

func decodeRecord(value []byte) *GroupRecord {
	var rec GroupRecord
	if err := json.Unmarshal(value, &rec); err != nil {
		panic(err)
	}
	return &rec
}
