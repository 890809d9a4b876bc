package control

import (
	"context"
	"encoding/json"
	"errors"
	"sync"

	"github.com/panjf2000/ants/v2"

	"marjoramshore.example/core"
	"marjoramshore.example/intent"
	"marjoramshore.example/store"
)

// MethodRevision is the control method that returns a node's Report.
const MethodRevision = "revision"

// Report is what a node says of its configuration.
type Report struct {
	Node     core.NodeID   `json:"node"`
	Revision core.Revision `json:"revision"`
}

// gatherers bounds concurrent calls to other nodes for one report.
const gatherers = 32

// Answer is one node's answer to a gathered call.
type Answer struct {
	Member  core.Member
	Payload []byte
	Err     error
}

// Members returns the nodes of all services that this node knows.
func (c *Control) Members() []core.Member {
	seen := map[core.NodeID]bool{}
	var out []core.Member
	v := c.cfg.View()
	for _, s := range v.Services() {
		for _, span := range v.Spans(s) {
			t := v.Table(core.GroupID{Service: s, Number: span.Group})
			if t == nil {
				continue
			}
			for _, m := range t.Members {
				if !seen[m.Node] {
					seen[m.Node] = true
					out = append(out, m)
				}
			}
		}
	}
	return out
}

// Gather calls a method on every known node.
func (c *Control) Gather(ctx context.Context, method string, payload []byte) []Answer {
	members := c.Members()
	out := make([]Answer, len(members))
	pool, err := ants.NewPool(gatherers, ants.WithDisablePurge(true))
	if err != nil {
		return nil
	}
	defer pool.Release()
	var calls sync.WaitGroup
	for i, m := range members {
		calls.Add(1)
		err := pool.Submit(func() {
			defer calls.Done()
			b, err := c.cfg.Peers.Call(ctx, m.Address, method, payload)
			out[i] = Answer{Member: m, Payload: b, Err: err}
		})
		if err != nil {
			out[i] = Answer{Member: m, Err: core.Wrap(core.CodeOverloaded, err, "gather")}
			calls.Done()
		}
	}
	calls.Wait()
	return out
}

// revisions asks the known nodes for the revision in force. A node that does
// not answer counts as having none.
func (c *Control) revisions(ctx context.Context) map[core.NodeID]core.Revision {
	out := map[core.NodeID]core.Revision{c.cfg.Self.Node: c.cfg.Current().Revision}
	for _, a := range c.Gather(ctx, MethodRevision, nil) {
		var r Report
		if a.Err == nil && json.Unmarshal(a.Payload, &r) == nil {
			out[a.Member.Node] = r.Revision
			continue
		}
		out[a.Member.Node] = 0
	}
	return out
}

// ReportRevision answers MethodRevision.
func (c *Control) ReportRevision(context.Context, []byte) ([]byte, error) {
	return json.Marshal(Report{Node: c.cfg.Self.Node, Revision: c.cfg.Current().Revision})
}

// state describes the fleet for a plan.
func (c *Control) state() intent.State {
	out := intent.State{}
	v := c.cfg.View()
	for _, s := range v.Services() {
		for _, span := range v.Spans(s) {
			if t := v.Table(core.GroupID{Service: s, Number: span.Group}); t != nil {
				out[s] = append(out[s], nodesOf(t)...)
			}
		}
	}
	return out
}

func nodesOf(t *core.Table) []intent.NodeState {
	out := make([]intent.NodeState, len(t.Members))
	for i, m := range t.Members {
		out[i] = intent.NodeState{Node: m.Node, DataCentre: m.DataCentre}
	}
	for _, e := range t.Entries {
		if e.Owner != core.NoOwner {
			out[e.Owner].Ranges = append(out[e.Owner].Ranges, e.Range)
		}
	}
	return out
}

func storeKind(err error) store.Kind {
	var e *store.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}
