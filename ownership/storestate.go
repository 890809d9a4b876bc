package ownership

import (
	"time"

	"marjoramshore.example/clock"
)

const (
	// opLimit is when a store call without a result counts as failed.
	opLimit = 15 * time.Second
	// firstBackoff and lastBackoff bound the pause between failed calls; at
	// 5 s, 3,600 nodes stay below half of the store's reads in an outage.
	firstBackoff = 200 * time.Millisecond
	lastBackoff  = 5 * time.Second
)

type writeKind uint8

const (
	writeCreate writeKind = iota + 1
	writeTakeover
	writeUpdate
)

// pending is a write whose effect is not known yet. It is repeated unchanged
// until a newer version of the record is seen, because an attempt without an
// answer may take effect at any later time.
type pending struct {
	kind      writeKind
	rec       *GroupRecord
	ifVersion uint64
	firstSent clock.Instant
	// conflicted is set when the next step is to read who wrote instead.
	conflicted bool
}

type storeState struct {
	lastID  uint64
	busy    bool
	busyPut bool
	sent    clock.Instant
	pend    *pending
	// getWanted asks for a read as soon as the store is free.
	getWanted bool
	retryAt   clock.Instant
	backoff   time.Duration
	// down is set from a failed or slow call until the next success.
	down bool
	// okAt is when the last successful call was sent.
	okAt  clock.Instant
	nonce uint64
}

// submit starts a write. The caller checks that none is pending.
func (n *Node) submit(kind writeKind, rec *GroupRecord, ifVersion uint64) {
	n.store.nonce++
	rec.Writer, rec.Nonce = n.self, n.store.nonce
	n.store.pend = &pending{kind: kind, rec: rec, ifVersion: ifVersion, firstSent: n.now}
	n.store.retryAt = 0
}

func (n *Node) tickStore() {
	st := &n.store
	if st.busy {
		n.watchCall()
	}
	if st.busy || (st.pend == nil && !st.getWanted) {
		return
	}
	if n.now < st.retryAt {
		n.wakeAt(st.retryAt)
		return
	}
	st.lastID++
	st.busy, st.sent = true, n.now
	st.busyPut = st.pend != nil && !st.pend.conflicted
	if st.busyPut {
		n.out = append(n.out, PutGroupRecord{ID: st.lastID, Record: st.pend.rec, IfVersion: st.pend.ifVersion})
	} else {
		n.out = append(n.out, GetGroupRecord{ID: st.lastID})
	}
	n.wakeAt(n.now.Add(n.t.StoreWait))
}

// watchCall notices slow and forgotten calls.
func (n *Node) watchCall() {
	slow, limit := n.store.sent.Add(n.t.StoreWait), n.store.sent.Add(opLimit)
	if n.now >= slow {
		n.store.down = true
	}
	if n.now >= limit {
		n.callFailed()
		return
	}
	n.wakeAt(slow)
	n.wakeAt(limit)
}

func (n *Node) callFailed() {
	st := &n.store
	st.busy, st.down = false, true
	st.backoff = min(max(2*st.backoff, firstBackoff), lastBackoff)
	if n.c != nil && n.authorityEnd() < n.now.Add(n.t.PromiseDuration) {
		st.backoff = firstBackoff
	}
	st.retryAt = n.now.Add(st.backoff)
}

func (n *Node) callSucceeded() {
	st := &n.store
	st.busy, st.down, st.backoff, st.retryAt = false, false, 0, 0
	st.okAt = max(st.okAt, st.sent)
}

func (n *Node) onRead(r ReadResult) {
	mine := r.ID != 0 && r.ID == n.store.lastID && n.store.busy && !n.store.busyPut
	if mine {
		n.store.getWanted = false
		if r.Status == ReadUnavailable {
			n.store.getWanted = true
			n.callFailed()
			return
		}
		n.callSucceeded()
	}
	switch r.Status {
	case ReadFound:
		n.learn(r.Record, r.Version)
	case ReadMissing:
		if mine && n.rec == nil && n.store.pend == nil {
			n.createGroup()
		}
	}
	if p := n.store.pend; mine && p != nil && p.conflicted {
		n.store.retryAt = n.now.Add(firstBackoff) // the read was stale
	}
}

func (n *Node) onPut(r PutResult) {
	st := &n.store
	if r.ID != st.lastID || !st.busy || !st.busyPut {
		return
	}
	sent, p := st.sent, st.pend
	if r.Status == PutOutcomeUnknown || r.Status == PutNotApplied {
		n.callFailed()
	} else {
		n.callSucceeded()
	}
	if p == nil {
		return // a newer version settled the write meanwhile
	}
	switch r.Status {
	case PutOK:
		st.pend = nil
		n.rec, n.version, n.recSince = p.rec, r.Version, n.now
		n.written(p, r.Version, sent)
	case PutConflict:
		p.conflicted = true
	case PutNotApplied:
		if p.firstSent == sent {
			st.pend = nil
			n.writeFailed(p)
		}
	}
}

// written acts on a confirmed write of this run that was sent at sent.
func (n *Node) written(p *pending, version uint64, sent clock.Instant) {
	switch p.kind {
	case writeCreate, writeTakeover:
		if p.rec.Term > n.term {
			n.becomeCoordinator(p, sent)
		}
	case writeUpdate:
		if n.c != nil && n.c.term == p.rec.Term {
			n.confirmed(p, version, sent)
		}
	}
}

// writeFailed acts on a write that is known not to be the current record.
func (n *Node) writeFailed(p *pending) {
	if p.kind == writeTakeover {
		// The write may have been in force before another one replaced it.
		n.m.leaseEnd = min(n.m.leaseEnd, p.firstSent.Add(n.t.TermLease))
	}
	if n.c != nil && p.kind == writeUpdate {
		n.c.draftLost(p)
	}
}
