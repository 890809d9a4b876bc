package keys

import (
	"context"

	"github.com/apex/log"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/peers"
	"marjoramshore.example/platform"
	"marjoramshore.example/shards"
)

// submit runs a call on the pool and sends its result to the ring. It reports
// whether a worker was free.
func (s *state) submit(call func(context.Context) message) bool {
	ctx := s.ctx
	err := s.cfg.Pool.Submit(func() {
		m := call(ctx)
		// There are no more results than calls in progress, so the ring is full
		// only while the event loop is behind.
		for ctx.Err() == nil && !s.push(ctx, m) {
			s.cfg.Log.WithField("service", s.cfg.Service).Warn("result of a call waits: the service's key controller is behind and its ring is full")
		}
	})
	if err != nil {
		s.log(log.Fields{"error": err}).Warn("call to the store or the coordinator not started: no pool worker is free")
		return false
	}
	return true
}

// sendReport sends the member's request to the coordinator when it is due.
func (s *state) sendReport(now clock.Instant) {
	if s.reporting || !s.intervalElapsed(now, s.lastReport, s.reportInterval) || s.record == nil {
		return
	}
	s.lastReport = now
	if s.cfg.Load != nil {
		s.member.SetLoad(s.cfg.Load())
	}
	request := s.member.BuildRequest(now)
	if s.coord.Active() {
		s.handleAnswer(now, request, s.answerMember(now, request))
		return
	}
	if s.view.Address == "" || s.view.Coordinator != s.record.Coordinator || s.record.Coordinator == s.cfg.Node {
		return
	}
	address := s.view.Address
	s.reporting = s.submit(func(ctx context.Context) message {
		a, err := s.cfg.Client.Report(ctx, address, request)
		return leaseResult{now, request, a, err}
	})
}

// readRecord reads the record from the store, unless a read is in progress or
// the last one was less than minReadInterval ago.
func (s *state) readRecord() {
	now := s.now()
	if s.reading || !s.intervalElapsed(now, s.lastRead, minReadInterval) {
		return
	}
	s.lastRead = now
	s.reading = s.submit(func(ctx context.Context) message {
		a, revision, err := s.cfg.Records.Read(ctx, s.cfg.Service)
		return readResult{now, a, revision, s.cfg.Records.Era(), err}
	})
}

func (m readResult) apply(s *state) {
	s.reading = false
	switch platform.FaultOf(m.err) {
	case 0:
		s.observeRecord(m.record, m.revision, m.sentAt)
	case platform.FaultNotFound:
		s.recordAbsent = s.record == nil || s.eraEnded()
		s.absentEra = m.era
	default:
		s.log(log.Fields{"error": m.err}).Warn("reading the key assignment from the store failed")
	}
}

// takeover is what the new coordinator knows of the former one. former and
// earlierLeasesEnded are those of the record before the takeover.
type takeover struct {
	former        core.NodeID
	formerAddress string
	// beginsEra is set if the store has gone back since the fleet first started and
	// lacks a record of the present era.
	beginsEra          bool
	earlierLeasesEnded bool
	formerState        shards.FormerState
}

// lostTakeover is the outcome of a takeover that another node preceded, with
// the record that was read.
type lostTakeover struct{ readResult }

func (m lostTakeover) apply(s *state) {
	s.writing = false
	m.readResult.apply(s)
}

// takeOver reads the record and writes it back with this node as coordinator.
// The read right before makes the write conditional on the present revision.
func (s *state) takeOver() {
	now := s.now()
	var term uint64
	var known shards.Assignment
	t := takeover{}
	if s.record != nil {
		known = *s.record
	}
	if s.record != nil && !s.eraEnded() {
		term, t.formerAddress = s.record.Term, s.view.Address
	}
	startEra := s.startEra
	s.writing = s.submit(func(ctx context.Context) message {
		current, revision, err := s.cfg.Records.Read(ctx, s.cfg.Service)
		if fault := platform.FaultOf(err); fault != 0 && fault != platform.FaultNotFound {
			return writeResult{sentAt: now, err: err, takeover: &t}
		}
		if current.Term != term {
			return lostTakeover{readResult{now, current, revision, s.cfg.Records.Era(), err}}
		}
		if era := s.cfg.Records.Era(); current.Term == 0 && era > 0 {
			t.beginsEra = !s.cfg.FirstStart || era != startEra
			current = shards.BeginEra(era, s.cfg.Service, known, t.beginsEra)
		}
		current.Service = s.cfg.Service
		t.former, t.earlierLeasesEnded = current.Coordinator, current.EarlierLeasesEnded
		next := current.WithCoordinator(s.cfg.Node, s.cfg.Incarnation)
		written, err := s.cfg.Records.Write(ctx, next, revision)
		if err != nil {
			return writeResult{sentAt: now, err: err, takeover: &t}
		}
		t.formerState = s.queryFormer(ctx, t, next.Term)
		return writeResult{sentAt: now, record: next, revision: written, takeover: &t}
	})
}

// queryFormer asks the former coordinator to step down, and returns whether it
// can still issue leases. It runs on the pool.
func (s *state) queryFormer(ctx context.Context, t takeover, term uint64) shards.FormerState {
	if t.beginsEra {
		return shards.FormerUnknown // any node may have been the last coordinator before
	}
	switch t.former {
	case "":
		return shards.FormerNone
	case s.cfg.Node:
		// An earlier process of this node, or this one after it stepped down.
		return shards.FormerEnded
	}
	if t.formerAddress == "" {
		return shards.FormerUnknown
	}
	a, err := s.cfg.Client.StepDown(ctx, t.formerAddress, peers.StepDownRequest{Service: s.cfg.Service, Term: term})
	if err != nil || !a.Done {
		return shards.FormerUnknown
	}
	return shards.FormerEnded
}

// writeRecord writes an assignment on condition that the stored record has the
// given revision. t is nil unless the write is a takeover.
func (s *state) writeRecord(next shards.Assignment, revision uint64, t *takeover) {
	now := s.now()
	s.writing = s.submit(func(ctx context.Context) message {
		written, err := s.cfg.Records.Write(ctx, next, revision)
		return writeResult{now, next, written, t, err}
	})
	if !s.writing {
		s.coord.CompleteWrite(now, s.now(), false, next, 0)
	}
}

func (m writeResult) apply(s *state) {
	s.writing = false
	now := s.now()
	if m.err != nil {
		s.log(log.Fields{"error": m.err, "takeover": m.takeover != nil}).Warn("writing the key assignment to the store failed")
		if m.takeover == nil {
			s.coord.CompleteWrite(m.sentAt, now, false, m.record, 0)
		}
		s.lastRead = 0
		s.readRecord()
		return
	}
	switch {
	case m.takeover != nil && m.record.Term < s.minTerm:
		s.log(log.Fields{"new_term": m.record.Term, "barred": s.minTerm}).Info("takeover abandoned: this node has confirmed a newer term to another coordinator")
	case m.takeover != nil:
		s.coord.TakeOver(m.sentAt, now, m.record, m.revision, m.takeover.formerState, m.takeover.earlierLeasesEnded)
		s.log(log.Fields{
			"former": m.takeover.former, "begins_era": m.takeover.beginsEra, "former_state": m.takeover.formerState, "settled": m.takeover.earlierLeasesEnded, "new_term": m.record.Term,
		}).Info("this node took over as coordinator of the service's keys")
	default:
		s.coord.CompleteWrite(m.sentAt, now, true, m.record, m.revision)
	}
	s.observeRecord(m.record, m.revision, 0)
	s.cfg.OnRecordWritten()
}
