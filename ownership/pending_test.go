package ownership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// replacedSuccessor is a group whose coordinator (lead) has just replaced
// oldSuccessor by newSuccessor. keptSuccessor, oldSuccessor and otherMember do
// not know it. The two successors are cut off from lead and the store, so that
// they will act. Random runs do not reach this state.
type replacedSuccessor struct {
	*sim
	lead, keptSuccessor, oldSuccessor, newSuccessor, otherMember *simNode
}

func newReplacedSuccessor(t *testing.T) replacedSuccessor {
	t.Helper()
	s := newSettledGroup(t, 1, 8, 4)
	r := replacedSuccessor{sim: s, lead: s.coordinatorNode(), keptSuccessor: s.successorNode(0), oldSuccessor: s.successorNode(1)}
	s.storeUnreachable[r.keptSuccessor.index], s.storeUnreachable[r.oldSuccessor.index] = true, true
	// A draining successor is replaced.
	s.deliver(r.oldSuccessor, r.oldSuccessor.incarnation, Drain{})
	for range 100_000 {
		if s.store.history[len(s.store.history)-1].PendingSuccessor != (Run{}) {
			break
		}
		s.run(100 * time.Microsecond)
	}
	s.blockBothWays(r.lead, r.keptSuccessor) // before lead can announce the change
	s.blockBothWays(r.lead, r.oldSuccessor)
	s.run(20 * time.Millisecond)
	for _, n := range s.nodes {
		switch {
		case RunOf(n.member()) == r.lead.node.record.PendingSuccessor:
			r.newSuccessor = n
		case n != r.lead && n != r.keptSuccessor && n != r.oldSuccessor:
			r.otherMember = n
		}
	}
	must.NotNil(t, r.newSuccessor)
	return r
}

// requireActing runs the group and requires that the former successors act,
// that no node takes over, and that otherMember keeps its lease.
func (r replacedSuccessor) requireActing(t *testing.T) {
	t.Helper()
	r.run(time.Minute)
	must.Eq(t, "", r.failure)
	must.Positive(t, r.eventCounts[EventActingBegan], must.Sprint("the former successors must have acted"))
	must.Eq(t, 0, r.eventCounts[EventTakeover])
	must.True(t, r.isServing(r.otherMember), must.Sprint("acting must keep the member's lease"))
}

// TestPendingSuccessorDoesNotTakeOver guards against a takeover by a new
// successor while the two former ones act together without knowing that one was
// replaced.
func TestPendingSuccessorDoesNotTakeOver(t *testing.T) {
	r := newReplacedSuccessor(t)
	rec, version := r.lead.node.Record()
	r.crash(r.lead)
	for _, n := range []*simNode{r.keptSuccessor, r.oldSuccessor, r.otherMember} {
		r.blockBothWays(r.newSuccessor, n)
	}
	r.deliver(r.newSuccessor, r.newSuccessor.incarnation, ReadResult{Status: ReadFound, Record: rec, Version: version})
	r.requireActing(t)
}

// TestNoReassignmentWhileFormerPairActs guards against a coordinator that
// reassigns ranges because it has the new successor's promise, while the two
// former successors act.
func TestNoReassignmentWhileFormerPairActs(t *testing.T) {
	r := newReplacedSuccessor(t)
	r.blockBothWays(r.lead, r.otherMember)
	r.requireActing(t)
}

// blockBothWays drops all messages between two nodes.
func (s *sim) blockBothWays(a, b *simNode) {
	s.blocked[[2]int{a.index, b.index}] = true
	s.blocked[[2]int{b.index, a.index}] = true
}
