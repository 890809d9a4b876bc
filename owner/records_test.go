package owner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
	"marjoramshore.example/once"
	"marjoramshore.example/ownership"
)

var (
	self  = core.Member{Node: "a", Incarnation: 1}
	other = core.Member{Node: "b", Incarnation: 2}
	start = time.UnixMilli(1_800_000_000_000)
)

// tableOf returns a table that assigns all keys to one member (0 is self).
func tableOf(owner int, sequence uint64) *core.Table {
	token := core.Token{Term: 1, Sequence: sequence}
	return &core.Table{Version: token, Members: []core.Member{self, other},
		Entries: []core.Entry{{Range: core.FullRange, Owner: owner, Token: token}}}
}

func beginRequest(records *ownedRecords, wall time.Time, issued time.Time) once.Verdict {
	return records.table.Begin(wall, once.Key{Service: "s", Customer: "c", IdempotencyKey: issued.String(), Hash: 7}, issued).Verdict
}

func newOwnedRecords() *ownedRecords { return &ownedRecords{table: once.New(once.Config{})} }

// Guards against a second run after the loss of an owner: a request issued
// before the range came here, without a hand-over, may have run at that owner.
func TestRangeOfLostOwnerIsUnknown(t *testing.T) {
	records := newOwnedRecords()
	records.applyTable(tableOf(1, 1), self, start)
	records.applyTable(tableOf(0, 2), self, start.Add(time.Minute))
	now := start.Add(2 * time.Minute)
	must.Eq(t, once.MayHaveRun, beginRequest(records, now, start.Add(30*time.Second)))
	must.Eq(t, once.Run, beginRequest(records, now, start.Add(90*time.Second)))
}

// Guards against refusing requests that, according to the hand-over, did not
// run, and against a newer table with the same assignment that resets the
// imported records.
func TestHandedOverRangeIsKnown(t *testing.T) {
	records := newOwnedRecords()
	records.applyTable(tableOf(1, 1), self, start)
	records.importTransfer(start.Add(time.Minute), core.FullRange, once.Transfer{Pieces: []once.Piece{{Range: core.FullRange}}})
	records.applyTable(tableOf(0, 2), self, start.Add(time.Minute+50*time.Millisecond))
	records.applyTable(tableOf(0, 2), self, start.Add(2*time.Minute))
	must.Eq(t, once.Run, beginRequest(records, start.Add(2*time.Minute), start.Add(30*time.Second)))
}

// Guards against using the records of an interrupted hand-over: the former
// owner continued to serve, was lost, and the range came here later without the
// records of that time.
func TestExpiredImportIsUnknown(t *testing.T) {
	records := newOwnedRecords()
	records.applyTable(tableOf(1, 1), self, start)
	records.importTransfer(start.Add(time.Minute), core.FullRange, once.Transfer{Pieces: []once.Piece{{Range: core.FullRange}}})
	records.applyTable(tableOf(0, 2), self, start.Add(time.Minute+importValidity))
	must.Eq(t, once.MayHaveRun, beginRequest(records, start.Add(2*time.Minute), start.Add(30*time.Second)))
}

// Guards against a part of a transfer that counts as a complete one.
func TestPartialTransferIsUnknown(t *testing.T) {
	records := newOwnedRecords()
	records.applyTable(tableOf(1, 1), self, start)
	records.importTransfer(start.Add(time.Minute), core.FullRange, once.Transfer{})
	records.applyTable(tableOf(0, 2), self, start.Add(time.Minute))
	must.Eq(t, once.MayHaveRun, beginRequest(records, start.Add(2*time.Minute), start.Add(30*time.Second)))
}

// Guards against an import that still counts after the range has been lost and
// assigned to this node again.
func TestImportIsValidForOneMove(t *testing.T) {
	records := newOwnedRecords()
	records.applyTable(tableOf(1, 1), self, start)
	records.importTransfer(start, core.FullRange, once.Transfer{Pieces: []once.Piece{{Range: core.FullRange}}})
	records.applyTable(tableOf(0, 2), self, start)
	records.applyTable(tableOf(1, 3), self, start.Add(100*time.Millisecond))
	records.applyTable(tableOf(0, 4), self, start.Add(200*time.Millisecond))
	must.Eq(t, once.MayHaveRun, beginRequest(records, start.Add(time.Minute), start.Add(-time.Minute)))
}

// Guards against a range that is served again, after a hand-over failed or took
// too long, while its at-most-once records still count as released. Every
// non-idempotent request was refused as not owned in that case.
func TestIncompleteHandOverIsRestored(t *testing.T) {
	records := newOwnedRecords()
	records.applyTable(tableOf(0, 1), self, start)
	ran := start.Add(time.Second)
	must.Eq(t, once.Run, beginRequest(records, ran, ran))
	records.exportRange(core.FullRange, []core.Hash{7})
	records.exportRange(core.Range{Lo: 7, Hi: 7}, nil)
	now := start.Add(2 * time.Second)
	must.Eq(t, once.NotOwned, beginRequest(records, now, now))
	held := ownership.HeldRange{Range: core.FullRange, Token: core.Token{Term: 1, Sequence: 1}}
	records.restoreReleased([]ownership.HeldRange{held}, now)
	must.Eq(t, once.Run, beginRequest(records, now, now))
	must.Eq(t, once.Duplicate, beginRequest(records, now, ran))
	must.SliceEmpty(t, records.released)
}

// Guards against restoring released records under a later assignment: another
// owner served the range in between.
func TestReleasedRangeUnderNewTokenIsUnknown(t *testing.T) {
	records := newOwnedRecords()
	records.applyTable(tableOf(0, 1), self, start)
	records.exportRange(core.FullRange, nil)
	records.applyTable(tableOf(1, 2), self, start.Add(time.Second))
	back := start.Add(time.Minute)
	records.applyTable(tableOf(0, 3), self, back)
	records.restoreReleased([]ownership.HeldRange{{Range: core.FullRange, Token: core.Token{Term: 1, Sequence: 3}}}, back)
	must.Eq(t, once.MayHaveRun, beginRequest(records, back.Add(time.Minute), start.Add(30*time.Second)))
}
