package placement

import (
	"cmp"
	"slices"

	"marjoramshore.example/core"
)

const (
	// maxHashMoves bounds the moves of one hashMoveSet.
	maxHashMoves = 8
	// maxChainHashes and maxChainReceivers bound the search for a receiver at
	// which to make room, which keeps a plan for 64 members within
	// milliseconds.
	maxChainHashes, maxChainReceivers = 4, 8
)

// hashMove is a proposed move of a single hash between two members.
type hashMove struct {
	hitter   HeavyHitter
	from, to int
}

// hashMoveSet is a tentative set of moves of single hashes that relieve one
// member. It works on copies of the loads, so that a set which does not suffice
// has no effect.
type hashMoveSet struct {
	run           *planRun
	maxRatio      float64 // greatest load ratio of a receiver
	loads         []float64
	incomingMoves []int
	moves         []hashMove
}

// findHashMoves returns the fewest moves of single hashes that bring a member
// to HighRatio or below, or false when it finds none. It also tries moves that
// first make room at the receiver, and fills receivers beyond TargetRatio only
// when that saves moves.
func (r *planRun) findHashMoves(member int) ([]hashMove, bool) {
	var best []hashMove
	found := false
	for _, maxRatio := range []float64{r.cfg.TargetRatio, (r.cfg.TargetRatio + r.cfg.HighRatio) / 2, r.cfg.HighRatio - minMoveGain/2} {
		for _, useChains := range []bool{false, true} {
			s := r.tryHashMoves(member, maxRatio, useChains)
			if s.loadRatio(member) <= r.cfg.HighRatio && (!found || len(s.moves) < len(best)) {
				best, found = s.moves, true
			}
		}
	}
	return best, found
}

// tryHashMoves collects moves until the member is at TargetRatio or no further
// move is found. With useChains it prefers hashes whose receivers must first
// give away others.
func (r *planRun) tryHashMoves(member int, maxRatio float64, useChains bool) *hashMoveSet {
	s := &hashMoveSet{run: r, maxRatio: maxRatio, loads: slices.Clone(r.loads), incomingMoves: slices.Clone(r.incomingMoves)}
	s.loads[member] -= r.oversizedLoad[member]
	for s.loadRatio(member) > r.cfg.TargetRatio && len(s.moves) < maxHashMoves {
		if useChains && s.moveWithChain(member) || s.moveDirectly(member, 0) {
			continue
		}
		break
	}
	return s
}

func (s *hashMoveSet) loadRatio(member int) float64 { return s.loads[member] / s.run.shares[member] }

// candidateHashes returns the hashes of a member that may still move, in order
// of preference: the lightest that covers the excess, heavier ones, then the
// lighter ones from the heaviest down.
func (s *hashMoveSet) candidateHashes(member int, excess float64) []HeavyHitter {
	movable := s.run.hashesWorthMoving(member)
	covering := slices.IndexFunc(movable, func(h HeavyHitter) bool { return h.Rate >= excess })
	if covering < 0 {
		covering = len(movable)
	}
	order := make([]HeavyHitter, 0, len(movable))
	order = append(order, movable[covering:]...)
	for i := covering - 1; i >= 0; i-- {
		order = append(order, movable[i])
	}
	return slices.DeleteFunc(order, func(h HeavyHitter) bool {
		return slices.ContainsFunc(s.moves, func(move hashMove) bool { return move.hitter.Hash == h.Hash })
	})
}

// moveDirectly moves one hash of a member to the most loaded one that has room.
// The hash is chosen to cover excess; zero stands for the load above
// TargetRatio.
func (s *hashMoveSet) moveDirectly(member int, excess float64, excluded ...int) bool {
	if excess == 0 {
		excess = s.loads[member] - s.run.cfg.TargetRatio*s.run.shares[member]
	}
	for _, h := range s.candidateHashes(member, excess) {
		if to, ok := s.mostLoadedReceiver(h.Rate, append(excluded, member)); ok && s.run.paysOff(h.Rate, excess) {
			s.addMove(h, member, to)
			return true
		}
	}
	return false
}

