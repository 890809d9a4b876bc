package keys

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/peers"
	"marjoramshore.example/ring"
	"marjoramshore.example/shards"
)

// message is one input of the controller's event loop.
type message interface{ apply(*state) }

// recordUpdate is a record that was read from the store, or that another node
// passed on; then sentAt is 0.
type recordUpdate struct {
	record   shards.Assignment
	revision uint64
	sentAt   clock.Instant
}

// reportRequest asks for the grant that answers a backend server's report.
type reportRequest struct {
	report shards.BackendReport
	reply  ring.Reply[shards.Grant]
}

// startNotice, endNotice, silenceNotice and leaveNotice pass on changes of a run of
// the backend server.
type startNotice struct {
	holder shards.Holder
	slots  int
}

type endNotice struct{ holder shards.Holder }

type silenceNotice struct{ holder shards.Holder }

type leaveNotice struct{ holder shards.Holder }

type unreachableNotice struct{ holder shards.Holder }

// leaseRequest is a member's request to this node as coordinator.
type leaseRequest struct {
	request shards.LeaseRequest
	reply   ring.Reply[shards.LeaseAnswer]
}

// stepDownRequest asks this node to issue no more leases of terms before term.
type stepDownRequest struct {
	term  uint64
	reply ring.Reply[bool]
}

// leaseResult is the outcome of this member's own request to the coordinator.
type leaseResult struct {
	sentAt  clock.Instant
	request shards.LeaseRequest
	answer  shards.LeaseAnswer
	err     error
}

// modeChange selects the way of granting keys.
type modeChange struct{ byCall bool }

// callOutcome is the outcome of a call to the backend server.
type callOutcome struct {
	call   shards.Call
	result shards.CallResult
}

// writeResult is the outcome of a write of the record.
type writeResult struct {
	sentAt   clock.Instant
	record   shards.Assignment
	revision uint64
	// takeover is set for the write that makes this node the coordinator.
	takeover *takeover
	err      error
}

// readResult is the outcome of a read of the record, in the era of the store that is
// known after it.
type readResult struct {
	sentAt   clock.Instant
	record   shards.Assignment
	revision uint64
	era      core.Era
	err      error
}

// state is the controller's state. Only the goroutine of Run may use it.
type state struct {
	*Controller
	ctx          context.Context
	member       *shards.Member // nil on nodes of other services
	coord        *shards.Coordinator
	candidate    shards.Candidate
	view         CoordinatorView
	hasView      bool // view has been set
	record       *shards.Assignment
	revision     uint64
	recordAbsent bool // the store has no record of the era absentEra
	absentEra    core.Era
	// startEra is the era of the store in which this process first looked for the
	// record.
	startEra core.Era
	started  bool

	// reportInterval grows with the number of members.
	reportInterval time.Duration

	reporting  bool
	lastReport clock.Instant
	writing    bool
	reading    bool
	lastRead   clock.Instant
	// minTerm is the earliest term in which this node may still issue leases.
	// It has promised the coordinator of that term to issue none of earlier
	// ones.
	minTerm uint64
	// withheld is what this node, as coordinator, withheld from the run beside each node
	// at its last request.
	withheld map[core.NodeID]shards.Withheld
	// leaseRun is the run for which the last lease was requested.
	leaseRun      shards.Holder
	leaseRunKnown bool
	// leaseLost is set while the member has no lease, so that each change is
	// logged once.
	leaseLost bool
}

// Run runs the controller's event loop until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	s := &state{Controller: c, ctx: ctx, leaseLost: true, reportInterval: minReportInterval, withheld: make(map[core.NodeID]shards.Withheld)}
	s.coord = shards.NewCoordinator(shards.DefaultTiming(), c.cfg.Node, c.cfg.Incarnation)
	if c.cfg.IsMember {
		s.member = shards.NewMember(c.cfg.Service, c.cfg.Node, c.cfg.Incarnation, c.cfg.MaxHold)
	}
	ring.Consume(ctx, c.messages, tickInterval, func(m message) { m.apply(s) }, s.tick)
}

func (s *state) now() clock.Instant { return s.cfg.Clock.Now() }

// log returns a log entry with the given fields and those that identify the
// service and its record.
func (s *state) log(fields log.Fields) log.Interface {
	fields["service"] = s.cfg.Service
	fields["revision"] = s.revision
	if s.record != nil {
		fields["term"] = s.record.Term
	}
	return s.cfg.Log.WithFields(fields)
}

func (m recordUpdate) apply(s *state) { s.observeRecord(m.record, m.revision, m.sentAt) }

// observeRecord takes in a record. sentAt is when the read was sent, or 0 if the
// record came another way and confirms no authority.
func (s *state) observeRecord(a shards.Assignment, revision uint64, sentAt clock.Instant) {
	wasActive := s.coord.Active()
	if sentAt != 0 || revision > s.revision {
		s.coord.ObserveRecord(sentAt, a, revision)
	}
	if wasActive && !s.coord.Active() {
		s.log(log.Fields{"coordinator": a.Coordinator, "new_term": a.Term}).Info("this node was replaced as coordinator of the service's keys")
	}
	if revision <= s.revision {
		return
	}
	if s.record != nil && s.record.Coordinator != a.Coordinator {
		s.lastReport = 0 // report to the new coordinator at once
	}
	s.record, s.revision, s.recordAbsent = &a, revision, false
	s.table.Store(newTable(a, revision, s.table.Load()))
	s.reportInterval = min(max(minReportInterval, time.Duration(a.CountHolders())*reportIntervalPerMember), maxReportInterval)
	s.publishStatus()
}

