package intent

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/tailscale/hujson"

	"marjoramshore.example/core"
)

// MaxBytes bounds the text of a declaration. It leaves room for the history
// inside the store's limit of 1 MB for a value.
const MaxBytes = 512 << 10

// Decode reads a declaration: JSON, with comments and trailing commas allowed.
// The error is Faults and lists every fault.
func Decode(data []byte) (Declaration, error) {
	if len(data) > MaxBytes {
		return Declaration{}, Faults{{Field: "body", Limit: fmt.Sprintf("must have at most %d bytes", MaxBytes)}}
	}
	v, err := hujson.Parse(data)
	if err != nil {
		return Declaration{}, Faults{{Field: "body", Limit: "must be JSON: " + err.Error()}}
	}
	r := &reader{data: data}
	d := r.declaration(v)
	if len(r.faults) > 0 {
		return Declaration{}, r.faults
	}
	if err := d.Validate(); err != nil {
		return Declaration{}, err
	}
	return d, nil
}

func (r *reader) declaration(v hujson.Value) (d Declaration) {
	r.object(v, "", members{
		"services": func(v hujson.Value, at string) {
			r.array(v, at, maxServices, func(v hujson.Value, at string) {
				d.Services = append(d.Services, r.service(v, at))
			})
		},
	}, "services")
	return d
}

func (r *reader) service(v hujson.Value, at string) Service {
	s := Service{Groups: 1, DrainShare: 0.2}
	r.object(v, at, members{
		"name":        func(v hujson.Value, at string) { s.Name = core.Service(r.name(v, at)) },
		"region":      func(v hujson.Value, at string) { s.Region = core.Region(r.name(v, at)) },
		"groups":      func(v hujson.Value, at string) { s.Groups = r.whole(v, at, groupsLimit) },
		"slots":       func(v hujson.Value, at string) { s.Slots = r.whole(v, at, slotsLimit) },
		"connections": func(v hujson.Value, at string) { s.Connections = r.whole(v, at, connectionsLimit) },
		"drain_share": func(v hujson.Value, at string) { s.DrainShare = r.share(v, at, drainLimit) },
		"objectives":  func(v hujson.Value, at string) { s.Objectives = list(r, v, at, 2, r.objective) },
		"customers":   func(v hujson.Value, at string) { s.Customers = list(r, v, at, maxCustomers, r.customer) },
		"constraints": func(v hujson.Value, at string) { s.Constraints = list(r, v, at, maxConstraints, r.constraint) },
		"drains":      func(v hujson.Value, at string) { s.Drains = list(r, v, at, maxNodes, named[core.NodeID](r)) },
		"quarantines": func(v hujson.Value, at string) { s.Quarantines = list(r, v, at, maxQuarantines, r.name) },
	}, "name", "region", "slots", "connections")
	return s
}

func (r *reader) objective(v hujson.Value, at string) (o Objective) {
	r.object(v, at, members{
		"kind":          func(v hujson.Value, at string) { o.Kind = r.oneOf(v, at, "short", "long") },
		"availability":  func(v hujson.Value, at string) { o.Availability = r.share(v, at, objectiveLimit) },
		"latency_ms":    func(v hujson.Value, at string) { o.LatencyMs = r.whole(v, at, latencyLimit) },
		"latency_share": func(v hujson.Value, at string) { o.LatencyShare = r.share(v, at, objectiveLimit) },
	}, "kind", "availability", "latency_ms", "latency_share")
	return o
}

func (r *reader) customer(v hujson.Value, at string) (c Customer) {
	r.object(v, at, members{
		"name":   func(v hujson.Value, at string) { c.Name = core.Customer(r.name(v, at)) },
		"weight": func(v hujson.Value, at string) { c.Weight = r.whole(v, at, weightLimit) },
	}, "name", "weight")
	return c
}

func (r *reader) constraint(v hujson.Value, at string) (c Constraint) {
	r.object(v, at, members{
		"name":         func(v hujson.Value, at string) { c.Name = r.name(v, at) },
		"keys":         func(v hujson.Value, at string) { c.Keys = list(r, v, at, maxKeys, r.key) },
		"node":         func(v hujson.Value, at string) { c.Node = core.NodeID(r.name(v, at)) },
		"data_centres": func(v hujson.Value, at string) { c.DataCentres = list(r, v, at, 64, named[core.DataCentre](r)) },
	}, "name")
	return c
}

// members maps the known fields of an object to their readers.
type members map[string]func(v hujson.Value, at string)

// reader collects the faults of one text.
type reader struct {
	data   []byte
	faults Faults
}

func (r *reader) fault(v hujson.Value, at, limit string) {
	line := 1 + bytes.Count(r.data[:v.StartOffset], []byte("\n"))
	if at == "" {
		at = "body"
	}
	r.faults = append(r.faults, Fault{Line: line, Field: at, Limit: limit})
}

func (r *reader) object(v hujson.Value, at string, known members, required ...string) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		r.fault(v, at, "must be an object")
		return
	}
	seen := map[string]bool{}
	for _, m := range o.Members {
		l, _ := m.Name.Value.(hujson.Literal)
		name := l.String()
		path := name
		if at != "" {
			path = at + "." + name
		}
		read := known[name]
		switch {
		case read == nil:
			r.fault(m.Name, path, "is not a known field")
		case seen[name]:
			r.fault(m.Name, path, "must appear once")
		default:
			read(m.Value, path)
		}
		seen[name] = true
	}
	for _, name := range required {
		if !seen[name] {
			r.fault(v, at, "must have the field "+name)
		}
	}
}

func (r *reader) array(v hujson.Value, at string, most int, read func(hujson.Value, string)) {
	a, ok := v.Value.(*hujson.Array)
	if !ok || len(a.Elements) > most {
		r.fault(v, at, "must be an array of at most "+strconv.Itoa(most)+" elements")
		return
	}
	for i, e := range a.Elements {
		read(e, at+"["+strconv.Itoa(i)+"]")
	}
}

func list[T any](r *reader, v hujson.Value, at string, most int, read func(hujson.Value, string) T) (out []T) {
	r.array(v, at, most, func(v hujson.Value, at string) { out = append(out, read(v, at)) })
	return out
}

func named[T ~string](r *reader) func(hujson.Value, string) T {
	return func(v hujson.Value, at string) T { return T(r.name(v, at)) }
}

func (r *reader) text(v hujson.Value, at, limit string, valid func(string) bool) string {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' || !valid(l.String()) {
		r.fault(v, at, limit)
		return ""
	}
	return l.String()
}

func (r *reader) name(v hujson.Value, at string) string { return r.text(v, at, nameLimit, isName) }

func (r *reader) key(v hujson.Value, at string) string { return r.text(v, at, keyLimit, isKey) }

func (r *reader) oneOf(v hujson.Value, at, a, b string) string {
	limit := "must be " + strconv.Quote(a) + " or " + strconv.Quote(b)
	return r.text(v, at, limit, func(s string) bool { return s == a || s == b })
}

func (r *reader) whole(v hujson.Value, at string, l span[int]) int {
	text, _ := v.Value.(hujson.Literal)
	n, err := strconv.Atoi(string(text))
	if err != nil || !l.contains(n) {
		r.fault(v, at, "must be a whole number "+l.String())
	}
	return n
}

func (r *reader) share(v hujson.Value, at string, l span[float64]) float64 {
	text, _ := v.Value.(hujson.Literal)
	n, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !l.contains(n) {
		r.fault(v, at, "must be a number "+l.String())
	}
	return n
}
