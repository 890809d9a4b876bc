package ownership

import (
	"slices"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

const (
	// maxMoves bounds the planned moves of a group at a time.
	maxMoves = 16
	// storeFresh is how old a successful store call may be when a move starts.
	// A move during an outage would leave its range without an owner.
	storeFresh = 5 * time.Second
	// shareEvery and drainEvery pace the moves to new members and from
	// draining members.
	shareEvery = time.Second
	drainEvery = time.Second
)

// move is the coordinator's side of a planned move.
type move struct {
	id       uint64
	rng      core.Range
	token    core.Token
	from, to Run
	nextStop clock.Instant
}

func (c *coordinator) move(id uint64) *move {
	for _, m := range c.moves {
		if m.id == id {
			return m
		}
	}
	return nil
}

// busyRange reports whether r is being moved or reassigned.
func (n *Node) busyRange(r core.Range) bool {
	for _, m := range n.c.moves {
		if m.rng.Overlaps(r) {
			return true
		}
	}
	return slices.ContainsFunc(n.queued(), func(a assign) bool { return a.rng.Overlaps(r) })
}

// storeReady reports whether a move may start, and asks the store if that is
// not known.
func (n *Node) storeReady() bool {
	if n.store.down || n.c.unwritten {
		return false
	}
	if n.now < n.store.okAt.Add(storeFresh) {
		return true
	}
	n.store.getWanted = true
	return false
}

// startMove begins the move of the part of r that lies in entry e.
func (n *Node) startMove(e core.Entry, r core.Range, to Run) {
	c := n.c
	from := ownerOf(c.table, e)
	if e.Owner == core.NoOwner || from == to || len(c.moves) >= maxMoves || n.busyRange(r) {
		return
	}
	c.lastMove++
	c.moves = append(c.moves, &move{id: c.lastMove, rng: r, token: e.Token, from: from, to: to})
	n.journal(EventMoveStarted, from, r)
}

func (n *Node) onMoveRequest(r *MoveRequest) {
	c := n.c
	if c == nil || r.Term != c.term || r.Range.Lo > r.Range.Hi || !n.storeReady() {
		return
	}
	to := c.info(r.To)
	if to == nil || !to.inTable || !n.usable(to) {
		return
	}
	for _, e := range c.table.Entries {
		if e.Range.Overlaps(r.Range) {
			n.startMove(e, e.Range.Intersect(r.Range), r.To)
		}
	}
}

// tickMoves repeats the stop requests of moves until the old owner reports.
func (n *Node) tickMoves() {
	c := n.c
	for _, m := range c.moves {
		if n.now < m.nextStop {
			n.wakeAt(m.nextStop)
			continue
		}
		m.nextStop = n.now.Add(n.t.HeartbeatInterval / 2)
		n.wakeAt(m.nextStop)
		to, known := n.lookup(m.to)
		if known {
			n.sendRun(m.from, &MoveStop{
				Group: n.cfg.Group, From: n.self, Term: c.term, Move: m.id, Range: m.rng, Token: m.token, To: to,
			})
		}
	}
}

// onMoveReleased assigns a released range. A release without a known move
// stems from a repeated stop request; its range goes back to its owner.
func (n *Node) onMoveReleased(r *MoveReleased) {
	c := n.c
	if c == nil || r.Term != c.term {
		return
	}
	to := r.From
	if m := c.move(r.Move); m != nil && m.from == r.From {
		to = m.to
		c.moves = slices.DeleteFunc(c.moves, func(x *move) bool { return x == m })
	}
	if i := c.info(to); i == nil || i.fenced {
		to = Run{} // the next draft finds another owner
	}
	for _, e := range c.table.Entries {
		if !e.Range.Overlaps(r.Range) || ownerOf(c.table, e) != r.From || r.Token.Less(e.Token) {
			continue
		}
		for _, part := range without(e.Range.Intersect(r.Range), r.Keep) {
			if !n.busyRange(part) {
				n.queue([]assign{{rng: part, to: to}})
			}
		}
	}
}

func (n *Node) onMoveFailed(f *MoveFailed) {
	if c := n.c; c != nil && f.Term == c.term {
		c.moves = slices.DeleteFunc(c.moves, func(m *move) bool { return m.id == f.Move && m.from == f.From })
	}
}

// plannedWidths returns the widths after the moves in progress.
func (n *Node) plannedWidths() map[Run]float64 {
	w := widths(n.c.table)
	for _, m := range n.c.moves {
		w[m.from] -= m.rng.Width()
		w[m.to] += m.rng.Width()
	}
	for _, a := range n.queued() {
		w[a.to] += a.rng.Width()
	}
	return w
}

// shareWithJoined moves an even share to each member that owns nothing.
func (n *Node) shareWithJoined() {
	c := n.c
	if len(c.infos) < 2 {
		return
	}
	var w map[Run]float64
	for _, i := range c.infos {
		if !i.inTable || n.now < i.nextShare || !n.usable(i) || len(c.frozen)+len(c.vacant) > 0 {
			continue
		}
		if w == nil {
			w = n.plannedWidths()
		}
		if w[i.run] > 0 {
			i.nextShare = n.now.Add(shareEvery)
			continue
		}
		if !n.storeReady() {
			continue
		}
		i.nextShare = n.now.Add(shareEvery)
		n.giveShare(i.run, w)
	}
}

// giveShare takes the ends of the widest ranges until to has its share of the
// group's part of the key space.
func (n *Node) giveShare(to Run, w map[Run]float64) {
	share := n.cfg.KeyRange.Width() / float64(len(n.targets()))
	for range 4 {
		missing := share - w[to]
		e, ok := n.widestEntry(w, to)
		if !ok || missing < share/16 {
			return
		}
		from := ownerOf(n.c.table, e)
		if w[from] <= share {
			return
		}
		part := topPart(e.Range, min(missing, w[from]-share))
		n.startMove(e, part, to)
		w[from] -= part.Width()
		w[to] += part.Width()
	}
}

// widestEntry returns the widest free entry of the run with the most width.
func (n *Node) widestEntry(w map[Run]float64, except Run) (core.Entry, bool) {
	best, found := core.Entry{}, false
	var most float64
	for _, e := range n.c.table.Entries {
		owner := ownerOf(n.c.table, e)
		if e.Owner == core.NoOwner || owner == except || n.busyRange(e.Range) {
			continue
		}
		if !found || w[owner] > most || (w[owner] == most && e.Range.Width() > best.Range.Width()) {
			best, most, found = e, w[owner], true
		}
	}
	return best, found && most > 0
}

// topPart returns the upper end of r that is about width wide.
func topPart(r core.Range, width float64) core.Range {
	if width >= r.Width() || r.Lo == r.Hi {
		return r
	}
	size := core.Hash(max(width, 0) * (1 << 63) * 2)
	if size == 0 || size > r.Hi-r.Lo {
		return core.Range{Lo: r.Hi, Hi: r.Hi}
	}
	return core.Range{Lo: r.Hi - size + 1, Hi: r.Hi}
}

// driveDrains accepts drains up to the cap and moves ranges away.
func (n *Node) driveDrains() {
	c := n.c
	if i := c.info(n.self); i != nil {
		i.draining, i.stopping = n.m.draining, n.m.stopping
		i.accepted = i.accepted && i.draining
	}
	var draining []core.Member
	for _, i := range c.infos {
		if i.accepted && !i.fenced {
			draining = append(draining, i.member)
		}
	}
	for _, i := range c.infos {
		if !i.draining || i.fenced || !i.inTable {
			continue
		}
		if !i.accepted && (i.stopping || n.cfg.MayDrain(draining, i.member, len(c.infos))) {
			i.accepted = true
			draining = append(draining, i.member)
			n.journal(EventDrainAccepted, i.run, core.Range{})
		}
		if i.accepted {
			n.moveAway(i)
		}
	}
	if i := c.info(n.self); i != nil && i.accepted && !n.m.accepted {
		n.m.accepted, n.m.acceptAt = true, n.now
	}
}

// fifthOfGroup is the default drain cap.
func fifthOfGroup(draining []core.Member, _ core.Member, total int) bool {
	return len(draining) < max(1, total/5)
}

// moveAway starts moves for what a draining member still owns.
func (n *Node) moveAway(i *info) {
	c := n.c
	targets := slices.DeleteFunc(n.targets(), func(r Run) bool { return r == i.run })
	if n.now < i.nextDrain || len(targets) == 0 {
		n.wakeAt(i.nextDrain)
		return
	}
	owned := slices.ContainsFunc(c.table.Entries, func(e core.Entry) bool { return ownerOf(c.table, e) == i.run })
	if !owned || !n.storeReady() {
		return
	}
	i.nextDrain = n.now.Add(drainEvery)
	w := n.plannedWidths()
	for _, e := range c.table.Entries {
		if e.Owner == core.NoOwner || ownerOf(c.table, e) != i.run || n.busyRange(e.Range) {
			continue
		}
		for _, a := range spreadOver(w, e.Range, targets) {
			n.startMove(e, a.rng, a.to)
		}
	}
}

// spreadOver divides one range among the targets with the least width.
func spreadOver(w map[Run]float64, r core.Range, targets []Run) []assign {
	var out []assign
	for _, part := range cutFor([]core.Range{r}, min(4, len(targets)), 3) {
		best := targets[0]
		for _, x := range targets[1:] {
			if w[x] < w[best] {
				best = x
			}
		}
		w[best] += part.Width()
		out = append(out, assign{rng: part, to: best})
	}
	return out
}

// retire hands the term to a successor once a stopping coordinator owns
// nothing and has no exchange in flight.
func (n *Node) retire() {
	c := n.c
	if !n.leaving() || n.store.pend != nil || c.draft != nil || c.unwritten || len(n.rec.Successors) == 0 {
		return
	}
	c.yielded = true
	for _, r := range n.rec.Successors {
		if r != n.rec.Pending {
			n.sendRun(r, &StepDown{Group: n.cfg.Group, From: n.self, Term: c.term, Version: n.version})
		}
	}
}
