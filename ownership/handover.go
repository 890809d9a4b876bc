package ownership

import (
	"slices"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

type movePhase uint8

const (
	moveStopping movePhase = iota + 1
	moveReleased
	moveFailed
)

// maxMemberMoves bounds how many past moves of a term a member remembers, so
// that it can repeat their outcome.
const maxMemberMoves = 64

// memberMove is the old owner's side of a planned move.
type memberMove struct {
	id       uint64
	rng      core.Range
	token    core.Token
	keep     []core.Hash
	phase    movePhase
	deadline clock.Instant
}

func (m *member) move(id uint64) *memberMove {
	for _, mv := range m.moves {
		if mv.id == id {
			return mv
		}
	}
	return nil
}

func (n *Node) onMoveStop(s *MoveStop) {
	if s.Term != n.term || n.m.leaseTerm != s.Term || n.m.left {
		return
	}
	if mv := n.m.move(s.Move); mv != nil {
		n.reportMove(mv)
		return
	}
	if !n.holds(s.Range, s.Token) {
		return // this node's table is older than the coordinator's
	}
	mv := &memberMove{id: s.Move, rng: s.Range, token: s.Token, phase: moveStopping, deadline: n.now.Add(n.t.HandOver)}
	n.m.moves = append(n.m.moves, mv)
	n.m.changes++
	n.pruneMoves()
	n.out = append(n.out, HandOver{Move: s.Move, Range: s.Range, To: s.To})
}

// holds reports whether one served range covers r under the token.
func (n *Node) holds(r core.Range, token core.Token) bool {
	own, _ := n.own()
	return slices.ContainsFunc(own, func(h HeldRange) bool {
		return h.Token == token && h.Range.Lo <= r.Lo && r.Hi <= h.Range.Hi
	})
}

func (n *Node) pruneMoves() {
	m := &n.m
	for i := 0; len(m.moves) > maxMemberMoves && i < len(m.moves); {
		if m.moves[i].phase == moveStopping {
			i++
			continue
		}
		m.moves = slices.Delete(m.moves, i, i+1)
	}
}

// reportMove tells the coordinator the outcome of a move, if there is one.
func (n *Node) reportMove(mv *memberMove) {
	switch mv.phase {
	case moveReleased:
		n.send(n.coordinator, &MoveReleased{
			Group: n.cfg.Group, From: n.self, Term: n.term,
			Move: mv.id, Range: mv.rng, Token: mv.token, Keep: mv.keep,
		})
	case moveFailed:
		n.send(n.coordinator, &MoveFailed{Group: n.cfg.Group, From: n.self, Term: n.term, Move: mv.id})
	}
}

// handedOver releases the range. From here on it is never served again under
// its present token, whatever tables arrive.
func (n *Node) handedOver(h HandOverDone) {
	mv := n.m.move(h.Move)
	if mv == nil || mv.phase != moveStopping {
		return
	}
	mv.phase = moveReleased
	for _, k := range h.Keep {
		if mv.rng.Contains(k) {
			mv.keep = append(mv.keep, k)
		}
	}
	for _, r := range without(mv.rng, mv.keep) {
		n.m.released = append(n.m.released, HeldRange{Range: r, Token: mv.token})
	}
	n.m.changes++
	n.reportMove(mv)
}

func (n *Node) handOverFailed(id uint64) {
	mv := n.m.move(id)
	if mv == nil || mv.phase != moveStopping {
		return
	}
	mv.phase = moveFailed
	n.m.changes++
	n.journal(EventMoveFailed, n.self, mv.rng)
	n.reportMove(mv)
}

func (n *Node) expireHandOvers() {
	for _, mv := range n.m.moves {
		if mv.phase != moveStopping {
			continue
		}
		if n.now >= mv.deadline {
			n.handOverFailed(mv.id)
			continue
		}
		n.wakeAt(mv.deadline)
	}
}

// abortMoves forgets the moves of a term that has ended. Ranges that were not
// released are served again, and a claim includes them.
func (n *Node) abortMoves() {
	n.m.moves = nil
	n.m.changes++
}

func (n *Node) startDrain(stop bool) {
	m := &n.m
	if !m.draining && !m.stopping {
		m.drainAt, m.nextRenew = n.now, n.now
	}
	if stop && !m.stopping {
		m.drainAt = n.now
	}
	m.draining = true
	m.stopping = m.stopping || stop
}

func (n *Node) undrain() {
	m := &n.m
	if m.stopping {
		return
	}
	m.draining, m.accepted = false, false
}

func (n *Node) requestMove(r RequestMove) {
	n.send(n.coordinatorOrSelf(), &MoveRequest{
		Group: n.cfg.Group, From: n.self, Term: n.term, Range: r.Range, To: r.To,
	})
}

func (n *Node) coordinatorOrSelf() core.Member {
	if n.c != nil {
		return n.cfg.Self
	}
	return n.coordinator
}
