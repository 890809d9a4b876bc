package ownership

import (
	"slices"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

const (
	// successorPatience is how long a successor may fail to promise before it
	// is replaced: five heartbeats, so that a short loss costs no write.
	successorPatience = 3 * time.Second
	// promisePatience is how long a silent successor is still asked. A pair
	// that is no longer asked cannot renew its limit on acting.
	promisePatience = 30 * time.Second
)

// promise is what the coordinator knows of one successor's promises.
type promise struct {
	run Run
	// until and reassignUntil are counted from when the request was sent.
	until, reassignUntil clock.Instant
	granted              clock.Instant
	answeredAt           clock.Instant
	answered, lastSeq    uint64
	retries              int
	asked                clock.Instant
	refusedTakeover      clock.Instant
	refusedRevision      clock.Instant
	acked                uint64
	sent                 [8]sentRenewal
	since                clock.Instant
	declaredLost         clock.Instant
}

// pair is two successors that were named together and so may act together.
type pair struct {
	a, b  Run
	since clock.Instant
	// ended is the version of the record that no longer names both.
	ended uint64
}

func (p pair) has(r Run) bool { return p.a == r || p.b == r }

func (p pair) names(runs []Run) bool {
	return len(runs) == 2 && p.has(runs[0]) && p.has(runs[1])
}

func (c *coordinator) promise(r Run) *promise {
	for _, p := range c.promises {
		if p.run == r {
			return p
		}
	}
	p := &promise{run: r}
	c.promises = append(c.promises, p)
	return p
}

// tickPromises asks the named successors for their promises.
func (n *Node) tickPromises() {
	c := n.c
	if n.now < c.nextPromise {
		n.wakeAt(c.nextPromise)
		n.retryPromises()
		return
	}
	c.nextPromise = n.now.Add(n.t.HeartbeatInterval)
	n.wakeAt(c.nextPromise)
	c.forgetPromises(n.rec.Successors)
	blocked := slices.ContainsFunc(n.rec.Successors, func(r Run) bool {
		at := c.promise(r).refusedTakeover
		return at > 0 && n.now < at.Add(2*n.t.HeartbeatInterval)
	})
	for _, r := range n.rec.Successors {
		p := c.promise(r)
		if blocked && n.now >= p.refusedTakeover.Add(2*n.t.HeartbeatInterval) {
			continue // authority cannot be had; let the others act
		}
		p.retries = 0
		n.askPromise(p)
	}
	n.retryPromises()
}

// retryPromises repeats requests that were not answered within a quarter of a
// heartbeat, twice at most. It makes up for one lost datagram, and shows a
// successor early that its answers do not arrive.
func (n *Node) retryPromises() {
	for _, r := range n.rec.Successors {
		p := n.c.promise(r)
		if p.answered >= p.lastSeq || p.retries >= 2 {
			continue
		}
		at := p.asked.Add(n.t.HeartbeatInterval / 4)
		if n.now >= at {
			p.retries++
			n.askPromise(p)
			at = n.now.Add(n.t.HeartbeatInterval / 4)
		}
		n.wakeAt(at)
	}
}

// forgetPromises drops entries that no record or pair needs.
func (c *coordinator) forgetPromises(named []Run) {
	c.promises = slices.DeleteFunc(c.promises, func(p *promise) bool {
		return !slices.Contains(named, p.run) && !slices.ContainsFunc(c.pairs, func(x pair) bool { return x.has(p.run) })
	})
}

func (n *Node) askPromise(p *promise) {
	c := n.c
	if p.since == 0 {
		p.since = n.now
	}
	i := c.info(p.run)
	if i == nil {
		return
	}
	quiet := max(p.granted, p.since, i.lastHeard)
	if n.now >= quiet.Add(promisePatience) {
		return
	}
	c.promiseSeq++
	p.sent[c.promiseSeq%uint64(len(p.sent))] = sentRenewal{seq: c.promiseSeq, at: n.now}
	p.asked, p.lastSeq = n.now, c.promiseSeq
	req := &PromiseRequest{
		Group: n.cfg.Group, From: n.self, To: p.run, Term: c.term, Seq: c.promiseSeq,
		Version: n.version, Answered: p.answered, Revision: n.revision, Active: n.isActive(p.run),
	}
	if p.acked < n.version {
		req.Record = n.rec
	}
	n.send(i.member, req)
}

// isActive reports whether a named successor may take over: it is not pending,
// or the other successor has acknowledged the present record.
func (n *Node) isActive(r Run) bool {
	if n.rec.Pending != r {
		return true
	}
	return !slices.ContainsFunc(n.c.pairs, func(p pair) bool { return p.ended != 0 })
}

func (n *Node) onPromiseAnswer(a *PromiseAnswer) {
	c := n.c
	if a.Term > n.term {
		n.setTerm(a.Term, core.Member{})
		n.store.getWanted = true
		return
	}
	if c == nil || a.Term != c.term {
		return
	}
	p := c.promise(a.From)
	s := p.sent[a.Seq%uint64(len(p.sent))]
	if s.seq != a.Seq {
		return
	}
	p.acked = max(p.acked, a.Version)
	p.answered, p.answeredAt, c.alone = max(p.answered, a.Seq), n.now, false
	switch a.Verdict {
	case Granted:
		p.granted, p.refusedTakeover = n.now, 0
		p.until = max(p.until, s.at.Add(n.t.PromiseDuration))
		if a.MayReassign {
			p.reassignUntil = max(p.reassignUntil, s.at.Add(n.t.PromiseDuration))
			n.endPairs(a)
		}
	case RefusedTakeover:
		p.refusedTakeover = n.now
	case RefusedRevision:
		p.refusedRevision = n.now
	}
}

// endPairs forgets pairs whose member has acknowledged the record that parted
// them, and which has promised since: it cannot be acting.
func (n *Node) endPairs(a *PromiseAnswer) {
	c := n.c
	before := len(c.pairs)
	c.pairs = slices.DeleteFunc(c.pairs, func(p pair) bool {
		return p.has(a.From) && p.ended != 0 && a.Version >= p.ended
	})
	if len(c.pairs) != before {
		c.nextPromise = n.now // activates the pending successor
	}
}

// openPair notes that two successors may act together from now on.
func (n *Node) openPair(runs []Run) {
	c := n.c
	if len(runs) < 2 {
		return
	}
	for _, p := range c.pairs {
		if p.names(runs) && p.ended == 0 {
			return
		}
	}
	c.pairs = append(c.pairs, pair{a: runs[0], b: runs[1], since: n.now})
}

// closePairs marks the pairs that a confirmed record no longer names, and
// forgets those that can no longer act.
func (n *Node) closePairs(rec *GroupRecord, version uint64) {
	for k, p := range n.c.pairs {
		if p.ended == 0 && !p.names(rec.Successors) {
			n.c.pairs[k].ended = version
			n.journal(EventSuccessorsChanged, Run{}, core.Range{})
		}
	}
	n.c.pairs = slices.DeleteFunc(n.c.pairs, func(p pair) bool { return p.ended != 0 && n.cannotAct(p) })
}

// mayReassign reports whether ranges whose leases have expired may be given to
// others: no pair of successors can be acting.
func (n *Node) mayReassign() bool {
	c := n.c
	if !n.hasAuthority() {
		return false
	}
	for _, p := range c.pairs {
		if n.now >= c.promise(p.a).reassignUntil && n.now >= c.promise(p.b).reassignUntil && !n.cannotAct(p) {
			return false
		}
	}
	return true
}

// cannotAct reports whether the time in which a silent pair can act is over.
func (n *Node) cannotAct(p pair) bool {
	a, b := n.c.promise(p.a), n.c.promise(p.b)
	limit := n.t.stretch(2*n.t.PromiseDuration + n.t.Acting + n.t.MemberLease)
	if n.now >= max(p.since, a.asked, b.asked).Add(limit) {
		return true
	}
	for _, x := range []*promise{a, b} {
		if x.declaredLost > 0 && n.now >= x.declaredLost.Add(n.t.stretch(n.t.PromiseDuration+n.t.MemberLease)) {
			return true
		}
	}
	return false
}

func (n *Node) declareLost(runs []Run) {
	if n.c == nil {
		return
	}
	for _, r := range runs {
		if p := n.c.promise(r); p.declaredLost == 0 {
			p.declaredLost = n.now
		}
	}
}

// nextSuccessors decides which successors the next record names.
func (n *Node) nextSuccessors() (runs []Run, pendingRun Run, changed bool) {
	c := n.c
	now, was := n.rec.Successors, n.rec.Pending
	var kept []Run
	for _, r := range now {
		if !n.successorLost(r) {
			kept = append(kept, r)
		}
	}
	want := n.chooseSuccessors(kept, n.aliveMembers(), 2)
	if slices.Equal(want, now) || len(kept) == 2 {
		if n.isActive(was) {
			was = Run{}
		}
		return now, was, false
	}
	if len(now) < 2 {
		return want, Run{}, true
	}
	old := pair{a: now[0], b: now[1]}
	if len(kept) == 0 {
		return n.replaceBoth(old, want)
	}
	if len(c.pairs) > 1 || n.now >= c.promise(kept[0]).reassignUntil {
		return now, was, false // one at a time, under the other's promise
	}
	if len(want) == 2 {
		pendingRun = want[1]
	}
	return want, pendingRun, true
}

// replaceBoth names new successors once the former ones cannot act any more.
func (n *Node) replaceBoth(old pair, want []Run) ([]Run, Run, bool) {
	for _, p := range n.c.pairs {
		if !n.cannotAct(p) {
			return n.rec.Successors, n.rec.Pending, false
		}
	}
	return want, Run{}, !old.names(want)
}

// successorLost reports whether a named successor should be replaced.
func (n *Node) successorLost(r Run) bool {
	i := n.c.info(r)
	// A draining successor is replaced, but not while the store is out: the
	// unresolved write would end the authority that rests on promises, and
	// with it the leases of the whole group.
	if i == nil || i.fenced || i.accepted && n.storeReady() {
		return true
	}
	p := n.c.promise(r)
	return p.declaredLost > 0 || p.since > 0 && n.now >= max(p.granted, p.since).Add(successorPatience)
}

func (n *Node) aliveMembers() []core.Member {
	var out []core.Member
	for _, i := range n.c.infos {
		if i.inTable && !i.fenced && !i.draining && i.run != n.self && n.alive(i) {
			out = append(out, i.member)
		}
	}
	return out
}

// chooseSuccessors completes kept from the candidates up to want runs.
func (n *Node) chooseSuccessors(kept []Run, candidates []core.Member, want int) []Run {
	out := slices.Clone(kept)
	var free, chosen []core.Member
	for _, m := range candidates {
		switch {
		case slices.Contains(kept, RunOf(m)):
			chosen = append(chosen, m)
		case m.Node != n.self.Node:
			free = append(free, m)
		}
	}
	if len(out) >= want || len(free) == 0 {
		return out
	}
	// Members in the data centre of a kept successor come last.
	slices.SortStableFunc(free, func(a, b core.Member) int {
		return sharesDataCentre(a, chosen) - sharesDataCentre(b, chosen)
	})
	for _, m := range n.cfg.ChooseSuccessors(n.cfg.Self, free, want-len(out)) {
		out = append(out, RunOf(m))
	}
	return out
}

func sharesDataCentre(m core.Member, list []core.Member) int {
	if slices.ContainsFunc(list, func(o core.Member) bool { return o.DataCentre == m.DataCentre }) {
		return 1
	}
	return 0
}

// otherDataCentres prefers candidates outside the coordinator's data centre
// and outside that of a candidate already picked.
func otherDataCentres(coordinator core.Member, candidates []core.Member, n int) []core.Member {
	var out []core.Member
	rest := slices.Clone(candidates)
	for len(out) < n && len(rest) > 0 {
		at := 0
		for i, m := range rest {
			if sharesDataCentre(m, append(out, coordinator)) < sharesDataCentre(rest[at], append(out, coordinator)) {
				at = i
			}
		}
		out = append(out, rest[at])
		rest = slices.Delete(rest, at, at+1)
	}
	return out
}
