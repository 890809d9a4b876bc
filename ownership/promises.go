package ownership

import (
	"slices"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

const (
	// successorTimeout is how long a successor may fail to promise before it is
	// replaced: five heartbeats, so that a short loss of messages costs no
	// write.
	successorTimeout = 3 * time.Second
	// promiseRequestLimit is how long a silent successor is still asked. A pair
	// of successors that is no longer asked cannot renew its limit on acting.
	promiseRequestLimit = 30 * time.Second
)

// successorPromise is what the coordinator knows of one successor's promises.
type successorPromise struct {
	run Run
	// promisedUntil is the end of the last promise not to take over, and
	// mayReassignUntil that of the last promise that came with
	// PromiseAnswer.MayReassign. Both are counted from when the request was
	// sent.
	promisedUntil, mayReassignUntil clock.Instant
	grantedAt                       clock.Instant
	lastAnswerAt                    clock.Instant
	lastAnsweredSeq, lastRequestSeq uint64
	retries                         int
	lastRequestAt                   clock.Instant
	takeoverRefusedAt               clock.Instant
	revisionRefusedAt               clock.Instant
	// ackedVersion is the newest record version that the successor has
	// acknowledged.
	ackedVersion   uint64
	sentRequests   [8]sentMessage
	firstRequestAt clock.Instant
	declaredLostAt clock.Instant
}

// actingPair is two successors that a record named together, so that they may
// act together.
type actingPair struct {
	a, b    Run
	namedAt clock.Instant
	// endedVersion is the version of the first record that no longer names
	// both, or zero.
	endedVersion uint64
}

func (p actingPair) contains(r Run) bool { return p.a == r || p.b == r }

func (p actingPair) matches(runs []Run) bool {
	return len(runs) == 2 && p.contains(runs[0]) && p.contains(runs[1])
}

// promiseOf returns the entry of a successor and creates it if needed.
func (c *coordinatorState) promiseOf(r Run) *successorPromise {
	for _, p := range c.promises {
		if p.run == r {
			return p
		}
	}
	p := &successorPromise{run: r}
	c.promises = append(c.promises, p)
	return p
}

// tickPromises asks the named successors for their promises once per heartbeat
// interval.
func (n *Node) tickPromises() {
	c := n.coordinator
	if n.now < c.nextPromiseAt {
		n.wakeAt(c.nextPromiseAt)
		n.retryPromises()
		return
	}
	c.nextPromiseAt = n.now.Add(n.timing.HeartbeatInterval)
	n.wakeAt(c.nextPromiseAt)
	c.dropUnusedPromises(n.record.Successors)
	takeoverPending := slices.ContainsFunc(n.record.Successors, func(r Run) bool {
		at := c.promiseOf(r).takeoverRefusedAt
		return at > 0 && n.now < at.Add(2*n.timing.HeartbeatInterval)
	})
	for _, r := range n.record.Successors {
		p := c.promiseOf(r)
		if takeoverPending && n.now >= p.takeoverRefusedAt.Add(2*n.timing.HeartbeatInterval) {
			continue // a takeover may be stored: let the others act
		}
		p.retries = 0
		n.requestPromise(p)
	}
	n.retryPromises()
}

// retryPromises repeats requests that were not answered within a quarter of a
// heartbeat interval, twice at most. It makes up for one lost datagram, and
// shows a successor early that its answers do not arrive.
func (n *Node) retryPromises() {
	for _, r := range n.record.Successors {
		p := n.coordinator.promiseOf(r)
		if p.lastAnsweredSeq >= p.lastRequestSeq || p.retries >= 2 {
			continue
		}
		at := p.lastRequestAt.Add(n.timing.HeartbeatInterval / 4)
		if n.now >= at {
			p.retries++
			n.requestPromise(p)
			at = n.now.Add(n.timing.HeartbeatInterval / 4)
		}
		n.wakeAt(at)
	}
}

// dropUnusedPromises drops the entries that neither the record nor a pair
// needs.
func (c *coordinatorState) dropUnusedPromises(named []Run) {
	c.promises = slices.DeleteFunc(c.promises, func(p *successorPromise) bool {
		return !slices.Contains(named, p.run) && !slices.ContainsFunc(c.actingPairs, func(x actingPair) bool { return x.contains(p.run) })
	})
}

// requestPromise asks one successor for its promise, unless it has been silent
// for promiseRequestLimit.
func (n *Node) requestPromise(p *successorPromise) {
	c := n.coordinator
	if p.firstRequestAt == 0 {
		p.firstRequestAt = n.now
	}
	info := c.findMember(p.run)
	if info == nil {
		return
	}
	lastContactAt := max(p.grantedAt, p.firstRequestAt, info.lastRenewAt)
	if n.now >= lastContactAt.Add(promiseRequestLimit) {
		return
	}
	c.lastPromiseSeq++
	p.sentRequests[c.lastPromiseSeq%uint64(len(p.sentRequests))] = sentMessage{seq: c.lastPromiseSeq, at: n.now}
	p.lastRequestAt, p.lastRequestSeq = n.now, c.lastPromiseSeq
	req := &PromiseRequest{
		Group: n.cfg.Group, From: n.self, To: p.run, Term: c.term, Seq: c.lastPromiseSeq,
		Version: n.version, Answered: p.lastAnsweredSeq, Revision: n.revision, Active: n.mayTakeOver(p.run),
	}
	if p.ackedVersion < n.version {
		req.Record = n.record
	}
	n.send(info.member, req)
}

// mayTakeOver reports whether a named successor may take over: it is not
// pending, or the other successor has acknowledged the present record.
func (n *Node) mayTakeOver(r Run) bool {
	if n.record.PendingSuccessor != r {
		return true
	}
	return !slices.ContainsFunc(n.coordinator.actingPairs, func(p actingPair) bool { return p.endedVersion != 0 })
}

// onPromiseAnswer records the answer of a successor.
func (n *Node) onPromiseAnswer(a *PromiseAnswer) {
	c := n.coordinator
	if a.Term > n.term {
		n.learnTerm(a.Term, core.Member{})
		n.store.readWanted = true
		return
	}
	if c == nil || a.Term != c.term {
		return
	}
	p := c.promiseOf(a.From)
	s := p.sentRequests[a.Seq%uint64(len(p.sentRequests))]
	if s.seq != a.Seq {
		return
	}
	p.ackedVersion = max(p.ackedVersion, a.Version)
	p.lastAnsweredSeq, p.lastAnswerAt, c.withoutContact = max(p.lastAnsweredSeq, a.Seq), n.now, false
	switch a.Verdict {
	case Granted:
		p.grantedAt, p.takeoverRefusedAt = n.now, 0
		p.promisedUntil = max(p.promisedUntil, s.at.Add(n.timing.PromiseDuration))
		if a.MayReassign {
			p.mayReassignUntil = max(p.mayReassignUntil, s.at.Add(n.timing.PromiseDuration))
			n.dropEndedPairs(a)
		}
	case RefusedTakeover:
		p.takeoverRefusedAt = n.now
	case RefusedRevision:
		p.revisionRefusedAt = n.now
	}
}

// dropEndedPairs forgets the pairs of a member that has acknowledged the record
// which parted them and has promised since: it cannot be acting.
func (n *Node) dropEndedPairs(a *PromiseAnswer) {
	c := n.coordinator
	before := len(c.actingPairs)
	c.actingPairs = slices.DeleteFunc(c.actingPairs, func(p actingPair) bool {
		return p.contains(a.From) && p.endedVersion != 0 && a.Version >= p.endedVersion
	})
	if len(c.actingPairs) != before {
		// The next request tells the pending successor that it may take over.
		c.nextPromiseAt = n.now
	}
}

// addPair records that two successors may act together from now on.
func (n *Node) addPair(runs []Run) {
	c := n.coordinator
	if len(runs) < 2 {
		return
	}
	for _, p := range c.actingPairs {
		if p.matches(runs) && p.endedVersion == 0 {
			return
		}
	}
	c.actingPairs = append(c.actingPairs, actingPair{a: runs[0], b: runs[1], namedAt: n.now})
}

// endReplacedPairs marks the pairs that a confirmed record no longer names, and
// forgets those that cannot act any more.
func (n *Node) endReplacedPairs(rec *GroupRecord, version uint64) {
	for k, p := range n.coordinator.actingPairs {
		if p.endedVersion == 0 && !p.matches(rec.Successors) {
			n.coordinator.actingPairs[k].endedVersion = version
			n.recordEvent(EventSuccessorsChanged, Run{}, core.Range{})
		}
	}
	n.coordinator.actingPairs = slices.DeleteFunc(n.coordinator.actingPairs, func(p actingPair) bool { return p.endedVersion != 0 && n.cannotAct(p) })
}

// mayReassign reports whether ranges whose leases have expired may be given to
// others, because no pair of successors can be acting.
func (n *Node) mayReassign() bool {
	c := n.coordinator
	if !n.hasAuthority() {
		return false
	}
	for _, p := range c.actingPairs {
		if n.now >= c.promiseOf(p.a).mayReassignUntil && n.now >= c.promiseOf(p.b).mayReassignUntil && !n.cannotAct(p) {
			return false
		}
	}
	return true
}

// cannotAct reports whether the time in which a silent pair can act is over.
func (n *Node) cannotAct(p actingPair) bool {
	a, b := n.coordinator.promiseOf(p.a), n.coordinator.promiseOf(p.b)
	maxActingTime := n.timing.withDrift(2*n.timing.PromiseDuration + n.timing.MaxActing + n.timing.MemberLease)
	if n.now >= max(p.namedAt, a.lastRequestAt, b.lastRequestAt).Add(maxActingTime) {
		return true
	}
	for _, x := range []*successorPromise{a, b} {
		if x.declaredLostAt > 0 && n.now >= x.declaredLostAt.Add(n.timing.withDrift(n.timing.PromiseDuration+n.timing.MemberLease)) {
			return true
		}
	}
	return false
}

func (n *Node) declareLost(runs []Run) {
	if n.coordinator == nil {
		return
	}
	for _, r := range runs {
		if p := n.coordinator.promiseOf(r); p.declaredLostAt == 0 {
			p.declaredLostAt = n.now
		}
	}
}

// nextSuccessors decides which successors the next record names, and which of
// them is pending. changed reports whether they differ from the present ones.
func (n *Node) nextSuccessors() (runs []Run, pending Run, changed bool) {
	c := n.coordinator
	current, currentPending := n.record.Successors, n.record.PendingSuccessor
	var kept []Run
	for _, r := range current {
		if !n.needsReplacement(r) {
			kept = append(kept, r)
		}
	}
	wanted := n.chooseSuccessors(kept, n.successorCandidates(), 2)
	if slices.Equal(wanted, current) || len(kept) == 2 {
		if n.mayTakeOver(currentPending) {
			currentPending = Run{}
		}
		return current, currentPending, false
	}
	if len(current) < 2 {
		return wanted, Run{}, true
	}
	formerPair := actingPair{a: current[0], b: current[1]}
	if len(kept) == 0 {
		return n.replaceBothSuccessors(formerPair, wanted)
	}
	if len(c.actingPairs) > 1 || n.now >= c.promiseOf(kept[0]).mayReassignUntil {
		return current, currentPending, false // one at a time, while the other promises
	}
	if len(wanted) == 2 {
		pending = wanted[1]
	}
	return wanted, pending, true
}

// replaceBothSuccessors names new successors once the former ones cannot act
// any more.
func (n *Node) replaceBothSuccessors(formerPair actingPair, wanted []Run) ([]Run, Run, bool) {
	for _, p := range n.coordinator.actingPairs {
		if !n.cannotAct(p) {
			return n.record.Successors, n.record.PendingSuccessor, false
		}
	}
	return wanted, Run{}, !formerPair.matches(wanted)
}

// needsReplacement reports whether a named successor should be replaced.
func (n *Node) needsReplacement(r Run) bool {
	info := n.coordinator.findMember(r)
	// A draining successor is replaced, but not while the store is unavailable:
	// the unresolved write would end the authority that rests on promises, and
	// with it the leases of the whole group.
	if info == nil || info.fenced || info.drainAccepted && n.storeReady() {
		return true
	}
	p := n.coordinator.promiseOf(r)
	return p.declaredLostAt > 0 || p.firstRequestAt > 0 && n.now >= max(p.grantedAt, p.firstRequestAt).Add(successorTimeout)
}

// successorCandidates lists the members other than this node that can be
// successors.
func (n *Node) successorCandidates() []core.Member {
	var out []core.Member
	for _, info := range n.coordinator.members {
		if info.inTable && !info.fenced && !info.draining && info.run != n.self && n.isAlive(info) {
			out = append(out, info.member)
		}
	}
	return out
}

// chooseSuccessors adds candidates to kept until there are count runs.
func (n *Node) chooseSuccessors(kept []Run, candidates []core.Member, count int) []Run {
	out := slices.Clone(kept)
	var others, chosen []core.Member
	for _, m := range candidates {
		switch {
		case slices.Contains(kept, RunOf(m)):
			chosen = append(chosen, m)
		case m.Node != n.self.Node:
			others = append(others, m)
		}
	}
	if len(out) >= count || len(others) == 0 {
		return out
	}
	// Members in the data centre of a kept successor come last.
	slices.SortStableFunc(others, func(a, b core.Member) int {
		return dataCentreOverlap(a, chosen) - dataCentreOverlap(b, chosen)
	})
	for _, m := range n.cfg.ChooseSuccessors(n.cfg.Self, others, count-len(out)) {
		out = append(out, RunOf(m))
	}
	return out
}

// dataCentreOverlap returns 1 if a member of the list is in the data centre of
// m, and else 0.
func dataCentreOverlap(m core.Member, list []core.Member) int {
	if slices.ContainsFunc(list, func(o core.Member) bool { return o.DataCentre == m.DataCentre }) {
		return 1
	}
	return 0
}

// preferOtherDataCentres is the default of Config.ChooseSuccessors. It prefers
// candidates outside the data centres of the coordinator and of the candidates
// already picked.
func preferOtherDataCentres(coordinator core.Member, candidates []core.Member, n int) []core.Member {
	var out []core.Member
	rest := slices.Clone(candidates)
	for len(out) < n && len(rest) > 0 {
		best := 0
		for i, m := range rest {
			if dataCentreOverlap(m, append(out, coordinator)) < dataCentreOverlap(rest[best], append(out, coordinator)) {
				best = i
			}
		}
		out = append(out, rest[best])
		rest = slices.Delete(rest, best, best+1)
	}
	return out
}
