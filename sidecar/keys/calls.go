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

// run executes a call on the pool. The result comes back through the ring.
func (s *state) run(f func(context.Context) message) bool {
	ctx := s.ctx
	err := s.cfg.Pool.Submit(func() {
		m := f(ctx)
		// Results are bounded by the calls under way, so this waits for room
		// only while the duty is behind.
		for ctx.Err() == nil && !s.push(ctx, m) {
			s.cfg.Log.WithField("service", s.cfg.Service).Warn("key duty behind")
		}
	})
	if err != nil {
		s.log(log.Fields{"error": err}).Warn("no worker for a call")
		return false
	}
	return true
}

// ask reports to the coordinator.
func (s *state) ask(now clock.Instant) {
	if s.asking || !s.due(now, s.asked, s.askEvery) || s.record == nil {
		return
	}
	s.asked = now
	request := s.member.BuildRequest()
	if s.coord.Active() {
		s.learn(now, s.coord.HandleRequest(now, request))
		return
	}
	if s.sight.Address == "" || s.sight.Coordinator != s.record.Coordinator || s.record.Coordinator == s.cfg.Node {
		return
	}
	address := s.sight.Address
	s.asking = s.run(func(ctx context.Context) message {
		a, err := s.cfg.Calls.Report(ctx, address, request)
		return answered{now, a, err}
	})
}

// read reads the record.
func (s *state) read() {
	now := s.now()
	if s.reading || !s.due(now, s.readAt, readEvery) {
		return
	}
	s.readAt = now
	s.reading = s.run(func(ctx context.Context) message {
		a, revision, err := s.cfg.Records.Read(ctx, s.cfg.Service)
		return read{now, a, revision, err}
	})
}

func (m read) apply(s *state) {
	s.reading = false
	switch platform.FaultOf(m.err) {
	case 0:
		s.observe(m.record, m.revision, m.sent)
	case platform.FaultNotFound:
		s.absent = s.record == nil
	default:
		s.log(log.Fields{"error": m.err}).Warn("record not read")
	}
}

// takeover is what the new coordinator knows of the one before it.
type takeover struct {
	former  core.NodeID
	address string
	settled bool
	how     shards.FormerState
}

// outrun tells that another node took over first.
type outrun struct{ read }

func (m outrun) apply(s *state) {
	s.writing = false
	m.read.apply(s)
}

// takeOver reads the record and writes it with this node as coordinator, so
// that the write is conditional on a record of this moment.
func (s *state) takeOver() {
	now := s.now()
	var term uint64
	t := takeover{}
	if s.record != nil {
		term, t.address = s.record.Term, s.sight.Address
	}
	s.writing = s.run(func(ctx context.Context) message {
		current, revision, err := s.cfg.Records.Read(ctx, s.cfg.Service)
		if fault := platform.FaultOf(err); fault != 0 && fault != platform.FaultNotFound {
			return wrote{sent: now, err: err, takeover: &t}
		}
		if current.Term != term {
			return outrun{read{now, current, revision, err}}
		}
		current.Service = s.cfg.Service
		t.former, t.settled = current.Coordinator, current.EarlierLeasesEnded
		next := current.WithCoordinator(s.cfg.Node, s.cfg.Incarnation)
		written, err := s.cfg.Records.Write(ctx, next, revision)
		if err != nil {
			return wrote{sent: now, err: err, takeover: &t}
		}
		t.how = s.former(ctx, t, next.Term)
		return wrote{sent: now, record: next, revision: written, takeover: &t}
	})
}

// former finds out whether the former coordinator can still give leases. It
// runs on the pool.
func (s *state) former(ctx context.Context, t takeover, term uint64) shards.FormerState {
	switch t.former {
	case "":
		return shards.FormerNone
	case s.cfg.Node:
		// An earlier process of this node, or this one after it stepped down.
		return shards.FormerEnded
	}
	if t.address == "" {
		return shards.FormerUnknown
	}
	a, err := s.cfg.Calls.StepDown(ctx, t.address, peers.StepDownRequest{Service: s.cfg.Service, Term: term})
	if err != nil || !a.Done {
		return shards.FormerUnknown
	}
	return shards.FormerEnded
}

// write writes an assignment.
func (s *state) write(next shards.Assignment, revision uint64, t *takeover) {
	now := s.now()
	s.writing = s.run(func(ctx context.Context) message {
		written, err := s.cfg.Records.Write(ctx, next, revision)
		return wrote{now, next, written, t, err}
	})
	if !s.writing {
		s.coord.CompleteWrite(now, s.now(), false, next, 0)
	}
}

func (m wrote) apply(s *state) {
	s.writing = false
	now := s.now()
	if m.err != nil {
		s.log(log.Fields{"error": m.err, "takeover": m.takeover != nil}).Warn("record not written")
		if m.takeover == nil {
			s.coord.CompleteWrite(m.sent, now, false, m.record, 0)
		}
		s.readAt = 0
		s.read()
		return
	}
	switch {
	case m.takeover != nil && m.record.Term < s.barred:
		s.log(log.Fields{"new_term": m.record.Term, "barred": s.barred}).Info("takeover outdated")
	case m.takeover != nil:
		s.coord.TakeOver(m.sent, now, m.record, m.revision, m.takeover.how, m.takeover.settled)
		s.log(log.Fields{
			"former": m.takeover.former, "former_state": m.takeover.how, "settled": m.takeover.settled, "new_term": m.record.Term,
		}).Info("took over as coordinator")
	default:
		s.coord.CompleteWrite(m.sent, now, true, m.record, m.revision)
	}
	s.observe(m.record, m.revision, 0)
	s.cfg.Written()
}
