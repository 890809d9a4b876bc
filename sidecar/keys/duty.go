package keys

import (
	"context"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/clock"
	"marjoramshore.example/ring"
	"marjoramshore.example/shards"
)

// message is one input of the duty.
type message interface{ apply(*state) }

type observed struct {
	record   shards.Assignment
	revision uint64
	sent     clock.Instant
}

type reported struct {
	report shards.BackendReport
	reply  ring.Reply[shards.Grant]
}

type introduced struct {
	holder shards.Holder
	slots  int
}

type ended struct{ holder shards.Holder }

type silent struct{ holder shards.Holder }

type served struct {
	request shards.LeaseRequest
	reply   ring.Reply[shards.LeaseAnswer]
}

type stepDown struct {
	term  uint64
	reply ring.Reply[bool]
}

type answered struct {
	sent   clock.Instant
	answer shards.LeaseAnswer
	err    error
}

type wrote struct {
	sent     clock.Instant
	record   shards.Assignment
	revision uint64
	// takeover is set for the write that makes this node the coordinator.
	takeover *takeover
	err      error
}

type read struct {
	sent     clock.Instant
	record   shards.Assignment
	revision uint64
	err      error
}

// state is owned by the goroutine of Run.
type state struct {
	*Duty
	ctx       context.Context
	member    *shards.Member // nil on nodes of other services
	coord     *shards.Coordinator
	candidate shards.Candidate
	sight     Sight
	seen      bool // a sight has arrived
	record    *shards.Assignment
	revision  uint64
	absent    bool // the store has no record

	// askEvery follows the number of members.
	askEvery time.Duration

	asking  bool
	asked   clock.Instant
	writing bool
	reading bool
	readAt  clock.Instant
	granted clock.Instant
	// barred is the newest term for which this node promised to give no more
	// leases of earlier ones.
	barred uint64
	// lostLease is set while the member has no lease, to log each change once.
	lostLease bool
}

// Run runs the duty until ctx ends.
func (d *Duty) Run(ctx context.Context) {
	s := &state{Duty: d, ctx: ctx, lostLease: true, askEvery: askLeast}
	s.coord = shards.NewCoordinator(shards.DefaultTiming(), d.cfg.Node, d.cfg.Incarnation)
	if d.cfg.Member {
		s.member = shards.NewMember(d.cfg.Service, d.cfg.Node, d.cfg.Incarnation, d.cfg.MaxHold)
	}
	ring.Duty(ctx, d.in, tick, func(m message) { m.apply(s) }, s.tick)
}

func (s *state) now() clock.Instant { return s.cfg.Clock.Now() }

func (s *state) log(fields log.Fields) log.Interface {
	fields["service"] = s.cfg.Service
	fields["revision"] = s.revision
	if s.record != nil {
		fields["term"] = s.record.Term
	}
	return s.cfg.Log.WithFields(fields)
}

func (m observed) apply(s *state) { s.observe(m.record, m.revision, m.sent) }

// observe takes over a record.
func (s *state) observe(a shards.Assignment, revision uint64, sent clock.Instant) {
	was := s.coord.Active()
	if sent != 0 || revision > s.revision {
		s.coord.ObserveRecord(sent, a, revision)
	}
	if was && !s.coord.Active() {
		s.log(log.Fields{"coordinator": a.Coordinator, "new_term": a.Term}).Info("replaced as coordinator")
	}
	if revision <= s.revision {
		return
	}
	if s.record != nil && s.record.Coordinator != a.Coordinator {
		s.asked = 0 // report to the new coordinator at once
	}
	s.record, s.revision, s.absent = &a, revision, false
	s.table.Store(&Table{a, revision})
	s.askEvery = min(max(askLeast, time.Duration(a.CountHolders())*askPerMember), askMost)
	s.publish()
}

func (m Sight) apply(s *state) {
	s.sight, s.seen = m, true
	if m.Stopping && s.coord.Active() && !s.coord.Stopping() {
		s.coord.MarkStopping()
	}
}

func (m reported) apply(s *state) {
	if s.member == nil {
		m.reply.Send(shards.Grant{})
		return
	}
	g := s.member.HandleReport(s.now(), m.report)
	s.granted = s.now()
	s.publishUsable()
	m.reply.Send(g)
	if s.member.HasReleases() {
		s.asked = 0
	}
}

func (m introduced) apply(s *state) {
	if s.member != nil {
		s.member.AddRun(m.holder, m.slots)
		s.asked = 0
	}
}

