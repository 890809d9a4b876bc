package ownership

import (
	"slices"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// movePhase is the state of an outgoing move.
type movePhase uint8

const (
	moveStopping movePhase = iota + 1
	moveReleased
	moveFailed
)

// maxOutgoingMoves bounds how many moves of a term a member remembers, so that
// it can repeat their outcome.
const maxOutgoingMoves = 64

// outgoingMove is a planned move as seen by the owner that gives the range
// away.
type outgoingMove struct {
	id       uint64
	keyRange core.Range
	token    core.Token
	// keep lists the hashes that stay because of an upload in flight.
	keep     []core.Hash
	phase    movePhase
	deadline clock.Instant
}

func (m *memberState) findMove(id uint64) *outgoingMove {
	for _, mv := range m.outgoingMoves {
		if mv.id == id {
			return mv
		}
	}
	return nil
}

// onMoveStop starts the hand-over of a range, or repeats the outcome of one
// that has ended.
func (n *Node) onMoveStop(s *MoveStop) {
	if s.Term != n.term || n.member.leaseTerm != s.Term || n.member.left {
		return
	}
	if mv := n.member.findMove(s.Move); mv != nil {
		n.reportMove(mv)
		return
	}
	if !n.servesUnder(s.Range, s.Token) {
		return // this node's table is older than the coordinator's
	}
	mv := &outgoingMove{id: s.Move, keyRange: s.Range, token: s.Token, phase: moveStopping, deadline: n.now.Add(n.timing.HandOverTimeout)}
	n.member.outgoingMoves = append(n.member.outgoingMoves, mv)
	n.member.changeCount++
	n.pruneMoves()
	n.effects = append(n.effects, HandOver{Move: s.Move, Range: s.Range, To: s.To})
}

// servesUnder reports whether one served range covers r under the token.
func (n *Node) servesUnder(r core.Range, token core.Token) bool {
	own, _ := n.ownRanges()
	return slices.ContainsFunc(own, func(h HeldRange) bool {
		return h.Token == token && h.Range.Lo <= r.Lo && r.Hi <= h.Range.Hi
	})
}

// pruneMoves forgets the oldest ended moves above maxOutgoingMoves.
func (n *Node) pruneMoves() {
	m := &n.member
	for i := 0; len(m.outgoingMoves) > maxOutgoingMoves && i < len(m.outgoingMoves); {
		if m.outgoingMoves[i].phase == moveStopping {
			i++
			continue
		}
		m.outgoingMoves = slices.Delete(m.outgoingMoves, i, i+1)
	}
}

// reportMove tells the coordinator the outcome of a move, if there is one.
func (n *Node) reportMove(mv *outgoingMove) {
	switch mv.phase {
	case moveReleased:
		n.send(n.termCoordinator, &MoveReleased{
			Group: n.cfg.Group, From: n.self, Term: n.term,
			Move: mv.id, Range: mv.keyRange, Token: mv.token, Keep: mv.keep,
		})
	case moveFailed:
		n.send(n.termCoordinator, &MoveFailed{Group: n.cfg.Group, From: n.self, Term: n.term, Move: mv.id})
	}
}

// onHandOverDone releases the range. From here on, this node never serves it
// again under its present token, whatever tables arrive.
func (n *Node) onHandOverDone(h HandOverDone) {
	mv := n.member.findMove(h.Move)
	if mv == nil || mv.phase != moveStopping {
		return
	}
	mv.phase = moveReleased
	for _, k := range h.Keep {
		if mv.keyRange.Contains(k) {
			mv.keep = append(mv.keep, k)
		}
	}
	for _, r := range subtractHashes(mv.keyRange, mv.keep) {
		n.member.releasedRanges = append(n.member.releasedRanges, HeldRange{Range: r, Token: mv.token})
	}
	n.member.changeCount++
	n.reportMove(mv)
}

func (n *Node) onHandOverFailed(id uint64) {
	mv := n.member.findMove(id)
	if mv == nil || mv.phase != moveStopping {
		return
	}
	mv.phase = moveFailed
	n.member.changeCount++
	n.recordEvent(EventMoveFailed, n.self, mv.keyRange)
	n.reportMove(mv)
}

// expireHandOvers fails the hand-overs that were not reported within
// Timing.HandOverTimeout.
func (n *Node) expireHandOvers() {
	for _, mv := range n.member.outgoingMoves {
		if mv.phase != moveStopping {
			continue
		}
		if n.now >= mv.deadline {
			n.onHandOverFailed(mv.id)
			continue
		}
		n.wakeAt(mv.deadline)
	}
}

// dropMoves forgets the moves of a term that has ended. Ranges that were not
// released are served again, and a claim includes them.
func (n *Node) dropMoves() {
	n.member.outgoingMoves = nil
	n.member.changeCount++
}

// startDrain begins a drain. A stop that follows a drain restarts
// Timing.DrainGrace.
func (n *Node) startDrain(stop bool) {
	m := &n.member
	if !m.draining && !m.stopping {
		m.drainStartedAt, m.nextRenewAt = n.now, n.now
	}
	if stop && !m.stopping {
		m.drainStartedAt = n.now
	}
	m.draining = true
	m.stopping = m.stopping || stop
}

func (n *Node) undrain() {
	m := &n.member
	if m.stopping {
		return
	}
	m.draining, m.drainAccepted = false, false
}

func (n *Node) requestMove(r RequestMove) {
	n.send(n.coordinatorOrSelf(), &MoveRequest{
		Group: n.cfg.Group, From: n.self, Term: n.term, Range: r.Range, To: r.To,
	})
}

func (n *Node) coordinatorOrSelf() core.Member {
	if n.coordinator != nil {
		return n.cfg.Self
	}
	return n.termCoordinator
}
