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

// MethodReport is the control method that returns a node's NodeReport.
const MethodReport = "report"

// NodeReport is the answer of a node to MethodReport.
type NodeReport struct {
	Node     core.NodeID   `json:"node"`
	Revision core.Revision `json:"revision"`
	// LeaseMs is the time left of the lease; 0 without one.
	LeaseMs  int64  `json:"lease_ms"`
	Backend  string `json:"backend"` // state of the backend server
	InFlight int    `json:"in_flight"`
}

// maxConcurrentCalls bounds the concurrent calls of one CallAll.
const maxConcurrentCalls = 32

// CallResult is the answer of one node to CallAll, or the error of the call.
type CallResult struct {
	Member  core.Member
	Payload []byte
	Err     error
}

// Members returns the nodes of all services that this node knows.
func (c *Controller) Members() []core.Member { return c.MembersOf(c.cfg.View().Services()...) }

// MembersOf returns the nodes of the given services that this node knows, each
// once.
func (c *Controller) MembersOf(services ...core.Service) []core.Member {
	seen := map[core.NodeID]bool{}
	var members []core.Member
	view := c.cfg.View()
	for _, s := range services {
		for _, span := range view.GroupRanges(s) {
			t := view.Table(core.GroupID{Service: s, Number: span.Group})
			if t == nil {
				continue
			}
			for _, m := range t.Members {
				if !seen[m.Node] {
					seen[m.Node] = true
					members = append(members, m)
				}
			}
		}
	}
	return members
}

// CallAll calls a method on every known node and waits for all answers. It
// returns nil when the calls could not be started.
func (c *Controller) CallAll(ctx context.Context, method string, payload []byte) []CallResult {
	members := c.Members()
	results := make([]CallResult, len(members))
	pool, err := ants.NewPool(maxConcurrentCalls, ants.WithDisablePurge(true))
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
			results[i] = CallResult{Member: m, Payload: b, Err: err}
		})
		if err != nil {
			results[i] = CallResult{Member: m, Err: core.Wrap(core.CodeOverloaded, err, "call to the node could not be started")}
			calls.Done()
		}
	}
	calls.Wait()
	return results
}

// collectReports asks all known nodes for their reports. The report of a node
// that does not answer has revision 0.
func (c *Controller) collectReports(ctx context.Context) map[core.NodeID]NodeReport {
	reports := map[core.NodeID]NodeReport{c.cfg.Self.Node: c.localReport(ctx)}
	for _, result := range c.CallAll(ctx, MethodReport, nil) {
		r := NodeReport{Node: result.Member.Node, Backend: "no answer"}
		if result.Err == nil && json.Unmarshal(result.Payload, &r) != nil {
			r = NodeReport{Node: result.Member.Node, Backend: "no answer"}
		}
		reports[result.Member.Node] = r
	}
	return reports
}

func revisionsByNode(reports map[core.NodeID]NodeReport) map[core.NodeID]core.Revision {
	revisions := make(map[core.NodeID]core.Revision, len(reports))
	for node, r := range reports {
		revisions[node] = r.Revision
	}
	return revisions
}

func (c *Controller) localReport(ctx context.Context) NodeReport {
	backend := c.cfg.BackendStatus(ctx)
	report := NodeReport{Node: c.cfg.Self.Node, Revision: c.cfg.CurrentConfig().Revision, Backend: backend.State, InFlight: backend.InFlight}
	if lease := c.cfg.LeaseSnapshot(); lease != nil {
		report.LeaseMs = max(0, lease.LeaseEnd.Sub(c.cfg.Clock.Now()).Milliseconds())
	}
	return report
}

// HandleReport answers a call of MethodReport.
func (c *Controller) HandleReport(ctx context.Context, _ []byte) ([]byte, error) {
	return json.Marshal(c.localReport(ctx))
}

// fleetState describes the fleet for a plan. It takes the requests in flight at
// this moment as the peak.
func (c *Controller) fleetState(ctx context.Context) intent.FleetState {
	state := intent.FleetState{}
	reports := c.collectReports(ctx)
	view := c.cfg.View()
	for _, s := range view.Services() {
		for _, span := range view.GroupRanges(s) {
			if t := view.Table(core.GroupID{Service: s, Number: span.Group}); t != nil {
				state[s] = append(state[s], nodeStates(t)...)
			}
		}
		for i := range state[s] {
			state[s][i].PeakInFlight = float64(reports[state[s][i].Node].InFlight)
		}
	}
	return state
}

// nodeStates returns the members of t in their order, with the ranges that each
// owns.
func nodeStates(t *core.Table) []intent.NodeState {
	states := make([]intent.NodeState, len(t.Members))
	for i, m := range t.Members {
		states[i] = intent.NodeState{Node: m.Node, DataCentre: m.DataCentre}
	}
	for _, e := range t.Entries {
		if e.Owner != core.NoOwner {
			states[e.Owner].Ranges = append(states[e.Owner].Ranges, e.Range)
		}
	}
	return states
}

// storeErrorKind returns the kind of a *store.Error, or 0 for any other error.
func storeErrorKind(err error) store.Kind {
	var e *store.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}
