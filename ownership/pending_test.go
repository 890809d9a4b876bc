package ownership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// replacement is a group whose coordinator has just replaced s2 by s3, while
// s1, s2 and the member x know nothing of it and are cut off from the
// coordinator and the store, so that s1 and s2 will act. Random runs do not
// reach this state.
type replacement struct {
	*sim
	c, s1, s2, s3, x *simNode
}

func newReplacement(t *testing.T) replacement {
	t.Helper()
	s := healthy(t, 1, 8, 4)
	r := replacement{sim: s, c: s.coordinator(), s1: s.successor(0), s2: s.successor(1)}
	s.noStore[r.s1.index], s.noStore[r.s2.index] = true, true
	s.toProcess(r.s2, r.s2.inc, Drain{}) // a draining successor is replaced
	for range 100_000 {
		if s.store.history[len(s.store.history)-1].Pending != (Run{}) {
			break
		}
		s.run(100 * time.Microsecond)
	}
	s.separate(r.c, r.s1) // before the coordinator can tell of the change
	s.separate(r.c, r.s2)
	s.run(20 * time.Millisecond)
	for _, n := range s.nodes {
		switch {
		case RunOf(n.member()) == r.c.node.rec.Pending:
			r.s3 = n
		case n != r.c && n != r.s1 && n != r.s2:
			r.x = n
		}
	}
	must.NotNil(t, r.s3)
	return r
}

func (r replacement) check(t *testing.T) {
	t.Helper()
	r.run(time.Minute)
	must.Eq(t, "", r.fault)
	must.Positive(t, r.events[EventActingBegan], must.Sprint("the former successors must have acted"))
	must.Eq(t, 0, r.events[EventTakeover])
	must.True(t, r.passes(r.x), must.Sprint("acting must keep the member's lease"))
}

// TestPendingSuccessor guards against a takeover by a new successor while the
// two former ones act together without knowing that one was replaced.
func TestPendingSuccessor(t *testing.T) {
	r := newReplacement(t)
	rec, version := r.c.node.Record()
	r.crash(r.c)
	for _, n := range []*simNode{r.s1, r.s2, r.x} {
		r.separate(r.s3, n)
	}
	r.toProcess(r.s3, r.s3.inc, ReadResult{Status: ReadFound, Record: rec, Version: version})
	r.check(t)
}

// TestFormerPair guards against a coordinator that reassigns under the new
// successor's promise while the former two act.
func TestFormerPair(t *testing.T) {
	r := newReplacement(t)
	r.separate(r.c, r.x)
	r.check(t)
}

// separate blocks two nodes from each other in both directions.
func (s *sim) separate(a, b *simNode) {
	s.blocked[[2]int{a.index, b.index}] = true
	s.blocked[[2]int{b.index, a.index}] = true
}
