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

// MethodExplain is the control method by which the owner of a key completes an
// operator.Explanation.
const MethodExplain = "explain"

// maxHistoryEvents bounds the number of events in one answer of History, and
// separately the number of changes in it.
const maxHistoryEvents = 1000

// Status implements operator.Backend.
func (c *Controller) Status(ctx context.Context) (operator.Status, error) {
	conf := c.cfg.CurrentConfig()
	result := operator.Status{
		Node: c.cfg.Self.Node, Service: c.cfg.Service, Region: c.cfg.Region, DataCentre: c.cfg.Self.DataCentre,
		Revision: conf.Revision, Store: c.cfg.StoreStatus(), Backend: c.cfg.BackendStatus(ctx),
		Group: operator.GroupStatus{Number: c.cfg.GroupID().Number},
	}
	reports := c.collectReports(ctx)
	result.WaitingFor = intent.NodesBehind(revisionsByNode(reports), conf.Revision)
	result.InForce = len(result.WaitingFor) == 0
	lease := c.cfg.LeaseSnapshot()
	if lease == nil {
		return result, nil
	}
	result.Group.Term, result.Group.Coordinator = lease.Term, lease.Coordinator.Node
	for _, r := range lease.Successors {
		result.Group.Successors = append(result.Group.Successors, r.Node)
	}
	if svc, ok := conf.Declaration.Service(c.cfg.Service); ok {
		for _, n := range svc.Drains {
			result.Draining = result.Draining || n == c.cfg.Self.Node
		}
	}
	if lease.Table != nil {
		result.Group.Members = c.memberStatuses(lease.Table, reports)
	}
	return result, nil
}

// memberStatuses returns the status of each member of the table. Values that a
// member reports itself are zero if its report is missing.
func (c *Controller) memberStatuses(t *core.Table, reports map[core.NodeID]NodeReport) []operator.MemberStatus {
	statuses := make([]operator.MemberStatus, len(t.Members))
	svc, _ := c.cfg.CurrentConfig().Declaration.Service(c.cfg.Service)
	for i, m := range t.Members {
		r := reports[m.Node]
		statuses[i] = operator.MemberStatus{Node: m.Node, DataCentre: m.DataCentre, Revision: r.Revision, LeaseMs: r.LeaseMs, Backend: r.Backend}
		for _, n := range svc.Drains {
			statuses[i].Draining = statuses[i].Draining || n == m.Node
		}
	}
	for _, e := range t.Entries {
		if e.Owner != core.NoOwner {
			statuses[e.Owner].Ranges++
			statuses[e.Owner].Share += e.Range.Width()
		}
	}
	return statuses
}

// Explain implements operator.Backend. The owner of the key adds its lease,
// fencing token and events.
func (c *Controller) Explain(ctx context.Context, service core.Service, key string) (operator.Explanation, error) {
	hash := core.HashKey(key)
	view := c.cfg.View()
	route, status := view.Lookup(service, hash)
	explanation := operator.Explanation{
		Service: service, Key: key, Hash: formatHash(hash), Group: route.Group.Number, Revision: c.cfg.CurrentConfig().Revision,
	}
	switch status {
	case routing.NoService, routing.NoGroup:
		return explanation, core.Fail(core.CodeNotFound, "service is not declared")
	case routing.NoTable:
		return explanation, core.Fail(core.CodeUnavailable, "ownership table of the key's group is not known to this node yet")
	}
	if e, ok := view.Table(route.Group).Find(hash); ok {
		explanation.Lo, explanation.Hi = formatHash(e.Range.Lo), formatHash(e.Range.Hi)
	}
	explanation.Why = append(explanation.Why, fmt.Sprintf("table version %d.%d of group %d", route.Version.Term, route.Version.Sequence, route.Group.Number))
	if route.Member == nil {
		explanation.Why = append(explanation.Why, "the range has no owner at this moment")
		return explanation, nil
	}
	explanation.Owner, explanation.Address = route.Member.Node, route.Member.Address
	explanation.Token = strconv.FormatUint(route.Token.Term, 10) + "." + strconv.FormatUint(route.Token.Sequence, 10)
	c.askOwner(ctx, *route.Member, &explanation)
	return explanation, nil
}

// askOwner replaces explanation with the one that the owner completed. If the
// owner does not answer, it adds a line that says so.
func (c *Controller) askOwner(ctx context.Context, m core.Member, explanation *operator.Explanation) {
	payload, err := json.Marshal(explanation)
	if err == nil {
		payload, err = c.cfg.Peers.Call(ctx, m.Address, MethodExplain, payload)
	}
	var answer operator.Explanation
	if err == nil {
		err = json.Unmarshal(payload, &answer)
	}
	if err != nil {
		explanation.Why = append(explanation.Why, "the owner does not answer: "+core.CodeOf(err).String())
		return
	}
	*explanation = answer
}

// HandleExplain answers a call of MethodExplain as the owner of the key.
func (c *Controller) HandleExplain(ctx context.Context, payload []byte) ([]byte, error) {
	var explanation operator.Explanation
	if err := json.Unmarshal(payload, &explanation); err != nil {
		return nil, core.Wrap(core.CodeInvalid, err, "request of the explain call is not a valid explanation")
	}
	hash := core.HashKey(explanation.Key)
	if lease := c.cfg.LeaseSnapshot(); lease != nil {
		now := c.cfg.Clock.Now()
		explanation.LeaseMs = max(0, lease.LeaseEnd.Sub(now).Milliseconds())
		token, code := lease.Check(now, hash)
		if code != 0 {
			explanation.Why = append(explanation.Why, "the owner does not serve the key now: "+code.String())
		} else {
			explanation.Token = strconv.FormatUint(token.Term, 10) + "." + strconv.FormatUint(token.Sequence, 10)
			explanation.Why = append(explanation.Why, "served under a lease of term "+strconv.FormatUint(lease.Term, 10)+" from "+string(lease.Coordinator.Node))
		}
	}
	for _, e := range c.cfg.KeyEvents(ctx, hash) {
		explanation.Why = append(explanation.Why, formatEvent(e))
	}
	return json.Marshal(explanation)
}

func formatEvent(event operator.Event) string {
	return fmt.Sprintf("%d %s: %s (term %d, revision %d)", event.AtMs, event.Kind, event.Cause, event.Term, event.Revision)
}

// History implements operator.Backend.
func (c *Controller) History(ctx context.Context, limit int) (operator.History, error) {
	limit = min(limit, maxHistoryEvents)
	history := operator.History{Events: c.cfg.RecentEvents(ctx, limit)}
	changes := c.cfg.CurrentConfig().History
	if len(changes) == 0 && c.cfg.CurrentConfig().Revision > 0 {
		// Only coordinators hold the history; other nodes read it from the store.
		if stored, _, err := c.readConfig(ctx); err == nil {
			changes = stored.History
		}
	}
	for i := len(changes) - 1; i >= 0 && len(history.Changes) < limit; i-- {
		history.Changes = append(history.Changes, changes[i])
	}
	return history, nil
}

// Burn implements operator.Backend.
func (c *Controller) Burn(ctx context.Context, html bool) (operator.BurnReport, error) {
	return c.cfg.BurnReport(ctx, c, html)
}

func formatHash(hash core.Hash) string { return fmt.Sprintf("%016x", uint64(hash)) }
