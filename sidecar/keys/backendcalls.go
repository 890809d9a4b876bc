package keys

import (
	"context"

	"github.com/apex/log"
	"github.com/panjf2000/ants/v2"

	"marjoramshore.example/shards"
)

// deliver queues the calls to the backend server that are due, and publishes the
// rows that may be used.
func (s *state) deliver() {
	now := s.now()
	for _, c := range s.member.NextCalls(now, s.cfg.MaxCalls) {
		if s.calls.Push(s.ctx, c) != nil {
			s.member.CompleteCall(now, c, shards.CallResult{Outcome: shards.CallNotSent})
		}
	}
	s.publishRows()
}

func (m modeChange) apply(s *state) {
	s.coord.GrantByCall(m.byCall)
	if s.member != nil {
		s.member.GrantByCall(m.byCall)
		s.deliver()
	}
	s.log(log.Fields{"by_call": m.byCall}).Info("way of granting the service's keys set")
}

func (m callOutcome) apply(s *state) {
	now := s.now()
	s.member.CompleteCall(now, m.call, m.result)
	if m.result.Outcome != shards.CallDone {
		s.log(log.Fields{
			"kind": m.call.Kind, "from": m.call.From, "to": m.call.To, "fence": m.call.Fence, "instance": m.call.Holder.Instance,
			"outcome": m.result.Outcome, "disconnected": m.result.Disconnected, "took_ms": now.Sub(m.call.SentAt).Milliseconds(),
		}).Info("call to the backend server about keys not done")
	}
	s.deliver()
	if s.member.HasReleases() {
		s.lastReport = 0
	}
}

// RunCalls makes the queued calls to the backend server, each on a worker of its
// own, until ctx ends. The answer to a release may take as long as the work that
// runs, so that the calls have other workers than the renewal of leases.
func (c *Controller) RunCalls(ctx context.Context) {
	pool, err := ants.NewPool(2*c.cfg.MaxCalls, ants.WithNonblocking(true))
	if err != nil {
		c.cfg.Log.WithError(err).Error("creating the workers for calls to the backend server failed; no keys are granted")
		return
	}
	defer pool.Release()
	for {
		call, ok := c.calls.Next(ctx)
		if !ok {
			return
		}
		err := pool.Submit(func() { c.complete(ctx, call, c.cfg.Caller.Call(ctx, call)) })
		if err != nil {
			c.complete(ctx, call, shards.CallResult{Outcome: shards.CallNotSent})
		}
	}
}

// complete passes the outcome of a call on.
func (c *Controller) complete(ctx context.Context, call shards.Call, result shards.CallResult) {
	for ctx.Err() == nil && !c.push(ctx, callOutcome{call, result}) {
		c.cfg.Log.WithField("service", c.cfg.Service).Warn("outcome of a call to the backend server waits: the service's key controller is behind and its ring is full")
	}
}