func (m CoordinatorView) apply(s *state) {
	s.view, s.hasView = m, true
	if m.Stopping && s.coord.Active() && !s.coord.Stopping() {
		s.coord.MarkStopping()
	}
}

func (m reportRequest) apply(s *state) {
	if s.member == nil {
		m.reply.Send(shards.Grant{})
		return
	}
	former := s.member.Holder()
	grant := s.member.HandleReport(s.now(), m.report)
	m.reply.Send(grant)
	s.deliver()
	if s.member.HasReleases() || s.member.Holder() != former {
		s.lastReport = 0 // a new run has no lease yet
	}
}

func (m startNotice) apply(s *state) {
	if s.member != nil {
		s.member.AddRun(m.holder, m.slots)
		s.lastReport = 0
	}
}

func (m endNotice) apply(s *state) {
	if s.member != nil {
		s.member.EndRun(m.holder)
		s.deliver()
		s.lastReport = 0
	}
}

func (m silenceNotice) apply(s *state) {
	if s.member != nil && s.member.Holder() == m.holder {
		s.member.MarkSilent()
	}
}

func (m unreachableNotice) apply(s *state) {
	if s.member != nil {
		s.member.MarkUnreachable(m.holder)
		s.lastReport = 0
	}
}

func (m leaveNotice) apply(s *state) {
	if s.member != nil {
		s.member.MarkLeaving(m.holder)
	}
}

func (m leaseRequest) apply(s *state) { m.reply.Send(s.answerMember(s.now(), m.request)) }

// answerMember answers a member's request as coordinator.
func (s *state) answerMember(now clock.Instant, r shards.LeaseRequest) shards.LeaseAnswer {
	a := s.coord.HandleRequest(now, r)
	if a.Coordinator {
		s.noteWithheld(r.Holder)
	}
	return a
}

// noteWithheld logs and counts a change of what is withheld from the run of a member.
func (s *state) noteWithheld(h shards.Holder) {
	w := s.coord.WithheldFrom(h)
	if w == s.withheld[h.Node] {
		return
	}
	s.withheld[h.Node] = w
	s.cfg.OnWithhold(w)
	s.log(log.Fields{"node": h.Node, "instance": h.Instance, "lease": w.Lease, "keys": w.Keys}).
		Info("what the coordinator withholds from a run changed: a write that gives its keys away has no known result; keys=0 lease=false is nothing")
}

func (m stepDownRequest) apply(s *state) {
	s.minTerm = max(s.minTerm, m.term)
	if s.coord.Active() {
		if r, _ := s.coord.Record(); r.Term >= m.term {
			m.reply.Send(false)
			return
		}
		s.coord.StepDown()
		s.log(log.Fields{"new_term": m.term}).Info("this node stepped down as coordinator of the service's keys: a newer term has begun")
	}
	m.reply.Send(true)
	s.lastReport = 0
}

func (m leaseResult) apply(s *state) {
	s.reporting = false
	if m.err != nil {
		entry := s.log(log.Fields{"error": m.err})
		var other *peers.OtherCallError
		if errors.As(m.err, &other) {
			entry.Warn("answer of the coordinator belongs to another call; no lease is taken from it")
		} else {
			entry.Debug("lease request to the coordinator failed")
		}
		return
	}
	s.handleAnswer(m.sentAt, m.request, m.answer)
}

func (s *state) handleAnswer(sentAt clock.Instant, r shards.LeaseRequest, a shards.LeaseAnswer) {
	current := s.member.HandleAnswer(sentAt, r, a)
	s.logLeaseRun(r, a)
	s.deliver()
	if a.WantsClaim {
		s.log(log.Fields{"new_term": a.Term, "holder": s.member.Holder().Instance, "lease_ms": s.member.LeaseEnd().Sub(s.now()).Milliseconds()}).
			Info("coordinator of a new era of the store asks which rows this member holds")
		s.lastReport = 0
	}
	if !current && a.Term > s.recordTerm() {
		s.lastRead = 0 // the record has changed
		s.readRecord()
	}
}

// logLeaseRun logs the first lease that a coordinator gives for another run than the one
// before it.
func (s *state) logLeaseRun(r shards.LeaseRequest, a shards.LeaseAnswer) {
	if a.Lease == 0 || r.Holder == s.leaseRun && s.leaseRunKnown {
		return
	}
	s.leaseRun, s.leaseRunKnown = r.Holder, true
	s.log(log.Fields{"requested_for": r.Holder.Instance, "holder": s.member.Holder().Instance, "rows": len(a.Rows)}).
		Info("first lease on the service's keys for a run of the backend server")
}

