package shards

import (
	"slices"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// peer is what the coordinator knows of one member.
type peer struct {
	inc    core.Incarnation
	holder Holder
	ready  bool
	slots  int
	demand float64
	// since is when the present run was first reported ready.
	since clock.Instant
	// ends tells for each run beside the member when the leases given for it
	// have ended. Runs that are missing had none from this coordinator.
	ends map[Holder]clock.Instant
	// heard is the last request.
	heard clock.Instant
	freed []Freed
	over  []Holder
	// fenced members get no lease while a write that takes their keys away is
	// under way.
	fenced bool
	// moving are rows that the member is to return.
	moving []Row
	// version counts changes of what the member may hold.
	version uint64
	shown   []Row
}

// Coordinator assigns the keys of one service.
type Coordinator struct {
	timing Timing
	node   core.NodeID
	inc    core.Incarnation

	active   bool
	stopping bool
	record   Assignment
	// holdings are the rows of record by holder, None included.
	holdings  map[Holder][]Row
	revision  uint64
	confirmed clock.Instant
	since     clock.Instant
	// inherited is when every lease of former coordinators has ended.
	inherited clock.Instant
	peers     map[core.NodeID]*peer
	joined    clock.Instant // last change of the set of ready members
	looked    clock.Instant // last look at the balance
	moved     clock.Instant // last time at which a planned move was under way
	writing   bool
	// uncertain is set while a write may still take effect although its answer
	// is missing. Its fences stay until a later write or read settles it.
	uncertain bool
	// unread is the instant of a failed write; the record is read after it and
	// before the next write, because the failed one may have changed it.
	unread clock.Instant
}

// NewCoordinator returns a coordinator without authority.
func NewCoordinator(t Timing, node core.NodeID, inc core.Incarnation) *Coordinator {
	return &Coordinator{timing: t, node: node, inc: inc, peers: make(map[core.NodeID]*peer)}
}

// Active reports whether this node is the coordinator.
func (c *Coordinator) Active() bool { return c.active }

// Record returns the last confirmed assignment with its revision.
func (c *Coordinator) Record() (Assignment, uint64) { return c.record, c.revision }

// FormerState tells how the previous coordinator ended.
type FormerState uint8

// Ends of a former coordinator.
const (
	// FormerUnknown may still give leases for its whole authority.
	FormerUnknown FormerState = iota
	// FormerEnded has ended, or has confirmed that it gives no more leases.
	FormerEnded
	// FormerNone means that there was none.
	FormerNone
)

// TakeOver makes this node the coordinator after its write of record was
// confirmed. sent is when the write was sent, now when it was confirmed, and
// settled is that of the record before the write: unless it is set, leases of
// coordinators before the former one may be left.
func (c *Coordinator) TakeOver(sent, now clock.Instant, record Assignment, revision uint64, former FormerState, settled bool) {
	c.active, c.stopping, c.writing, c.uncertain, c.unread = true, false, false, false, 0
	c.take(record, revision)
	c.confirmed, c.since, c.joined = sent, now, now
	c.peers = make(map[core.NodeID]*peer)
	switch {
	case former == FormerNone:
		c.inherited = now
	case former == FormerEnded && settled:
		c.inherited = now.Add(stretched(c.timing.Lease))
	default:
		c.inherited = now.Add(stretched(c.timing.Authority + c.timing.Lease))
	}
}

// StepDown ends the authority at once.
func (c *Coordinator) StepDown() { c.active = false }

// MarkStopping tells that this node is about to end, so that another takes over while
// it still gives leases.
func (c *Coordinator) MarkStopping() { c.stopping = true }

// Stopping reports whether another node should take over.
func (c *Coordinator) Stopping() bool { return c.stopping }

// UnconfirmedFor returns the time since the last confirmed access to the record.
func (c *Coordinator) UnconfirmedFor(now clock.Instant) time.Duration { return now.Sub(c.confirmed) }

// ObserveRecord takes over a read of the record that was sent at an instant. It
// reports whether this node is still the coordinator.
func (c *Coordinator) ObserveRecord(sent clock.Instant, record Assignment, revision uint64) bool {
	if !c.active {
		return false
	}
	if record.Term != c.record.Term || record.Incarnation != c.inc {
		c.active = false
		return false
	}
	if sent.After(c.confirmed) {
		c.confirmed = sent
	}
	if sent.After(c.unread) {
		c.unread = 0
	}
	if revision > c.revision && !c.writing {
		c.adopt(record, revision)
	}
	return true
}

// adopt takes a newer confirmed record of the own term, such as the result of
// a write whose answer was lost.
func (c *Coordinator) adopt(record Assignment, revision uint64) {
	c.take(record, revision)
	c.uncertain = false
	for _, p := range c.peers {
		p.fenced = false
		p.moving = stillHeld(p.moving, c.record.Rows)
	}
}

// take makes a record the present one.
func (c *Coordinator) take(record Assignment, revision uint64) {
	c.record, c.revision = record, revision
	c.record.Rows = complete(record.Rows)
	c.holdings = make(map[Holder][]Row)
	for _, r := range c.record.Rows {
		c.holdings[r.Holder] = append(c.holdings[r.Holder], r)
	}
}

// stillHeld keeps the moving rows that the record still names.
func stillHeld(moving, rows []Row) []Row {
	var out []Row
	for _, m := range moving {
		for _, r := range rows {
			if r.Overlaps(m.Span) && r.Holder == m.Holder && r.Fence == m.Fence {
				part := m
				part.From, part.To = max(m.From, r.From), min(m.To, r.To)
				out = append(out, part)
			}
		}
	}
	return out
}

// authority reports whether leases may be given.
func (c *Coordinator) authority(now clock.Instant) bool {
	return c.active && now.Sub(c.confirmed) < c.timing.Authority
}

// HandleRequest answers a member.
func (c *Coordinator) HandleRequest(now clock.Instant, r LeaseRequest) LeaseAnswer {
	if !c.active || r.Term > c.record.Term {
		return LeaseAnswer{Term: max(r.Term, c.record.Term)}
	}
	p := c.peers[r.Node]
	if p == nil || p.inc != r.Incarnation {
		p = c.newPeer(r, p)
		c.peers[r.Node] = p
	}
	if p.holder != r.Holder || p.ready != r.Ready {
		p.since, c.joined = now, now
	}
	p.holder, p.ready, p.slots, p.demand = r.Holder, r.Ready, max(1, r.Slots), r.Demand
	p.heard, p.freed, p.over = now, r.Freed, r.Over
	a := LeaseAnswer{Term: c.record.Term, Coordinator: true, Return: p.moving, FreedThrough: c.settled(p)}
	rows := c.allowed(p)
	if !equal(rows, p.shown) || p.version == 0 {
		p.shown = rows
		p.version++
	}
	a.Version = p.version
	if a.Version != r.Rows {
		a.Rows = rows
	}
	if c.authority(now) && !p.fenced {
		a.Lease = c.timing.Lease
		p.ends[p.holder] = now.Add(stretched(c.timing.Lease))
	}
	return a
}

// newPeer returns the state of a member's process that reports for the first
// time. Leases of its former process and versions of its rows are kept.
func (c *Coordinator) newPeer(r LeaseRequest, former *peer) *peer {
	p := &peer{inc: r.Incarnation, ends: make(map[Holder]clock.Instant)}
	if former != nil {
		p.ends, p.version, p.shown = former.ends, former.version+1, former.shown
	}
	return p
}

// settled returns the ID up to which the member's releases are in the record.
func (c *Coordinator) settled(p *peer) uint64 {
	through := uint64(0)
	for _, f := range p.freed {
		if c.holds(f.Holder, f.Span, f.Fence) {
			break
		}
		through = f.ID
	}
	return through
}

// holds reports whether the record still gives a part of s to h.
func (c *Coordinator) holds(h Holder, s Span, fence int64) bool {
	return slices.ContainsFunc(c.holdings[h], func(r Row) bool { return r.Overlaps(s) && r.Fence == fence })
}

// allowed returns the rows that a member may hold: those of the record without
// the ones that it returned or is to return.
func (c *Coordinator) allowed(p *peer) []Row {
	if p.holder == NoHolder {
		return nil
	}
	rows := c.holdings[p.holder]
	for _, f := range p.freed {
		rows = without(rows, f.Span, f.Fence)
	}
	for _, m := range p.moving {
		rows = without(rows, m.Span, m.Fence)
	}
	if !p.ready {
		return nil
	}
	return rows
}

// without removes a span of one fence from rows.
func without(rows []Row, s Span, fence int64) []Row {
	var out []Row
	for _, r := range rows {
		if !r.Overlaps(s) || r.Fence != fence {
			out = append(out, r)
			continue
		}
		for _, g := range (granted{Row: r}).without(s) {
			out = append(out, g.Row)
		}
	}
	return out
}

func equal(a, b []Row) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// NeedsConfirmation reports whether the record should be read.
func (c *Coordinator) NeedsConfirmation(now clock.Instant) bool {
	return c.active && !c.writing && (c.unread != 0 || now.Sub(c.confirmed) >= c.timing.Confirm)
}

// beginWrite fences the members from which the plan takes keys that they did
// not return, until the result is known.
func (c *Coordinator) beginWrite(next []Row) {
	c.writing = true
	for _, p := range c.peers {
		p.fenced = p.fenced && c.uncertain
	}
	for _, r := range c.record.Rows {
		if r.Holder == NoHolder {
			continue
		}
		p := c.peers[r.Holder.Node]
		if p == nil || p.holder != r.Holder {
			continue
		}
		if !c.returned(p, r) && changes(next, r) {
			p.fenced = true
		}
	}
}

// returned reports whether a member gave back all of a row that changes.
func (c *Coordinator) returned(p *peer, r Row) bool {
	for _, f := range p.freed {
		if f.Fence == r.Fence && f.Overlaps(r.Span) {
			return true
		}
	}
	return false
}

func changes(next []Row, r Row) bool {
	for _, n := range next {
		if n.Overlaps(r.Span) && (n.Holder != r.Holder || n.Fence != r.Fence) {
			return true
		}
	}
	return false
}

// CompleteWrite takes the result of a write that was sent at an instant. On success
// record and revision are what was written. On failure the record must be
// observed before the next plan.
func (c *Coordinator) CompleteWrite(sent, now clock.Instant, ok bool, record Assignment, revision uint64) {
	c.writing = false
	if !c.active {
		return
	}
	c.uncertain = !ok
	if !ok {
		c.unread = now
	}
	if ok {
		if sent.After(c.confirmed) {
			c.confirmed = sent
		}
		c.adopt(record, revision)
	}
}
