package control

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"marjoramshore.example/core"
	"marjoramshore.example/intent"
	"marjoramshore.example/operator"
	"marjoramshore.example/routing"
)

// MethodExplain is the control method by which the owner of a key explains it.
const MethodExplain = "explain"

// maxHistory bounds the events of one answer.
const maxHistory = 1000

// Status implements operator.Backend.
func (c *Controller) Status(ctx context.Context) (operator.Status, error) {
	conf := c.cfg.CurrentConfig()
	st := operator.Status{
		Node: c.cfg.Self.Node, Service: c.cfg.Service, Region: c.cfg.Region, DataCentre: c.cfg.Self.DataCentre,
		Revision: conf.Revision, Store: c.cfg.StoreStatus(), Backend: c.cfg.BackendStatus(ctx),
		Group: operator.GroupStatus{Number: c.cfg.GroupID().Number},
	}
	reports := c.reports(ctx)
	st.WaitingFor = intent.Waiting(revisionsOf(reports), conf.Revision)
	st.InForce = len(st.WaitingFor) == 0
	s := c.cfg.LeaseSnapshot()
	if s == nil {
		return st, nil
	}
	st.Group.Term, st.Group.Coordinator = s.Term, s.Coordinator.Node
	for _, r := range s.Successors {
		st.Group.Successors = append(st.Group.Successors, r.Node)
	}
	if svc, ok := conf.Declaration.Service(c.cfg.Service); ok {
		for _, n := range svc.Drains {
			st.Draining = st.Draining || n == c.cfg.Self.Node
		}
	}
	if s.Table != nil {
		st.Group.Members = c.members(s.Table, reports)
	}
	return st, nil
}

func (c *Controller) members(t *core.Table, reports map[core.NodeID]Report) []operator.MemberStatus {
	out := make([]operator.MemberStatus, len(t.Members))
	svc, _ := c.cfg.CurrentConfig().Declaration.Service(c.cfg.Service)
	for i, m := range t.Members {
		r := reports[m.Node]
		out[i] = operator.MemberStatus{Node: m.Node, DataCentre: m.DataCentre, Revision: r.Revision, LeaseMs: r.LeaseMs, Backend: r.Backend}
		for _, n := range svc.Drains {
			out[i].Draining = out[i].Draining || n == m.Node
		}
	}
	for _, e := range t.Entries {
		if e.Owner != core.NoOwner {
			out[e.Owner].Ranges++
			out[e.Owner].Share += e.Range.Width()
		}
	}
	return out
}

// Explain implements operator.Backend. The owner adds what it knows of the key.
func (c *Controller) Explain(ctx context.Context, service core.Service, key string) (operator.Explanation, error) {
	h := core.HashKey(key)
	v := c.cfg.View()
	route, status := v.Lookup(service, h)
	x := operator.Explanation{
		Service: service, Key: key, Hash: hashText(h), Group: route.Group.Number, Revision: c.cfg.CurrentConfig().Revision,
	}
	switch status {
	case routing.NoService, routing.NoGroup:
		return x, core.Fail(core.CodeNotFound, "service is not declared")
	case routing.NoTable:
		return x, core.Fail(core.CodeUnavailable, "the table of the key's group is not known yet")
	}
	if e, ok := v.Table(route.Group).Find(h); ok {
		x.Lo, x.Hi = hashText(e.Range.Lo), hashText(e.Range.Hi)
	}
	x.Why = append(x.Why, fmt.Sprintf("table version %d.%d of group %d", route.Version.Term, route.Version.Sequence, route.Group.Number))
	if route.Member == nil {
		x.Why = append(x.Why, "the range has no owner at this moment")
		return x, nil
	}
	x.Owner, x.Address = route.Member.Node, route.Member.Address
	x.Token = strconv.FormatUint(route.Token.Term, 10) + "." + strconv.FormatUint(route.Token.Sequence, 10)
	c.askOwner(ctx, *route.Member, &x)
	return x, nil
}

func (c *Controller) askOwner(ctx context.Context, m core.Member, x *operator.Explanation) {
	payload, err := json.Marshal(x)
	if err == nil {
		payload, err = c.cfg.Peers.Call(ctx, m.Address, MethodExplain, payload)
	}
	var full operator.Explanation
	if err == nil {
		err = json.Unmarshal(payload, &full)
	}
	if err != nil {
		x.Why = append(x.Why, "the owner does not answer: "+core.CodeOf(err).String())
		return
	}
	*x = full
}

// HandleExplain answers MethodExplain on the owner.
func (c *Controller) HandleExplain(ctx context.Context, payload []byte) ([]byte, error) {
	var x operator.Explanation
	if err := json.Unmarshal(payload, &x); err != nil {
		return nil, core.Wrap(core.CodeInvalid, err, "explain")
	}
	h := core.HashKey(x.Key)
	if s := c.cfg.LeaseSnapshot(); s != nil {
		now := c.cfg.Clock.Now()
		x.LeaseMs = max(0, s.LeaseEnd.Sub(now).Milliseconds())
		token, code := s.Check(now, h)
		if code != 0 {
			x.Why = append(x.Why, "the owner does not serve the key now: "+code.String())
		} else {
			x.Token = strconv.FormatUint(token.Term, 10) + "." + strconv.FormatUint(token.Sequence, 10)
			x.Why = append(x.Why, "served under a lease of term "+strconv.FormatUint(s.Term, 10)+" from "+string(s.Coordinator.Node))
		}
	}
	for _, e := range c.cfg.KeyEvents(ctx, h) {
		x.Why = append(x.Why, describe(e))
	}
	return json.Marshal(x)
}

func describe(e operator.Event) string {
	return fmt.Sprintf("%d %s: %s (term %d, revision %d)", e.AtMs, e.Kind, e.Cause, e.Term, e.Revision)
}

// History implements operator.Backend.
func (c *Controller) History(ctx context.Context, limit int) (operator.History, error) {
	limit = min(limit, maxHistory)
	out := operator.History{Events: c.cfg.RecentEvents(ctx, limit)}
	changes := c.cfg.CurrentConfig().History
	if len(changes) == 0 && c.cfg.CurrentConfig().Revision > 0 {
		// Only coordinators hold the history; the store has it for all.
		if stored, _, err := c.read(ctx); err == nil {
			changes = stored.History
		}
	}
	for i := len(changes) - 1; i >= 0 && len(out.Changes) < limit; i-- {
		out.Changes = append(out.Changes, changes[i])
	}
	return out, nil
}

// Burn implements operator.Backend.
func (c *Controller) Burn(ctx context.Context, html bool) (operator.BurnReport, error) {
	return c.cfg.BurnReport(ctx, c, html)
}

func hashText(h core.Hash) string { return fmt.Sprintf("%016x", uint64(h)) }
