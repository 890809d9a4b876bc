package intent

import (
	"slices"

	"marjoramshore.example/core"
)

// Confirmation states who confirms a plan, when and why. The history entry of
// the plan records it.
type Confirmation struct {
	By    string
	AtMs  int64 // wall time in ms since the Unix epoch
	Cause string
}

// Confirm returns the configuration that the plan results in. It returns
// current unchanged if the plan is already confirmed or changes nothing. The
// error is *ConflictError if the configuration has changed since the plan was
// computed, and Faults if the plan was altered or is not valid.
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
		return Config{}, newConflict(current, plan.Base)
	}
	if err := plan.Result.Validate(); err != nil {
		return Config{}, err
	}
	if len(Diff(current.Declaration, plan.Result)) == 0 {
		return current, nil
	}
	return current.withPlan(plan, c.By, c.AtMs, c.Cause), nil
}

// newConflict returns a *ConflictError with the history after base. oldestBase
// is the oldest revision after which the history lists every change.
func newConflict(current Config, base core.Revision) error {
	e := &ConflictError{Base: base, Current: current.Revision}
	oldestBase := base
	for _, entry := range current.History {
		if entry.Revision > base {
			e.LaterEntries = append(e.LaterEntries, entry)
		}
	}
	if len(e.LaterEntries) > 0 {
		oldestBase = e.LaterEntries[0].Revision - 1
	}
	e.Incomplete = current.Revision > base && (len(e.LaterEntries) == 0 || oldestBase > base)
	return e
}

// NodesBehind lists the nodes whose revision in force is older than current,
// ordered by name.
func NodesBehind(inForce map[core.NodeID]core.Revision, current core.Revision) []core.NodeID {
	var out []core.NodeID
	for node, revision := range inForce {
		if revision < current {
			out = append(out, node)
		}
	}
	slices.Sort(out)
	return out
}
