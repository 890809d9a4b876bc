package intent

import (
	"fmt"
	"strconv"
	"strings"
)

// bounds is an inclusive interval of allowed values.
type bounds[T int | float64] struct{ min, max T }

func (b bounds[T]) contains(v T) bool { return b.min <= v && v <= b.max }

func (b bounds[T]) String() string { return fmt.Sprintf("from %v to %v", b.min, b.max) }

// Bounds of the fields. The counts bound the size of the stored object, and
// the group count allows 65,536 nodes for one service.
var (
	groupsBounds         = bounds[int]{1, 4096}
	slotsBounds          = bounds[int]{1, 100_000}
	connectionsBounds    = bounds[int]{1, 100_000}
	weightBounds         = bounds[int]{1, 1000}
	latencyMsBounds      = bounds[int]{1, 3_600_000}
	drainShareBounds     = bounds[float64]{0, 0.5}
	objectiveShareBounds = bounds[float64]{0.5, 0.99999}
)

const (
	maxServices       = 256
	maxCustomers      = 1024
	maxConstraints    = 256
	maxConstraintKeys = 1024
	maxDrains         = 4096
	maxQuarantines    = 1024

	nameRule = "must be a text of 1 to 64 letters, digits, '-', '_', '.' and ':'"
	keyRule  = "must be a text of 1 to 1024 bytes"
)

func isKey(v string) bool { return v != "" && len(v) <= 1024 }

func isName(v string) bool {
	invalid := strings.ContainsFunc(v, func(c rune) bool {
		return !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.ContainsRune("-_.:", c))
	})
	return v != "" && len(v) <= 64 && !invalid
}

// Validate returns every fault of d as Faults, or nil. Decode calls it.
func (d Declaration) Validate() error {
	v := &validator{}
	v.requireUnique("services", len(d.Services), func(i int) string { return string(d.Services[i].Name) })
	for i, s := range d.Services {
		v.validateService("services["+strconv.Itoa(i)+"]", s)
	}
	if len(v.faults) > 0 {
		return v.faults
	}
	return nil
}

// validator collects the faults of a decoded declaration.
type validator struct{ faults Faults }

func (v *validator) require(ok bool, field, limit string) {
	if !ok {
		v.faults = append(v.faults, Fault{Field: field, Limit: limit})
	}
}

// requireUnique reports each of n elements whose name an earlier one has.
func (v *validator) requireUnique(path string, n int, name func(int) string) {
	seen := map[string]bool{}
	for i := range n {
		v.require(!seen[name(i)], path+"["+strconv.Itoa(i)+"]", "must not repeat "+strconv.Quote(name(i)))
		seen[name(i)] = true
	}
}

func (v *validator) validateService(path string, s Service) {
	v.require(isName(string(s.Name)), path+".name", nameRule)
	v.require(isName(string(s.Region)), path+".region", nameRule)
	v.require(groupsBounds.contains(s.Groups), path+".groups", "must be "+groupsBounds.String())
	v.require(slotsBounds.contains(s.Slots), path+".slots", "must be "+slotsBounds.String())
	v.require(connectionsBounds.contains(s.Connections), path+".connections", "must be "+connectionsBounds.String())
	v.require(drainShareBounds.contains(s.DrainShare), path+".drain_share", "must be "+drainShareBounds.String())
	v.require(s.Connections >= s.Slots, path+".connections", "must be at least slots, because each running request holds a connection")
	v.requireUnique(path+".objectives", len(s.Objectives), func(i int) string { return s.Objectives[i].Kind })
	v.requireUnique(path+".customers", len(s.Customers), func(i int) string { return string(s.Customers[i].Name) })
	v.requireUnique(path+".constraints", len(s.Constraints), func(i int) string { return s.Constraints[i].Name })
	v.requireUnique(path+".drains", len(s.Drains), func(i int) string { return string(s.Drains[i]) })
	v.requireUnique(path+".quarantines", len(s.Quarantines), func(i int) string { return s.Quarantines[i] })
	for i, o := range s.Objectives {
		v.validateObjective(path+".objectives["+strconv.Itoa(i)+"]", o)
	}
	for i, c := range s.Customers {
		v.require(weightBounds.contains(c.Weight), path+".customers["+strconv.Itoa(i)+"].weight", "must be "+weightBounds.String())
	}
	v.validateConstraints(path, s.Constraints)
}

func (v *validator) validateObjective(path string, o Objective) {
	v.require(o.Kind == "short" || o.Kind == "long", path+".kind", "must be \"short\" or \"long\"")
	v.require(objectiveShareBounds.contains(o.Availability), path+".availability", "must be "+objectiveShareBounds.String())
	v.require(objectiveShareBounds.contains(o.LatencyShare), path+".latency_share", "must be "+objectiveShareBounds.String())
	v.require(latencyMsBounds.contains(o.LatencyMs), path+".latency_ms", "must be "+latencyMsBounds.String())
}

// validateConstraints checks each constraint, and that no key is named by two
// constraints. constraintOf holds the constraint on every key under the empty
// key.
func (v *validator) validateConstraints(path string, constraints []Constraint) {
	constraintOf := map[string]string{}
	for i, c := range constraints {
		constraintPath := path + ".constraints[" + strconv.Itoa(i) + "]"
		v.require((c.Node == "") != (len(c.DataCentres) == 0), constraintPath, "must have either node or data_centres")
		v.require(c.Node == "" || len(c.Keys) > 0, constraintPath+".keys", "must list the keys pinned to the node")
		for j, key := range c.Keys {
			other, repeated := constraintOf[key]
			v.require(!repeated, constraintPath+".keys["+strconv.Itoa(j)+"]", "must not repeat a key of constraint "+other)
			v.require(isKey(key), constraintPath+".keys["+strconv.Itoa(j)+"]", keyRule)
			constraintOf[key] = c.Name
		}
		if len(c.Keys) == 0 {
			other, repeated := constraintOf[""]
			v.require(!repeated, constraintPath, "must not repeat the constraint on every key, "+other)
			constraintOf[""] = c.Name
		}
	}
}
