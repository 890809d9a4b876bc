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

// tableOf gives the whole key space to one member under a token.
func tableOf(owner int, sequence uint64) *core.Table {
	token := core.Token{Term: 1, Sequence: sequence}
	return &core.Table{Version: token, Members: []core.Member{self, other},
		Entries: []core.Entry{{Range: core.FullRange, Owner: owner, Token: token}}}
}

func begin(k *knowledge, wall time.Time, issued time.Time) once.Verdict {
	return k.table.Begin(wall, once.Key{Service: "s", Customer: "c", IdempotencyKey: issued.String(), Hash: 7}, issued).Verdict
}

func newKnowledge() *knowledge { return &knowledge{table: once.New(once.Config{})} }

// Guards against a second run after a loss: a request issued before the range
// came without a hand-over may have run at the lost owner.
func TestRangeOfALostOwner(t *testing.T) {
	k := newKnowledge()
	k.follow(tableOf(1, 1), self, start)
	k.follow(tableOf(0, 2), self, start.Add(time.Minute))
	now := start.Add(2 * time.Minute)
	must.Eq(t, once.MayHaveRun, begin(k, now, start.Add(30*time.Second)))
	must.Eq(t, once.Run, begin(k, now, start.Add(90*time.Second)))
}

// Guards against refusing what a hand-over proves not to have run, and against
// knowledge that a renewed table of the same assignment would reset.
func TestRangeThatWasHandedOver(t *testing.T) {
	k := newKnowledge()
	k.follow(tableOf(1, 1), self, start)
	k.accept(start.Add(time.Minute), core.FullRange, once.Transfer{Pieces: []once.Piece{{Range: core.FullRange}}})
	k.follow(tableOf(0, 2), self, start.Add(time.Minute+50*time.Millisecond))
	k.follow(tableOf(0, 2), self, start.Add(2*time.Minute))
	must.Eq(t, once.Run, begin(k, start.Add(2*time.Minute), start.Add(30*time.Second)))
}

// Guards against records of an interrupted hand-over: the former owner went on
// serving, was lost, and the range came here later without its knowledge.
func TestInterruptedHandOver(t *testing.T) {
	k := newKnowledge()
	k.follow(tableOf(1, 1), self, start)
	k.accept(start.Add(time.Minute), core.FullRange, once.Transfer{Pieces: []once.Piece{{Range: core.FullRange}}})
	k.follow(tableOf(0, 2), self, start.Add(time.Minute+importedFor))
	must.Eq(t, once.MayHaveRun, begin(k, start.Add(2*time.Minute), start.Add(30*time.Second)))
}

// Guards against a part of a transfer that counts as the whole.
func TestPartOfATransfer(t *testing.T) {
	k := newKnowledge()
	k.follow(tableOf(1, 1), self, start)
	k.accept(start.Add(time.Minute), core.FullRange, once.Transfer{})
	k.follow(tableOf(0, 2), self, start.Add(time.Minute))
	must.Eq(t, once.MayHaveRun, begin(k, start.Add(2*time.Minute), start.Add(30*time.Second)))
}

// Guards against an import that still counts after the range was lost again.
func TestImportCountsOnce(t *testing.T) {
	k := newKnowledge()
	k.follow(tableOf(1, 1), self, start)
	k.accept(start, core.FullRange, once.Transfer{Pieces: []once.Piece{{Range: core.FullRange}}})
	k.follow(tableOf(0, 2), self, start)
	k.follow(tableOf(1, 3), self, start.Add(100*time.Millisecond))
	k.follow(tableOf(0, 4), self, start.Add(200*time.Millisecond))
	must.Eq(t, once.MayHaveRun, begin(k, start.Add(time.Minute), start.Add(-time.Minute)))
}

// Guards against a range that is served again after a hand-over that failed or
// came too late, while its at-most-once records count as given away: every
// non-idempotent request was then refused as not owned.
func TestHandOverThatDidNotComplete(t *testing.T) {
	k := newKnowledge()
	k.follow(tableOf(0, 1), self, start)
	ran := start.Add(time.Second)
	must.Eq(t, once.Run, begin(k, ran, ran))
	k.give(core.FullRange, []core.Hash{7})
	k.give(core.Range{Lo: 7, Hi: 7}, nil)
	now := start.Add(2 * time.Second)
	must.Eq(t, once.NotOwned, begin(k, now, now))
	held := ownership.HeldRange{Range: core.FullRange, Token: core.Token{Term: 1, Sequence: 1}}
	k.resume([]ownership.HeldRange{held}, now)
	must.Eq(t, once.Run, begin(k, now, now))
	must.Eq(t, once.Duplicate, begin(k, now, ran))
	must.SliceEmpty(t, k.given)
}

// Guards against knowledge that returns with a later assignment: another owner
// served the range in between.
func TestGivenRangeReturnsUnderANewToken(t *testing.T) {
	k := newKnowledge()
	k.follow(tableOf(0, 1), self, start)
	k.give(core.FullRange, nil)
	k.follow(tableOf(1, 2), self, start.Add(time.Second))
	back := start.Add(time.Minute)
	k.follow(tableOf(0, 3), self, back)
	k.resume([]ownership.HeldRange{{Range: core.FullRange, Token: core.Token{Term: 1, Sequence: 3}}}, back)
	must.Eq(t, once.MayHaveRun, begin(k, back.Add(time.Minute), start.Add(30*time.Second)))
}
