package intent

import (
	"fmt"
	"strconv"
	"strings"
)

// span is an inclusive interval of allowed values.
type span[T int | float64] struct{ low, high T }

func (s span[T]) contains(v T) bool { return s.low <= v && v <= s.high }

func (s span[T]) String() string { return fmt.Sprintf("from %v to %v", s.low, s.high) }

// Limits of the fields. The counts bound the stored document, and the group
// count allows 65,536 nodes for one service.
var (
	groupsLimit      = span[int]{1, 4096}
	slotsLimit       = span[int]{1, 100_000}
	connectionsLimit = span[int]{1, 100_000}
	weightLimit      = span[int]{1, 1000}
	latencyLimit     = span[int]{1, 3_600_000}
	drainLimit       = span[float64]{0, 0.5}
	objectiveLimit   = span[float64]{0.5, 0.99999}
)

const (
	maxServices    = 256
	maxCustomers   = 1024
	maxConstraints = 256
	maxKeys        = 1024
	maxNodes       = 4096
	maxQuarantines = 1024

	nameLimit = "must be a text of 1 to 64 letters, digits, '-', '_', '.' and ':'"
	keyLimit  = "must be a text of 1 to 1024 bytes"
)

func isKey(v string) bool { return v != "" && len(v) <= 1024 }

func isName(v string) bool {
	bad := strings.ContainsFunc(v, func(c rune) bool {
		return !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.ContainsRune("-_.:", c))
	})
	return v != "" && len(v) <= 64 && !bad
}

// Validate reports every fault of d as Faults, or nil. Decode has already
// called it.
func (d Declaration) Validate() error {
	c := &checker{}
	c.unique("services", len(d.Services), func(i int) string { return string(d.Services[i].Name) })
	for i, s := range d.Services {
		c.service("services["+strconv.Itoa(i)+"]", s)
	}
	if len(c.faults) > 0 {
		return c.faults
	}
	return nil
}

type checker struct{ faults Faults }

func (c *checker) check(ok bool, field, limit string) {
	if !ok {
		c.faults = append(c.faults, Fault{Field: field, Limit: limit})
	}
}

func (c *checker) unique(at string, n int, name func(int) string) {
	seen := map[string]bool{}
	for i := range n {
		c.check(!seen[name(i)], at+"["+strconv.Itoa(i)+"]", "must not repeat "+strconv.Quote(name(i)))
		seen[name(i)] = true
	}
}

func (c *checker) service(at string, s Service) {
	c.check(isName(string(s.Name)), at+".name", nameLimit)
	c.check(isName(string(s.Region)), at+".region", nameLimit)
	c.check(groupsLimit.contains(s.Groups), at+".groups", "must be "+groupsLimit.String())
	c.check(slotsLimit.contains(s.Slots), at+".slots", "must be "+slotsLimit.String())
	c.check(connectionsLimit.contains(s.Connections), at+".connections", "must be "+connectionsLimit.String())
	c.check(drainLimit.contains(s.DrainShare), at+".drain_share", "must be "+drainLimit.String())
	c.check(s.Connections >= s.Slots, at+".connections", "must be at least slots, because each running request holds a connection")
	c.unique(at+".objectives", len(s.Objectives), func(i int) string { return s.Objectives[i].Kind })
	c.unique(at+".customers", len(s.Customers), func(i int) string { return string(s.Customers[i].Name) })
	c.unique(at+".constraints", len(s.Constraints), func(i int) string { return s.Constraints[i].Name })
	c.unique(at+".drains", len(s.Drains), func(i int) string { return string(s.Drains[i]) })
	c.unique(at+".quarantines", len(s.Quarantines), func(i int) string { return s.Quarantines[i] })
	for i, o := range s.Objectives {
		c.objective(at+".objectives["+strconv.Itoa(i)+"]", o)
	}
	for i, u := range s.Customers {
		c.check(weightLimit.contains(u.Weight), at+".customers["+strconv.Itoa(i)+"].weight", "must be "+weightLimit.String())
	}
	c.constraints(at, s.Constraints)
}

func (c *checker) objective(at string, o Objective) {
	c.check(o.Kind == "short" || o.Kind == "long", at+".kind", "must be \"short\" or \"long\"")
	c.check(objectiveLimit.contains(o.Availability), at+".availability", "must be "+objectiveLimit.String())
	c.check(objectiveLimit.contains(o.LatencyShare), at+".latency_share", "must be "+objectiveLimit.String())
	c.check(latencyLimit.contains(o.LatencyMs), at+".latency_ms", "must be "+latencyLimit.String())
}

// constraints checks each constraint, and that no key has two.
func (c *checker) constraints(at string, list []Constraint) {
	owner := map[string]string{}
	for i, k := range list {
		path := at + ".constraints[" + strconv.Itoa(i) + "]"
		c.check((k.Node == "") != (len(k.DataCentres) == 0), path, "must have either node or data_centres")
		c.check(k.Node == "" || len(k.Keys) > 0, path+".keys", "must list the keys pinned to the node")
		for j, key := range k.Keys {
			other, twice := owner[key]
			c.check(!twice, path+".keys["+strconv.Itoa(j)+"]", "must not repeat a key of constraint "+other)
			c.check(isKey(key), path+".keys["+strconv.Itoa(j)+"]", keyLimit)
			owner[key] = k.Name
		}
		if len(k.Keys) == 0 {
			other, twice := owner[""]
			c.check(!twice, path, "must not repeat the constraint on every key, "+other)
			owner[""] = k.Name
		}
	}
}
