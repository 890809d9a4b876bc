package once

import (
	"encoding/binary"
	"math/bits"
	"time"
	"unsafe"

	"marjoramshore.example/core"
)

// record is the compact form of a Record: 32 bytes.
type record struct {
	id      RequestID
	hash    core.Hash
	begun   uint32 // seconds since the epoch, rounded up
	status  uint16
	state   State // zero marks a removed record
	outcome uint8
}

var outcomes = [...]core.Outcome{
	"", core.OutcomeAnswered, core.OutcomeRefusedNotRun, core.OutcomeUnknown, core.OutcomeDeadlineNotRun,
	core.OutcomeBadRequest, core.OutcomeQuarantined, core.OutcomeAborted,
}

func outcomeIndex(o core.Outcome) uint8 {
	for i, x := range outcomes {
		if x == o {
			return uint8(i)
		}
	}
	return 0
}

func seconds(ms int64) uint32 { return uint32((ms + 999) / 1000) }

func (r *record) millis() int64 { return int64(r.begun) * 1000 }

func (r *record) public() Record {
	return Record{
		ID: r.id, Hash: r.hash, State: r.state, Outcome: outcomes[r.outcome], Status: int(r.status),
		Begun: time.Unix(int64(r.begun), 0),
	}
}

func compact(r Record) record {
	return record{
		id: r.ID, hash: r.Hash, state: r.State, outcome: outcomeIndex(r.Outcome), status: uint16(r.Status),
		begun: seconds(r.Begun.UnixMilli()),
	}
}

// records is a ring in order of arrival with a linear-probing index. Its size
// is fixed.
type records struct {
	ring  []record
	head  int // position of the oldest
	n     int // occupied positions, including removed records
	live  int
	added uint64   // records ever added
	index []uint32 // position + 1, or zero
}

// indexShare is the number of index cells per record; at a load of 0.75 a
// lookup probes fewer than nine cells on average even when it fails.
const indexShare = 4.0 / 3

func newRecords(maxBytes int) records {
	per := float64(unsafe.Sizeof(record{})) + indexShare*4
	n := max(int(float64(maxBytes)/per), 1)
	return records{ring: make([]record, n), index: make([]uint32, max(int(float64(n)*indexShare), n+1))}
}

func (r *records) bytes() int {
	return len(r.ring)*int(unsafe.Sizeof(record{})) + len(r.index)*4
}

func (r *records) full() bool { return r.n == len(r.ring) }

// home is the preferred index cell of an ID.
func (r *records) home(id RequestID) int {
	hi, _ := bits.Mul64(binary.LittleEndian.Uint64(id[:8]), uint64(len(r.index)))
	return int(hi)
}

func (r *records) cell(id RequestID) (int, bool) {
	i := r.home(id)
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

func (r *records) find(id RequestID) *record {
	i, ok := r.cell(id)
	if !ok {
		return nil
	}
	return &r.ring[r.index[i]-1]
}

// add appends a record whose ID is not present. The ring must not be full.
func (r *records) add(x record) {
	pos := (r.head + r.n) % len(r.ring)
	r.ring[pos] = x
	r.n++
	r.live++
	r.added++
	i, _ := r.cell(x.id)
	r.index[i] = uint32(pos) + 1
}

// remove deletes a record; its ring position is reused when it is the oldest.
func (r *records) remove(x *record) {
	i, ok := r.cell(x.id)
	if !ok {
		return
	}
	r.unlink(i)
	x.state = 0
	r.live--
}

// unlink empties an index cell and moves later cells of its cluster back.
func (r *records) unlink(i int) {
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
			home := r.home(r.ring[r.index[j]-1].id)
			// The cell moves when its home is not between i and j.
			if (j-home+size)%size >= (j-i+size)%size {
				break
			}
		}
		r.index[i] = r.index[j]
		i = j
	}
}

// oldest returns the record at the head of the ring, which may be a removed
// one, or nil.
func (r *records) oldest() *record {
	if r.n == 0 {
		return nil
	}
	return &r.ring[r.head]
}

func (r *records) dropOldest() {
	if x := &r.ring[r.head]; x.state != 0 {
		r.remove(x)
	}
	r.head = (r.head + 1) % len(r.ring)
	r.n--
}

// since calls f for every record in order of arrival, beginning with the one
// that was added when the count of added records was cursor.
func (r *records) since(cursor uint64, f func(*record)) {
	first := r.added - uint64(r.n)
	for i := int(max(cursor, first) - first); i < r.n; i++ {
		if x := &r.ring[(r.head+i)%len(r.ring)]; x.state != 0 {
			f(x)
		}
	}
}
