package intent

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"marjoramshore.example/core"
)

// NodeState is the state of one node of a service when a plan is computed.
type NodeState struct {
	Node       core.NodeID
	DataCentre core.DataCentre
	Draining   bool
	Ranges     []core.Range
	// PeakInFlight is the recent peak of requests in flight.
	PeakInFlight float64
}

// FleetState holds the nodes of each service when a plan is computed.
type FleetState map[core.Service][]NodeState

// Plan states what a declaration would change. Nothing changes until the plan
// is confirmed.
type Plan struct {
	// ID is a hash of Base and Result. Confirming a plan is idempotent: a
	// confirmation of an ID in the history has no effect.
	ID string `json:"id"`
	// Base is the revision that the plan was computed from.
	Base    core.Revision `json:"base"`
	Changes []Change      `json:"changes"`
	Moves   []Move        `json:"moves"`
	// MoreMoves counts the moves beyond MaxMoves, which are not listed.
	MoreMoves int      `json:"more_moves,omitempty"`
	Effects   []Effect `json:"effects"`
	// Refusals lists the parts of the declaration that the plan leaves out.
	Refusals []Refusal `json:"wont_do"`
	// Result is the declaration that takes effect when the plan is confirmed.
	Result Declaration `json:"result"`
}

// MaxMoves bounds the moves that a plan lists.
const MaxMoves = 1000

// Move is one range that changes its owner or its group.
type Move struct {
	Service core.Service `json:"service"`
	// Lo and Hi are the first and last hash of the range in hexadecimal.
	Lo string `json:"lo"`
	Hi string `json:"hi"`
	// From and To name nodes, or groups as in "group 2".
	From  string `json:"from"`
	To    string `json:"to"`
	Cause string `json:"cause"`
}

// Effect is the effect of a plan on one service.
type Effect struct {
	Service core.Service `json:"service"`
	// Churn is the share of the key space that moves.
	Churn float64 `json:"churn"`
	// KeyUnavailableMs bounds the time in ms for which a moved key is
	// unavailable. It is 0 if no key moves.
	KeyUnavailableMs int `json:"key_unavailable_ms"`
	// PeakBefore and PeakAfter are the peak slot utilisation of the busiest
	// node before and after the moves, as a share of its slots. The load of a
	// range is taken to move with it.
	PeakBefore float64 `json:"peak_before"`
	PeakAfter  float64 `json:"peak_after"`
}

// maxMoveUnavailableMs is the documented bound on the time for which a planned
// move makes a key unavailable.
const maxMoveUnavailableMs = 50

// Refusal is a part of the declaration that a plan leaves out, and why.
type Refusal struct {
	Service core.Service `json:"service"`
	Action  string       `json:"what"`
	Reason  string       `json:"why"`
}

// ComputePlan plans the change from base to want. A part of want that it
// refuses keeps its current value in the result. The error is Faults if want is
// not valid.
func ComputePlan(base Config, want Declaration, fleet FleetState) (Plan, error) {
	if err := want.Validate(); err != nil {
		return Plan{}, err
	}
	p := &planner{base: base.Declaration, fleet: fleet}
	p.plan.Base = base.Revision
	p.plan.Result.Services = slices.Clone(want.Services)
	p.keepServicesWithNodes()
	for i := range p.plan.Result.Services {
		p.planService(&p.plan.Result.Services[i])
	}
	p.plan.Changes = Diff(base.Declaration, p.plan.Result)
	p.plan.ID = planID(p.plan.Base, p.plan.Result)
	return p.plan, nil
}

// planID returns a hash of the base revision and the resulting declaration.
func planID(base core.Revision, result Declaration) string {
	// A Declaration holds only strings, numbers and slices, so this succeeds.
	data, _ := json.Marshal(struct {
		Base   core.Revision
		Result Declaration
	}{base, result})
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:8])
}

// planner computes one plan.
type planner struct {
	base  Declaration
	fleet FleetState
	plan  Plan
}

func (p *planner) refuse(s core.Service, action, reason string) {
	p.plan.Refusals = append(p.plan.Refusals, Refusal{s, action, reason})
}

// keepServicesWithNodes refuses to remove services that still have nodes.
func (p *planner) keepServicesWithNodes() {
	for _, old := range p.base.Services {
		if _, kept := p.plan.Result.Service(old.Name); kept || len(p.fleet[old.Name]) == 0 {
			continue
		}
		p.plan.Result.Services = append(p.plan.Result.Services, old)
		p.refuse(old.Name, "remove the service", "nodes of it still serve; stop them first")
	}
}

// planService replaces the refused values of one service by the current ones
// and adds the moves and the effect of the change to the plan.
func (p *planner) planService(s *Service) {
	nodes := p.fleet[s.Name]
	old, existed := p.base.Service(s.Name)
	if !existed {
		old = *s
		old.Drains = nil
	}
	p.keepRegionInUse(s, old, nodes)
	p.keepSlotsInUse(s, old, nodes)
	p.limitDrains(s, old, nodes)
	proj := newProjection(s, nodes)
	before := proj.peakUse(old.Slots)
	p.emptyDrainingNodes(s, proj)
	p.applyConstraints(s, proj)
	churn := proj.churn + p.regroup(s, old)
	if !existed && len(nodes) == 0 {
		return
	}
	effect := Effect{Service: s.Name, Churn: min(1, churn), PeakBefore: before, PeakAfter: proj.peakUse(s.Slots)}
	if churn > 0 {
		effect.KeyUnavailableMs = maxMoveUnavailableMs
	}
	if churn > 0 || s.Slots != old.Slots {
		p.plan.Effects = append(p.plan.Effects, effect)
	}
}

// keepRegionInUse refuses a change of region while the service has nodes.
func (p *planner) keepRegionInUse(s *Service, old Service, nodes []NodeState) {
	if s.Region != old.Region && len(nodes) > 0 {
		p.refuse(s.Name, "move to region "+string(s.Region), "nodes in "+string(old.Region)+" still serve; declare a second service")
		s.Region = old.Region
	}
}

// keepSlotsInUse refuses fewer slots than a node recently used at peak.
func (p *planner) keepSlotsInUse(s *Service, old Service, nodes []NodeState) {
	for _, n := range nodes {
		if s.Slots < old.Slots && n.PeakInFlight > float64(s.Slots) {
			p.refuse(s.Name, "lower slots to "+formatInt(s.Slots), "node "+string(n.Node)+" had "+formatFloat(n.PeakInFlight)+" requests in flight at peak")
			s.Slots = old.Slots
			s.Connections = max(s.Connections, s.Slots)
			return
		}
	}
}

// limitDrains refuses new drains beyond DrainShare, and drains of unknown nodes.
func (p *planner) limitDrains(s *Service, old Service, nodes []NodeState) {
	maxDraining := max(1, int(s.DrainShare*float64(len(nodes))))
	stopping := 0 // nodes that drain because they shut down
	for _, n := range nodes {
		if n.Draining && !slices.Contains(s.Drains, n.Node) {
			stopping++
		}
	}
	var kept []core.NodeID
	for _, d := range s.Drains {
		known := slices.ContainsFunc(nodes, func(n NodeState) bool { return n.Node == d })
		switch {
		case slices.Contains(old.Drains, d):
			kept = append(kept, d)
		case !known:
			p.refuse(s.Name, "drain "+string(d), "it is not a node of the service")
		case len(kept)+stopping >= maxDraining:
			p.refuse(s.Name, "drain "+string(d), formatInt(maxDraining)+" of "+formatInt(len(nodes))+" nodes may drain at a time")
		default:
			kept = append(kept, d)
		}
	}
	s.Drains = kept
}
