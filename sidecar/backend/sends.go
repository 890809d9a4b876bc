package backend

import (
	"context"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/peers"
	"marjoramshore.example/ring"
)

const (
	// admittedPeriod is how long an admitted request is remembered at least. A
	// sender uses an answer only within peers.WithdrawWindow of sending, which
	// leaves room for clocks that run at different rates.
	admittedPeriod = peers.WithdrawWindow * 3 / 2
	// maxWithdrawn bounds the withdrawn requests that are remembered. Connections
	// between nodes seldom fail with requests on them.
	maxWithdrawn = 4096
	// minWithdrawnPeriod is how long a withdrawn request is remembered at least.
	// Until then it may still arrive, when a frozen process runs again.
	minWithdrawnPeriod = 5 * time.Minute
)

// sendRecords remembers which requests of other nodes were admitted to a slot,
// and which of them were withdrawn. Each request is at most one of the two. Only
// one goroutine may use it.
type sendRecords struct {
	// admitted holds the requests since periodStart, earlier those of the period
	// before.
	admitted, earlier map[core.SendID]struct{}
	periodStart       clock.Instant
	withdrawnAt       map[core.SendID]clock.Instant
	withdrawn         []core.SendID // oldest first
}

func newSendRecords() sendRecords {
	return sendRecords{admitted: map[core.SendID]struct{}{}, withdrawnAt: map[core.SendID]clock.Instant{}}
}

// isWithdrawn reports whether the request must not be admitted.
func (s *sendRecords) isWithdrawn(id core.SendID) bool {
	_, ok := s.withdrawnAt[id]
	return ok
}

// admit records that the request may run from now on.
func (s *sendRecords) admit(now clock.Instant, id core.SendID) {
	if now.Sub(s.periodStart) >= admittedPeriod {
		s.earlier, s.admitted, s.periodStart = s.admitted, map[core.SendID]struct{}{}, now
	}
	s.admitted[id] = struct{}{}
}

// withdraw reports whether the request has not run and never will. If it has not
// been admitted, it is withdrawn.
func (s *sendRecords) withdraw(now clock.Instant, id core.SendID) bool {
	if s.isWithdrawn(id) {
		return true
	}
	_, admitted := s.admitted[id]
	_, admittedEarlier := s.earlier[id]
	if admitted || admittedEarlier {
		return false
	}
	if len(s.withdrawn) == maxWithdrawn {
		oldest := s.withdrawn[0]
		if now.Sub(s.withdrawnAt[oldest]) < minWithdrawnPeriod {
			return false
		}
		s.withdrawn = s.withdrawn[1:]
		delete(s.withdrawnAt, oldest)
	}
	s.withdrawn = append(s.withdrawn, id)
	s.withdrawnAt[id] = now
	return true
}

// withdrawal asks whether a request of another node has not run and never will.
type withdrawal struct {
	id    core.SendID
	reply ring.Reply[bool]
}

func (m withdrawal) apply(st *state) { m.reply.Send(st.sends.withdraw(st.now(), m.id)) }

// Withdraw reports whether a request that another node sent has not been passed
// to the backend server and never will be.
func (p *Proxy) Withdraw(ctx context.Context, id core.SendID) bool {
	if id.IsZero() {
		return false
	}
	reply := ring.NewReply[bool]()
	if p.events.Push(ctx, withdrawal{id, reply}) != nil {
		return false
	}
	notRun, ok := reply.Wait(ctx)
	return ok && notRun
}
