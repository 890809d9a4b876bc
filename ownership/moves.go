package ownership

import (
	"slices"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

const (
	// maxMoves bounds the planned moves in progress in one group.
	maxMoves = 16
	// storeFreshFor is the greatest age of the last successful store call at
	// which a move may start. A move during a store outage would leave its
	// range without an owner.
	storeFreshFor = 5 * time.Second
	// shareInterval and drainMoveInterval pace the moves to new members and
	// from draining members.
	shareInterval     = time.Second
	drainMoveInterval = time.Second
)

// plannedMove is a move as seen by the coordinator.
type plannedMove struct {
	id         uint64
	keyRange   core.Range
	token      core.Token
	from, to   Run
	nextStopAt clock.Instant
}

func (c *coordinatorState) findMove(id uint64) *plannedMove {
	for _, m := range c.moves {
		if m.id == id {
			return m
		}
	}
	return nil
}

// isRangeBusy reports whether any part of r is being moved or reassigned.
func (n *Node) isRangeBusy(r core.Range) bool {
	for _, m := range n.coordinator.moves {
		if m.keyRange.Overlaps(r) {
			return true
		}
	}
	return slices.ContainsFunc(n.ungrantedAssignments(), func(a assignment) bool { return a.keyRange.Overlaps(r) })
}

// storeReady reports whether a move may start. If no store call has succeeded
// lately, it asks for a read.
func (n *Node) storeReady() bool {
	if n.store.unavailable || n.coordinator.tableUnwritten {
		return false
	}
	if n.now < n.store.lastSuccessSentAt.Add(storeFreshFor) {
		return true
	}
	n.store.readWanted = true
	return false
}

// startMove begins the move of r, a part of entry e.
func (n *Node) startMove(e core.Entry, r core.Range, to Run) {
	c := n.coordinator
	from := ownerOf(c.table, e)
	if e.Owner == core.NoOwner || from == to || len(c.moves) >= maxMoves || n.isRangeBusy(r) {
		return
	}
	c.lastMoveID++
	c.moves = append(c.moves, &plannedMove{id: c.lastMoveID, keyRange: r, token: e.Token, from: from, to: to})
	n.recordEvent(EventMoveStarted, from, r)
}

// onMoveRequest starts the requested move.
func (n *Node) onMoveRequest(r *MoveRequest) {
	c := n.coordinator
	if c == nil || r.Term != c.term || r.Range.Lo > r.Range.Hi || !n.storeReady() {
		return
	}
	n.moveRange(r.Range, r.To)
}

// moveRange starts a move for each entry that r overlaps, if the run may be given
// ranges.
func (n *Node) moveRange(r core.Range, to Run) {
	c := n.coordinator
	info := c.findMember(to)
	if info == nil || !info.inTable || !n.isAssignable(info) {
		return
	}
	for _, e := range c.table.Entries {
		if e.Range.Overlaps(r) {
			n.startMove(e, e.Range.Intersect(r), to)
		}
	}
}

// restartMoves starts the cancelled moves again once the store is available.
func (n *Node) restartMoves() {
	c := n.coordinator
	if len(c.cancelledMoves) == 0 || !n.storeReady() {
		return
	}
	for _, a := range c.cancelledMoves {
		n.moveRange(a.keyRange, a.to)
	}
	c.cancelledMoves = nil
}

// tickMoves repeats the stop request of each move until the old owner reports.
func (n *Node) tickMoves() {
	c := n.coordinator
	n.restartMoves()
	for _, m := range c.moves {
		if n.now < m.nextStopAt {
			n.wakeAt(m.nextStopAt)
			continue
		}
		m.nextStopAt = n.now.Add(n.timing.HeartbeatInterval / 2)
		n.wakeAt(m.nextStopAt)
		to, known := n.findMember(m.to)
		if known {
			n.sendToRun(m.from, &MoveStop{
				Group: n.cfg.Group, From: n.self, Term: c.term, Move: m.id, Range: m.keyRange, Token: m.token, To: to,
			})
		}
	}
}

// onMoveReleased assigns a released range. A release without a known move is
// the answer to a repeated stop request; its range goes back to its owner.
func (n *Node) onMoveReleased(r *MoveReleased) {
	c := n.coordinator
	if c == nil || r.Term != c.term {
		return
	}
	to := r.From
	if m := c.findMove(r.Move); m != nil && m.from == r.From {
		to = m.to
		c.moves = slices.DeleteFunc(c.moves, func(x *plannedMove) bool { return x == m })
	}
	if info := c.findMember(to); info == nil || info.fenced {
		to = Run{} // the next draft assigns the range to another member
	}
	for _, e := range c.table.Entries {
		if !e.Range.Overlaps(r.Range) || ownerOf(c.table, e) != r.From || r.Token.Less(e.Token) {
			continue
		}
		for _, part := range subtractHashes(e.Range.Intersect(r.Range), r.Keep) {
			if !n.isRangeBusy(part) {
				n.queue([]assignment{{keyRange: part, to: to}})
			}
		}
	}
}

func (n *Node) onMoveFailed(f *MoveFailed) {
	if c := n.coordinator; c != nil && f.Term == c.term {
		c.moves = slices.DeleteFunc(c.moves, func(m *plannedMove) bool { return m.id == f.Move && m.from == f.From })
	}
}

// widthsAfterMoves returns the share of the key space that each run will own
// after the moves and assignments in progress.
func (n *Node) widthsAfterMoves() map[Run]float64 {
	widths := ownedWidths(n.coordinator.table)
	for _, m := range n.coordinator.moves {
		widths[m.from] -= m.keyRange.Width()
		widths[m.to] += m.keyRange.Width()
	}
	for _, a := range n.ungrantedAssignments() {
		widths[a.to] += a.keyRange.Width()
	}
	return widths
}

// giveSharesToNew moves an even share to each member that owns nothing.
func (n *Node) giveSharesToNew() {
	c := n.coordinator
	if len(c.members) < 2 {
		return
	}
	var widths map[Run]float64
	for _, info := range c.members {
		if !info.inTable || n.now < info.nextShareAt || !n.isAssignable(info) || len(c.frozenRanges)+len(c.vacantRanges) > 0 {
			continue
		}
		if widths == nil {
			widths = n.widthsAfterMoves()
		}
		if widths[info.run] > 0 {
			info.nextShareAt = n.now.Add(shareInterval)
			continue
		}
		if !n.storeReady() {
			continue
		}
		info.nextShareAt = n.now.Add(shareInterval)
		n.moveShareTo(info.run, widths)
	}
}

// moveShareTo takes the upper ends of the widest ranges until the run has its
// share of the group's key range.
func (n *Node) moveShareTo(to Run, widths map[Run]float64) {
	share := n.cfg.KeyRange.Width() / float64(len(n.assignableRuns()))
	for range 4 {
		missing := share - widths[to]
		e, ok := n.widestEntry(widths, to)
		if !ok || missing < share/16 {
			return
		}
		from := ownerOf(n.coordinator.table, e)
		if widths[from] <= share {
			return
		}
		part := upperPart(e.Range, min(missing, widths[from]-share))
		n.startMove(e, part, to)
		widths[from] -= part.Width()
		widths[to] += part.Width()
	}
}

// widestEntry returns the widest entry, not being moved, of the run that owns
// the most.
func (n *Node) widestEntry(widths map[Run]float64, except Run) (core.Entry, bool) {
	best, found := core.Entry{}, false
	var mostWidth float64
	for _, e := range n.coordinator.table.Entries {
		owner := ownerOf(n.coordinator.table, e)
		if e.Owner == core.NoOwner || owner == except || n.isRangeBusy(e.Range) {
			continue
		}
		if !found || widths[owner] > mostWidth || (widths[owner] == mostWidth && e.Range.Width() > best.Range.Width()) {
			best, mostWidth, found = e, widths[owner], true
		}
	}
	return best, found && mostWidth > 0
}

// upperPart returns the upper end of r that is about width wide, at least one
// hash.
func upperPart(r core.Range, width float64) core.Range {
	if width >= r.Width() || r.Lo == r.Hi {
		return r
	}
	size := core.Hash(max(width, 0) * (1 << 63) * 2)
	if size == 0 || size > r.Hi-r.Lo {
		return core.Range{Lo: r.Hi, Hi: r.Hi}
	}
	return core.Range{Lo: r.Hi - size + 1, Hi: r.Hi}
}

// advanceDrains accepts drains up to the cap and moves ranges away from
// draining members.
func (n *Node) advanceDrains() {
	c := n.coordinator
	if info := c.findMember(n.self); info != nil {
		info.draining, info.stopping = n.member.draining, n.member.stopping
		info.drainAccepted = info.drainAccepted && info.draining
	}
	var draining []core.Member
	for _, info := range c.members {
		if info.drainAccepted && !info.fenced {
			draining = append(draining, info.member)
		}
	}
	for _, info := range c.members {
		if !info.draining || info.fenced || !info.inTable {
			continue
		}
		if !info.drainAccepted && (info.stopping || n.cfg.MayDrain(draining, info.member, len(c.members))) {
			info.drainAccepted = true
			draining = append(draining, info.member)
			n.recordEvent(EventDrainAccepted, info.run, core.Range{})
		}
		if info.drainAccepted {
			n.moveRangesAway(info)
		}
	}
	if info := c.findMember(n.self); info != nil && info.drainAccepted && !n.member.drainAccepted {
		n.member.drainAccepted, n.member.drainAcceptedAt = true, n.now
	}
}

// mayDrainFifth is the default of Config.MayDrain.
func mayDrainFifth(draining []core.Member, _ core.Member, total int) bool {
	return len(draining) < max(1, total/5)
}

// moveRangesAway starts moves for the ranges that a draining member still owns.
func (n *Node) moveRangesAway(info *memberInfo) {
	c := n.coordinator
	targets := slices.DeleteFunc(n.assignableRuns(), func(r Run) bool { return r == info.run })
	if n.now < info.nextDrainMoveAt || len(targets) == 0 {
		n.wakeAt(info.nextDrainMoveAt)
		return
	}
	owned := slices.ContainsFunc(c.table.Entries, func(e core.Entry) bool { return ownerOf(c.table, e) == info.run })
	if !owned || !n.storeReady() {
		return
	}
	info.nextDrainMoveAt = n.now.Add(drainMoveInterval)
	widths := n.widthsAfterMoves()
	for _, e := range c.table.Entries {
		if e.Owner == core.NoOwner || ownerOf(c.table, e) != info.run || n.isRangeBusy(e.Range) {
			continue
		}
		for _, a := range spreadRange(widths, e.Range, targets) {
			n.startMove(e, a.keyRange, a.to)
		}
	}
}

// spreadRange divides one range among the targets with the least width, and
// adds the parts to widths.
func spreadRange(widths map[Run]float64, r core.Range, targets []Run) []assignment {
	var out []assignment
	for _, part := range splitWidest([]core.Range{r}, min(4, len(targets)), 3) {
		best := targets[0]
		for _, x := range targets[1:] {
			if widths[x] < widths[best] {
				best = x
			}
		}
		widths[best] += part.Width()
		out = append(out, assignment{keyRange: part, to: best})
	}
	return out
}

// handTermToSuccessor gives up the term in favour of a successor once a
// stopping coordinator owns nothing and has no exchange in flight.
func (n *Node) handTermToSuccessor() {
	c := n.coordinator
	if !n.isLeaving() || n.store.pendingWrite != nil || c.draft != nil || c.tableUnwritten || len(n.record.Successors) == 0 {
		return
	}
	c.authorityGivenUp = true
	for _, r := range n.record.Successors {
		if r != n.record.PendingSuccessor {
			n.sendToRun(r, &StepDown{Group: n.cfg.Group, From: n.self, Term: c.term, Version: n.version})
		}
	}
}