// moveWithChain moves a hash that covers the excess of a member, or else its
// heaviest, to the receiver that has to give away the fewest hashes of its own
// to make room. Such a move and those that make room for it are a chain.
func (s *hashMoveSet) moveWithChain(member int) bool {
	excess := s.loads[member] - s.run.cfg.TargetRatio*s.run.shares[member]
	var best *hashMoveSet
	receivers := s.leastLoadedReceivers(member)
	for i, h := range s.candidateHashes(member, excess) {
		if i == maxChainHashes || i > 0 && h.Rate < excess {
			break
		}
		for _, to := range receivers {
			if attempt := s.moveAfterMakingRoom(member, to, h); attempt != nil && (best == nil || len(attempt.moves) < len(best.moves)) {
				best = attempt
			}
		}
	}
	if best == nil {
		return false
	}
	*s = *best
	return true
}

// leastLoadedReceivers returns the maxChainReceivers members with the lowest
// load ratio that may receive a hash.
func (s *hashMoveSet) leastLoadedReceivers(excluded int) []int {
	var out []int
	for member := range s.loads {
		if member != excluded && s.canReceive(member) {
			out = append(out, member)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(s.loadRatio(a), s.loadRatio(b)) })
	return out[:min(len(out), maxChainReceivers)]
}

func (s *hashMoveSet) canReceive(member int) bool {
	return s.run.canReceive(member, s.run.cfg.MaxIncomingMoves) && s.incomingMoves[member] < s.run.cfg.MaxIncomingMoves
}

// moveAfterMakingRoom returns a copy of s with the move of h and the moves that
// make room for it at the receiver, or nil.
func (s *hashMoveSet) moveAfterMakingRoom(from, to int, h HeavyHitter) *hashMoveSet {
	attempt := &hashMoveSet{run: s.run, maxRatio: s.maxRatio, loads: slices.Clone(s.loads),
		incomingMoves: slices.Clone(s.incomingMoves), moves: slices.Clone(s.moves)}
	for {
		excess := attempt.loads[to] + h.Rate - attempt.maxRatio*attempt.run.shares[to]
		if excess <= 0 {
			attempt.addMove(h, from, to)
			return attempt
		}
		if len(attempt.moves) >= maxHashMoves || !attempt.moveDirectly(to, excess, from) {
			return nil
		}
	}
}

func (s *hashMoveSet) addMove(h HeavyHitter, from, to int) {
	s.moves = append(s.moves, hashMove{hitter: h, from: from, to: to})
	s.loads[from] -= h.Rate
	s.loads[to] += h.Rate
	s.incomingMoves[to]++
}

// mostLoadedReceiver returns the member with the highest load ratio that stays
// within maxRatio with the load, or false. Filling small gaps first leaves the
// free capacity of lightly loaded members to hashes that fit nowhere else.
func (s *hashMoveSet) mostLoadedReceiver(load float64, excluded []int) (int, bool) {
	best := -1
	for member := range s.loads {
		if slices.Contains(excluded, member) || !s.canReceive(member) || s.loads[member]+load > s.maxRatio*s.run.shares[member] {
			continue
		}
		if best < 0 || s.loadRatio(member) > s.loadRatio(best) {
			best = member
		}
	}
	return best, best >= 0
}

// startHashMoves plans as many of the moves as may start now and keeps the rest
// for later calls of Plan: the first moves of a chain only help together with
// the last.
func (r *planRun) startHashMoves(moves []hashMove) {
	for i, move := range moves {
		if !r.mayStartMove(0) {
			r.pendingMoves = moves[i:]
			return
		}
		hashRange := core.Range{Lo: move.hitter.Hash, Hi: move.hitter.Hash}
		r.planMove(r.extractSegment(r.findSegment(move.hitter.Hash), hashRange), move.to, ReasonOverload)
	}
}

// resumePendingMoves plans the moves that an earlier call of Plan kept. It
// drops them when they no longer fit the table or the loads.
func (r *planRun) resumePendingMoves() {
	moves := r.pendingMoves
	r.pendingMoves = nil
	s := hashMoveSet{run: r, loads: slices.Clone(r.loads), incomingMoves: make([]int, len(r.loads))}
	for _, move := range moves {
		i := r.findSegment(move.hitter.Hash)
		s.addMove(move.hitter, move.from, move.to)
		if i < 0 || r.segments[i].owner != move.from || r.segments[i].moving || !r.canReceive(move.to, r.cfg.MaxIncomingMoves+1) || s.loadRatio(move.to) > r.cfg.HighRatio {
			return
		}
	}
	r.startHashMoves(moves)
}
