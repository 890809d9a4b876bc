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

// MethodReport is the control method that returns a node's Report.
const MethodReport = "report"

// Report is what a node says of itself.
type Report struct {
	Node     core.NodeID   `json:"node"`
	Revision core.Revision `json:"revision"`
	// LeaseMs is the time left of the lease.
	LeaseMs  int64  `json:"lease_ms"`
	Backend  string `json:"backend"` // state of the backend server
	InFlight int    `json:"in_flight"`
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
func (c *Controller) Members() []core.Member { return c.MembersOf(c.cfg.View().Services()...) }

// MembersOf returns the known nodes of some services.
func (c *Controller) MembersOf(services ...core.Service) []core.Member {
	seen := map[core.NodeID]bool{}
	var out []core.Member
	v := c.cfg.View()
	for _, s := range services {
		for _, span := range v.GroupRanges(s) {
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

// CallAll calls a method on every known node.
func (c *Controller) CallAll(ctx context.Context, method string, payload []byte) []Answer {
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

// reports asks the known nodes for their reports. A node that does not answer
// counts as having no revision.
func (c *Controller) reports(ctx context.Context) map[core.NodeID]Report {
	out := map[core.NodeID]Report{c.cfg.Self.Node: c.report(ctx)}
	for _, a := range c.CallAll(ctx, MethodReport, nil) {
		r := Report{Node: a.Member.Node, Backend: "no answer"}
		if a.Err == nil && json.Unmarshal(a.Payload, &r) != nil {
			r = Report{Node: a.Member.Node, Backend: "no answer"}
		}
		out[a.Member.Node] = r
	}
	return out
}

func revisionsOf(reports map[core.NodeID]Report) map[core.NodeID]core.Revision {
	out := make(map[core.NodeID]core.Revision, len(reports))
	for node, r := range reports {
		out[node] = r.Revision
	}
	return out
}

func (c *Controller) report(ctx context.Context) Report {
	b := c.cfg.BackendStatus(ctx)
	r := Report{Node: c.cfg.Self.Node, Revision: c.cfg.CurrentConfig().Revision, Backend: b.State, InFlight: b.InFlight}
	if s := c.cfg.LeaseSnapshot(); s != nil {
		r.LeaseMs = max(0, s.LeaseEnd.Sub(c.cfg.Clock.Now()).Milliseconds())
	}
	return r
}

// HandleReport answers MethodReport.
func (c *Controller) HandleReport(ctx context.Context, _ []byte) ([]byte, error) {
	return json.Marshal(c.report(ctx))
}

// state describes the fleet for a plan. The requests in flight at this moment
// stand for the peak.
func (c *Controller) state(ctx context.Context) intent.State {
	out := intent.State{}
	reports := c.reports(ctx)
	v := c.cfg.View()
	for _, s := range v.Services() {
		for _, span := range v.GroupRanges(s) {
			if t := v.Table(core.GroupID{Service: s, Number: span.Group}); t != nil {
				out[s] = append(out[s], nodesOf(t)...)
			}
		}
		for i := range out[s] {
			out[s][i].PeakInFlight = float64(reports[out[s][i].Node].InFlight)
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
