package intent

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"marjoramshore.example/core"
)

// NodeState is what is known of one node when a plan is made.
type NodeState struct {
	Node       core.NodeID
	DataCentre core.DataCentre
	Draining   bool
	Ranges     []core.Range
	// PeakInFlight is the largest number of requests that ran at once lately.
	PeakInFlight float64
}

// FleetState is the fleet when a plan is made.
type FleetState map[core.Service][]NodeState

// Plan says what a declaration would do. Nothing changes until it is confirmed.
type Plan struct {
	// ID identifies the base and the result; confirming it twice does no harm.
	ID string `json:"id"`
	// Base is the revision that the plan was made from.
	Base    core.Revision `json:"base"`
	Changes []Change      `json:"changes"`
	Moves   []Move        `json:"moves"`
	// MoreMoves counts moves beyond MaxMoves.
	MoreMoves int      `json:"more_moves,omitempty"`
	Effects   []Effect `json:"effects"`
	// Refusals lists what was asked for and will not be done.
	Refusals []Refusal `json:"wont_do"`
	// Result is the declaration that a confirmation puts in force.
	Result Declaration `json:"result"`
}

// MaxMoves bounds the moves that a plan lists.
const MaxMoves = 1000

// Move is one range that changes its owner or its group.
type Move struct {
	Service core.Service `json:"service"`
	Lo      string       `json:"lo"` // hexadecimal
	Hi      string       `json:"hi"`
	From    string       `json:"from"`
	To      string       `json:"to"`
	Cause   string       `json:"cause"`
}

// Effect is what a plan does to one service.
type Effect struct {
	Service core.Service `json:"service"`
	// Churn is the share of the key space that moves.
	Churn float64 `json:"churn"`
	// KeyUnavailableMs bounds the unavailable time of a key that moves.
	KeyUnavailableMs int `json:"key_unavailable_ms"`
	// PeakBefore and PeakAfter are the greatest use of a node's slots at peak,
	// as a share, when load follows the moved ranges.
	PeakBefore float64 `json:"peak_before"`
	PeakAfter  float64 `json:"peak_after"`
}

// moveUnavailableMs is the stated bound for a planned move of a range.
const moveUnavailableMs = 50

// Refusal is something asked for that the plan will not do.
type Refusal struct {
	Service core.Service `json:"service"`
	Action  string       `json:"what"`
	Reason  string       `json:"why"`
}

// ComputePlan plans the change from base to want. A part of want that it refuses keeps
// its present value in the result. The error is Faults when want is not valid.
func ComputePlan(base Config, want Declaration, state FleetState) (Plan, error) {
	if err := want.Validate(); err != nil {
		return Plan{}, err
	}
	p := &planner{base: base.Declaration, state: state}
	p.plan.Base = base.Revision
	p.plan.Result.Services = slices.Clone(want.Services)
	p.keepRemoved()
	for i := range p.plan.Result.Services {
		p.service(&p.plan.Result.Services[i])
	}
	p.plan.Changes = Diff(base.Declaration, p.plan.Result)
	p.plan.ID = planID(p.plan.Base, p.plan.Result)
	return p.plan, nil
}

func planID(base core.Revision, result Declaration) string {
	// A Declaration holds only texts, numbers and slices, so this succeeds.
	data, _ := json.Marshal(struct {
		Base   core.Revision
		Result Declaration
	}{base, result})
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:8])
}

type planner struct {
	base  Declaration
	state FleetState
	plan  Plan
}

func (p *planner) refuse(s core.Service, what, why string) {
	p.plan.Refusals = append(p.plan.Refusals, Refusal{s, what, why})
}

// keepRemoved keeps services that still have nodes.
func (p *planner) keepRemoved() {
	for _, old := range p.base.Services {
		if _, kept := p.plan.Result.Service(old.Name); kept || len(p.state[old.Name]) == 0 {
			continue
		}
		p.plan.Result.Services = append(p.plan.Result.Services, old)
		p.refuse(old.Name, "remove the service", "nodes of it still serve; stop them first")
	}
}

// service settles one service and works out what the change does to it.
func (p *planner) service(s *Service) {
	nodes := p.state[s.Name]
	old, existed := p.base.Service(s.Name)
	if !existed {
		old = *s
		old.Drains = nil
	}
	p.keepRegion(s, old, nodes)
	p.keepSlots(s, old, nodes)
	p.limitDrains(s, old, nodes)
	f := newFleet(s, nodes)
	before := f.peak(old.Slots)
	p.moveDrained(s, f)
	p.moveConstrained(s, f)
	churn := f.churn + p.regroup(s, old)
	if !existed && len(nodes) == 0 {
		return
	}
	e := Effect{Service: s.Name, Churn: min(1, churn), PeakBefore: before, PeakAfter: f.peak(s.Slots)}
	if churn > 0 {
		e.KeyUnavailableMs = moveUnavailableMs
	}
	if churn > 0 || s.Slots != old.Slots {
		p.plan.Effects = append(p.plan.Effects, e)
	}
}

func (p *planner) keepRegion(s *Service, old Service, nodes []NodeState) {
	if s.Region != old.Region && len(nodes) > 0 {
		p.refuse(s.Name, "move to region "+string(s.Region), "nodes in "+string(old.Region)+" still serve; declare a second service")
		s.Region = old.Region
	}
}

func (p *planner) keepSlots(s *Service, old Service, nodes []NodeState) {
	for _, n := range nodes {
		if s.Slots < old.Slots && n.PeakInFlight > float64(s.Slots) {
			p.refuse(s.Name, "lower slots to "+itoa(s.Slots), "node "+string(n.Node)+" had "+ftoa(n.PeakInFlight)+" requests in flight at peak")
			s.Slots = old.Slots
			s.Connections = max(s.Connections, s.Slots)
			return
		}
	}
}

// limitDrains drops new drains beyond the share, and drains of unknown nodes.
func (p *planner) limitDrains(s *Service, old Service, nodes []NodeState) {
	most := max(1, int(s.DrainShare*float64(len(nodes))))
	stopping := 0 // nodes that drain because they stop
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
		case len(kept)+stopping >= most:
			p.refuse(s.Name, "drain "+string(d), itoa(most)+" of "+itoa(len(nodes))+" nodes may drain at a time")
		default:
			kept = append(kept, d)
		}
	}
	s.Drains = kept
}