func (s *state) recordTerm() uint64 {
	if s.record == nil {
		return 0
	}
	return s.record.Term
}

func (s *state) tick() {
	now := s.now()
	if s.member != nil {
		if s.member.ReleaseSilentRun(now) {
			s.lastReport = 0
		}
		s.deliver()
		s.logLeaseChange(now)
		s.sendReport(now)
	}
	s.endEra()
	if s.coord.Active() {
		s.planAssignment(now)
	} else {
		s.considerTakeover(now)
	}
	s.publishStatus()
}

// endEra ends the coordination of a service once the store has gone back: what this
// node knows of the record may be lost there.
func (s *state) endEra() {
	era := s.cfg.Records.Era()
	if !s.started {
		s.started, s.startEra = true, era
	}
	if !s.eraEnded() {
		return
	}
	if s.coord.Active() {
		s.coord.StepDown()
		s.log(log.Fields{"era": era}).Warn("the platform's store has gone back to an earlier copy; the key assignment of the service is written again from what the nodes hold")
	}
	s.recordAbsent = s.recordAbsent && s.absentEra == era
}

// eraEnded reports whether the record that the node knows is of an era of the store
// that has ended.
func (s *state) eraEnded() bool {
	return s.record != nil && shards.EraOfTerm(s.record.Term) < s.cfg.Records.Era()
}

// logLeaseChange logs when the lease is lost or obtained.
func (s *state) logLeaseChange(now clock.Instant) {
	lost := !now.Before(s.member.LeaseEnd())
	if lost == s.leaseLost {
		return
	}
	s.leaseLost = lost
	entry := s.log(log.Fields{"coordinator": s.recordCoordinator(), "holder": s.member.Holder().Instance})
	if lost {
		entry.Warn("lease on the service's keys lost: keys are no longer granted to the backend server")
	} else {
		entry.Info("lease on the service's keys obtained from the coordinator")
	}
}

func (s *state) recordCoordinator() string {
	if s.record == nil {
		return ""
	}
	return string(s.record.Coordinator)
}

// planAssignment writes the next assignment, as coordinator, if one is due.
func (s *state) planAssignment(now clock.Instant) {
	if s.writing {
		return
	}
	if s.coord.NeedsConfirmation(now) {
		s.readRecord()
	}
	next, ok := s.coord.Plan(now)
	if !ok {
		return
	}
	_, revision := s.coord.Record()
	s.log(log.Fields{
		"demand": s.coord.DemandSummary(), "rows": len(next.Rows), "fence": next.NextFence, "members": len(s.coord.LiveMembers(now)), "settled": next.EarlierLeasesEnded,
	}).Info("key assignment planned by this node as coordinator, to be written to the store")
	for _, r := range s.coord.Reclaims() {
		s.cfg.OnReclaim(r)
		s.log(log.Fields{"node": r.Holder.Node, "instance": r.Holder.Instance, "reason": r.Reason.String(), "keys": r.Keys, "lease_left_ms": r.LeaseLeft.Milliseconds()}).
			Info("keys taken from a run of a backend server in the planned assignment")
	}
	s.writeRecord(next, revision, nil)
}

// considerTakeover starts a takeover if the coordinator has failed or ended.
func (s *state) considerTakeover(now clock.Instant) {
	if !s.hasView || s.writing || s.view.Stopping {
		return
	}
	ended := s.eraEnded()
	if (s.record == nil || ended) && !s.recordAbsent {
		s.readRecord()
		return
	}
	input := s.view.ElectionInput
	input.RecordExists = s.record != nil
	switch {
	case ended:
		input.EraEnded, input.WasCoordinator = true, s.record.Incarnation == s.cfg.Incarnation
	case s.record == nil:
	case s.record.Incarnation == s.cfg.Incarnation:
		input.CoordinatorEnded = true // this node has stepped down
	case s.view.Coordinator != s.record.Coordinator || s.view.Incarnation != s.record.Incarnation:
		return // the view is of an earlier coordinator
	}
	if !s.candidate.ShouldTakeOver(now, input) {
		return
	}
	s.candidate.RestartWait(now)
	s.takeOver()
}

// publishStatus makes the status visible to other goroutines.
func (s *state) publishStatus() {
	now := s.now()
	status := &Status{Revision: s.revision, IsCoordinator: s.coord.Active()}
	if s.record != nil {
		status.Coordinator, status.Incarnation = s.record.Coordinator, s.record.Incarnation
	}
	if status.IsCoordinator {
		status.UnconfirmedFor = s.coord.UnconfirmedFor(now)
	}
	if s.member != nil {
		status.LeaseLeft = max(0, s.member.LeaseEnd().Sub(now))
	}
	s.status.Store(status)
}

func (s *state) publishRows() {
	s.usable.Store(&UsableRows{Holder: s.member.Holder(), Rows: s.member.UsableRows()})
}

// intervalElapsed reports whether interval has passed since last. It is true if
// last is 0, which means never, or at once.
func (s *state) intervalElapsed(now, last clock.Instant, interval time.Duration) bool {
	return last == 0 || now.Sub(last) >= interval
}