func (m ended) apply(s *state) {
	if s.member != nil {
		s.member.EndRun(m.holder)
		s.publishUsable()
		s.asked = 0
	}
}

func (m silent) apply(s *state) {
	if s.member != nil && s.member.Holder() == m.holder {
		s.member.MarkLeaving()
	}
}

func (m served) apply(s *state) { m.reply.Send(s.coord.HandleRequest(s.now(), m.request)) }

func (m stepDown) apply(s *state) {
	s.barred = max(s.barred, m.term)
	if s.coord.Active() {
		if r, _ := s.coord.Record(); r.Term >= m.term {
			m.reply.Send(false)
			return
		}
		s.coord.StepDown()
		s.log(log.Fields{"new_term": m.term}).Info("stepped down as coordinator")
	}
	m.reply.Send(true)
	s.asked = 0
}

func (m answered) apply(s *state) {
	s.asking = false
	if m.err != nil {
		s.log(log.Fields{"error": m.err}).Debug("report to the coordinator failed")
		return
	}
	s.learn(m.sent, m.answer)
}

func (s *state) learn(sent clock.Instant, a shards.LeaseAnswer) {
	if !s.member.HandleAnswer(sent, a) && a.Term > s.recordTerm() {
		s.readAt = 0 // the record has changed
		s.read()
	}
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
			s.asked = 0
		}
		s.watchLease(now)
		s.ask(now)
	}
	if s.coord.Active() {
		s.lead(now)
	} else {
		s.elect(now)
	}
	s.publish()
}

// watchLease logs the loss and the return of the lease.
func (s *state) watchLease(now clock.Instant) {
	lost := !now.Before(s.member.LeaseEnd())
	if lost == s.lostLease {
		return
	}
	s.lostLease = lost
	f := s.log(log.Fields{"coordinator": s.coordinator(), "holder": s.member.Holder().Instance})
	if lost {
		f.Warn("lease lost: keys are no longer granted")
	} else {
		f.Info("lease gained")
	}
}

func (s *state) coordinator() string {
	if s.record == nil {
		return ""
	}
	return string(s.record.Coordinator)
}

// lead plans the assignment as coordinator.
func (s *state) lead(now clock.Instant) {
	if s.writing {
		return
	}
	if s.coord.NeedsConfirmation(now) {
		s.read()
	}
	next, ok := s.coord.Plan(now)
	if !ok {
		return
	}
	_, revision := s.coord.Record()
	s.log(log.Fields{
		"demand": s.coord.DemandSummary(), "rows": len(next.Rows), "fence": next.NextFence, "members": len(s.coord.LiveMembers(now)), "settled": next.EarlierLeasesEnded,
	}).Info("assignment planned")
	s.write(next, revision, nil)
}

// elect takes over when the coordinator is gone.
func (s *state) elect(now clock.Instant) {
	if !s.seen || s.writing || s.sight.Stopping {
		return
	}
	if s.record == nil && !s.absent {
		s.read()
		return
	}
	sight := s.sight.ElectionInput
	sight.RecordExists = s.record != nil
	switch {
	case s.record == nil:
	case s.record.Incarnation == s.cfg.Incarnation:
		sight.CoordinatorEnded = true // this node gave the coordination up
	case s.sight.Coordinator != s.record.Coordinator || s.sight.Incarnation != s.record.Incarnation:
		return // what was seen is about an earlier coordinator
	}
	if !s.candidate.ShouldTakeOver(now, sight) {
		return
	}
	s.candidate.RestartWait(now)
	s.takeOver()
}

// publish makes the state visible to other duties.
func (s *state) publish() {
	now := s.now()
	st := &Status{Revision: s.revision, Leading: s.coord.Active()}
	if s.record != nil {
		st.Coordinator, st.Incarnation = s.record.Coordinator, s.record.Incarnation
	}
	if st.Leading {
		st.Unconfirmed = s.coord.UnconfirmedFor(now)
	}
	if s.member != nil {
		st.LeaseLeft = max(0, s.member.LeaseEnd().Sub(now))
	}
	s.status.Store(st)
}

func (s *state) publishUsable() {
	rows, until := s.member.UsableRows()
	s.usable.Store(&Usable{Holder: s.member.Holder(), Rows: rows, From: s.granted, Until: until})
}

// due reports whether something done last at an instant is to be done again.
func (s *state) due(now, last clock.Instant, every time.Duration) bool {
	return last == 0 || now.Sub(last) >= every
}
