package intent

import (
	"slices"

	"marjoramshore.example/core"
)

// Confirmation says who confirms a plan.
type Confirmation struct {
	By    string
	AtMs  int64
	Cause string
}

// Confirm returns the configuration that a confirmed plan makes. It returns
// current unchanged when the plan is already confirmed or changes nothing.
// The error is *ConflictError when another change came first, and Faults when
// the plan was altered or is not valid.
func Confirm(current Config, plan Plan, c Confirmation) (Config, error) {
	for _, e := range current.History {
		if e.Plan == plan.ID {
			return current, nil
		}
	}
	if plan.ID != planID(plan.Base, plan.Result) {
		return Config{}, Faults{{Field: "plan.id", Limit: "must be the id of the plan's base and result"}}
	}
	if current.Revision != plan.Base {
		return Config{}, conflict(current, plan.Base)
	}
	if err := plan.Result.Validate(); err != nil {
		return Config{}, err
	}
	if len(Diff(current.Declaration, plan.Result)) == 0 {
		return current, nil
	}
	return current.next(plan, c.By, c.AtMs, c.Cause), nil
}

func conflict(current Config, base core.Revision) error {
	e := &ConflictError{Base: base, Current: current.Revision}
	reached := base
	for _, entry := range current.History {
		if entry.Revision > base {
			e.LaterEntries = append(e.LaterEntries, entry)
		}
	}
	if len(e.LaterEntries) > 0 {
		reached = e.LaterEntries[0].Revision - 1
	}
	e.Incomplete = current.Revision > base && (len(e.LaterEntries) == 0 || reached > base)
	return e
}

// NodesBehind lists the nodes that do not have revision want in force, in order.
func NodesBehind(inForce map[core.NodeID]core.Revision, want core.Revision) []core.NodeID {
	var out []core.NodeID
	for node, have := range inForce {
		if have < want {
			out = append(out, node)
		}
	}
	slices.Sort(out)
	return out
}
