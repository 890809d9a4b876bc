package once

import (
	"encoding/binary"
	"math/bits"
	"time"
	"unsafe"

	"marjoramshore.example/core"
)

// record is the compact form of a Record, of 32 bytes.
type record struct {
	id           RequestID
	hash         core.Hash
	begunSeconds uint32 // seconds since the epoch, rounded up
	status       uint16
	state        State // zero for a removed record
	outcome      uint8
}

// outcomeByIndex lists the outcomes that a record can hold.
var outcomeByIndex = [...]core.Outcome{
	"", core.OutcomeAnswered, core.OutcomeRefusedNotRun, core.OutcomeUnknown, core.OutcomeDeadlineNotRun,
	core.OutcomeBadRequest, core.OutcomeQuarantined, core.OutcomeAborted,
}

// outcomeIndex returns the index of o in outcomeByIndex, or zero.
func outcomeIndex(o core.Outcome) uint8 {
	for i, x := range outcomeByIndex {
		if x == o {
			return uint8(i)
		}
	}
	return 0
}

func ceilSeconds(ms int64) uint32 { return uint32((ms + 999) / 1000) }

func (r *record) begunMillis() int64 { return int64(r.begunSeconds) * 1000 }

func (r *record) toRecord() Record {
	return Record{
		ID: r.id, Hash: r.hash, State: r.state, Outcome: outcomeByIndex[r.outcome], Status: int(r.status),
		Begun: time.Unix(int64(r.begunSeconds), 0),
	}
}

func compactRecord(r Record) record {
	return record{
		id: r.ID, hash: r.Hash, state: r.State, outcome: outcomeIndex(r.Outcome), status: uint16(r.Status),
		begunSeconds: ceilSeconds(r.Begun.UnixMilli()),
	}
}

// recordRing is a ring of records in the order of arrival, with a hash index by
// ID that uses linear probing. Its size is fixed.
type recordRing struct {
	ring     []record
	head     int      // position of the oldest record
	occupied int      // occupied positions, including removed records
	live     int      // records that have not been removed
	added    uint64   // records ever added
	index    []uint32 // position in ring + 1, or zero
}

// indexCellsPerRecord gives the index a load of 0.75, at which a lookup probes
// fewer than nine cells on average even when it fails.
const indexCellsPerRecord = 4.0 / 3

func newRecordRing(maxBytes int) recordRing {
	bytesPerRecord := float64(unsafe.Sizeof(record{})) + indexCellsPerRecord*4
	n := max(int(float64(maxBytes)/bytesPerRecord), 1)
	return recordRing{ring: make([]record, n), index: make([]uint32, max(int(float64(n)*indexCellsPerRecord), n+1))}
}

func (r *recordRing) bytes() int {
	return len(r.ring)*int(unsafe.Sizeof(record{})) + len(r.index)*4
}

func (r *recordRing) full() bool { return r.occupied == len(r.ring) }

// preferredCell returns the index cell at which probing for an ID starts.
func (r *recordRing) preferredCell(id RequestID) int {
	hi, _ := bits.Mul64(binary.LittleEndian.Uint64(id[:8]), uint64(len(r.index)))
	return int(hi)
}

// findCell returns the index cell of an ID and true, or the empty cell where it
// would be inserted and false.
func (r *recordRing) findCell(id RequestID) (int, bool) {
	i := r.preferredCell(id)
	for r.index[i] != 0 {
		if r.ring[r.index[i]-1].id == id {
			return i, true
		}
		if i++; i == len(r.index) {
			i = 0
		}
	}
	return i, false
}

func (r *recordRing) find(id RequestID) *record {
	i, ok := r.findCell(id)
	if !ok {
		return nil
	}
	return &r.ring[r.index[i]-1]
}

// add appends a record whose ID is not present. The ring must not be full.
func (r *recordRing) add(x record) {
	pos := (r.head + r.occupied) % len(r.ring)
	r.ring[pos] = x
	r.occupied++
	r.live++
	r.added++
	i, _ := r.findCell(x.id)
	r.index[i] = uint32(pos) + 1
}

// remove deletes a record. Its ring position becomes free when it is the
// oldest.
func (r *recordRing) remove(x *record) {
	i, ok := r.findCell(x.id)
	if !ok {
		return
	}
	r.clearCell(i)
	x.state = 0
	r.live--
}

// clearCell empties an index cell and moves later cells of its cluster back.
func (r *recordRing) clearCell(i int) {
	size := len(r.index)
	for j := i; ; {
		r.index[i] = 0
		for {
			if j++; j == size {
				j = 0
			}
			if r.index[j] == 0 {
				return
			}
			preferred := r.preferredCell(r.ring[r.index[j]-1].id)
			// The cell moves back unless its preferred cell is between i and j.
			if (j-preferred+size)%size >= (j-i+size)%size {
				break
			}
		}
		r.index[i] = r.index[j]
		i = j
	}
}

// oldest returns the record at the head of the ring, which may be a removed
// one, or nil if the ring is empty.
func (r *recordRing) oldest() *record {
	if r.occupied == 0 {
		return nil
	}
	return &r.ring[r.head]
}

func (r *recordRing) dropOldest() {
	if x := &r.ring[r.head]; x.state != 0 {
		r.remove(x)
	}
	r.head = (r.head + 1) % len(r.ring)
	r.occupied--
}

// eachSince calls f for every record that was added when the field added was at
// least cursor, in the order of arrival. Removed records are left out.
func (r *recordRing) eachSince(cursor uint64, f func(*record)) {
	first := r.added - uint64(r.occupied)
	for i := int(max(cursor, first) - first); i < r.occupied; i++ {
		if x := &r.ring[(r.head+i)%len(r.ring)]; x.state != 0 {
			f(x)
		}
	}
}
