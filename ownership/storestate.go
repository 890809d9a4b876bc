package ownership

import (
	"time"

	"marjoramshore.example/clock"
)

const (
	// callLimit is the time after which a store call without a result counts as
	// failed.
	callLimit = 15 * time.Second
	// minBackoff and maxBackoff bound the pause between failed calls. With 5 s,
	// 3,600 nodes use less than half of the store's read limit in an outage.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// writeKind tells for what purpose the group record is written.
type writeKind uint8

const (
	writeCreate writeKind = iota + 1
	writeTakeover
	writeUpdate
)

// pendingWrite is a write whose effect is not known yet. It is repeated
// unchanged until a newer version of the record is seen, because an attempt
// without an answer may take effect at any later time.
type pendingWrite struct {
	kind        writeKind
	record      *GroupRecord
	ifVersion   uint64
	firstSentAt clock.Instant
	// conflictSeen is set after a conflict: the next call reads the record that
	// was stored instead.
	conflictSeen bool
}

// storeState is the state of the node's calls to the store. At most one call is
// in flight.
type storeState struct {
	lastCallID   uint64
	callInFlight bool
	callIsPut    bool
	callSentAt   clock.Instant
	pendingWrite *pendingWrite
	// readWanted asks for a read as soon as no call is in flight.
	readWanted bool
	retryAt    clock.Instant
	backoff    time.Duration
	// unavailable is set from a failed or slow call until the next success.
	unavailable bool
	// lastSuccessSentAt is when the last successful call was sent.
	lastSuccessSentAt clock.Instant
	lastNonce         uint64
}

// submitWrite starts a write. The caller checks that none is pending.
func (n *Node) submitWrite(kind writeKind, rec *GroupRecord, ifVersion uint64) {
	n.store.lastNonce++
	rec.Writer, rec.Nonce = n.self, n.store.lastNonce
	n.store.pendingWrite = &pendingWrite{kind: kind, record: rec, ifVersion: ifVersion, firstSentAt: n.now}
	n.store.retryAt = 0
}

// tickStore starts the next store call if one is needed, none is in flight and
// the backoff is over.
func (n *Node) tickStore() {
	st := &n.store
	if st.callInFlight {
		n.checkCallDuration()
	}
	if st.callInFlight || (st.pendingWrite == nil && !st.readWanted) {
		return
	}
	if n.now < st.retryAt {
		n.wakeAt(st.retryAt)
		return
	}
	st.lastCallID++
	st.callInFlight, st.callSentAt = true, n.now
	st.callIsPut = st.pendingWrite != nil && !st.pendingWrite.conflictSeen
	if st.callIsPut {
		n.effects = append(n.effects, PutGroupRecord{ID: st.lastCallID, Record: st.pendingWrite.record, IfVersion: st.pendingWrite.ifVersion})
	} else {
		n.effects = append(n.effects, GetGroupRecord{ID: st.lastCallID})
	}
	n.wakeAt(n.now.Add(n.timing.StoreSlowAfter))
}

// checkCallDuration marks the store as unavailable when a call is slow, and
// fails a call that has no result after callLimit.
func (n *Node) checkCallDuration() {
	slowAt, failedAt := n.store.callSentAt.Add(n.timing.StoreSlowAfter), n.store.callSentAt.Add(callLimit)
	if n.now >= slowAt {
		n.store.unavailable = true
	}
	if n.now >= failedAt {
		n.callFailed()
		return
	}
	n.wakeAt(slowAt)
	n.wakeAt(failedAt)
}

// callFailed schedules the next attempt. The backoff stays short when the
// coordinator is about to lose its authority.
func (n *Node) callFailed() {
	st := &n.store
	st.callInFlight, st.unavailable = false, true
	st.backoff = min(max(2*st.backoff, minBackoff), maxBackoff)
	if n.coordinator != nil && n.authorityEnd() < n.now.Add(n.timing.PromiseDuration) {
		st.backoff = minBackoff
	}
	st.retryAt = n.now.Add(st.backoff)
}

func (n *Node) callSucceeded() {
	st := &n.store
	st.callInFlight, st.unavailable, st.backoff, st.retryAt = false, false, 0, 0
	st.lastSuccessSentAt = max(st.lastSuccessSentAt, st.callSentAt)
}

// onRead handles the result of a read or a watch. Only the result of the read
// in flight changes the state of the calls.
func (n *Node) onRead(r ReadResult) {
	isOwnRead := r.ID != 0 && r.ID == n.store.lastCallID && n.store.callInFlight && !n.store.callIsPut
	if isOwnRead {
		n.store.readWanted = false
		if r.Status == ReadUnavailable {
			n.store.readWanted = true
			n.callFailed()
			return
		}
		n.callSucceeded()
	}
	switch r.Status {
	case ReadFound:
		n.learnRecord(r.Record, r.Version)
	case ReadMissing:
		if isOwnRead && n.record == nil && n.store.pendingWrite == nil {
			n.createGroup()
		}
	}
	if p := n.store.pendingWrite; isOwnRead && p != nil && p.conflictSeen {
		// The read was stale: it returned no newer version.
		n.store.retryAt = n.now.Add(minBackoff)
	}
}

// onPut handles the result of the write in flight.
func (n *Node) onPut(r PutResult) {
	st := &n.store
	if r.ID != st.lastCallID || !st.callInFlight || !st.callIsPut {
		return
	}
	sentAt, p := st.callSentAt, st.pendingWrite
	if r.Status == PutOutcomeUnknown || r.Status == PutNotApplied {
		n.callFailed()
	} else {
		n.callSucceeded()
	}
	if p == nil {
		return // settled meanwhile by a newer version of the record
	}
	switch r.Status {
	case PutOK:
		st.pendingWrite = nil
		n.record, n.version, n.recordSeenAt = p.record, r.Version, n.now
		n.onOwnWriteStored(p, r.Version, sentAt)
	case PutConflict:
		p.conflictSeen = true
	case PutNotApplied:
		if p.firstSentAt == sentAt {
			st.pendingWrite = nil
			n.onWriteNotCurrent(p)
		}
	}
}

// onOwnWriteStored handles a write of this run that is known to be stored.
// sentAt is when the attempt was sent.
func (n *Node) onOwnWriteStored(p *pendingWrite, version uint64, sentAt clock.Instant) {
	switch p.kind {
	case writeCreate, writeTakeover:
		if p.record.Term > n.term {
			n.becomeCoordinator(p, sentAt)
		}
	case writeUpdate:
		if n.coordinator != nil && n.coordinator.term == p.record.Term {
			n.onUpdateConfirmed(p, version, sentAt)
		}
	}
}

// onWriteNotCurrent handles a write that is known not to be the current record.
func (n *Node) onWriteNotCurrent(p *pendingWrite) {
	if p.kind == writeTakeover {
		// The write may have been in force before another one replaced it.
		n.member.leaseEnd = min(n.member.leaseEnd, p.firstSentAt.Add(n.timing.TermLease))
	}
	if n.coordinator != nil && p.kind == writeUpdate {
		n.coordinator.draftNotWritten(p)
	}
}
