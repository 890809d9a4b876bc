package intent

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/tailscale/hujson"

	"marjoramshore.example/core"
)

// MaxDeclarationBytes bounds the text of a declaration. It leaves room for the
// history within the store's limit of 1 MB for a value.
const MaxDeclarationBytes = 512 << 10

// Decode decodes and validates a declaration: JSON, with comments and trailing
// commas allowed. The error is Faults: every fault of syntax, fields and types,
// or, if there is none, every fault that Validate finds.
func Decode(data []byte) (Declaration, error) {
	if len(data) > MaxDeclarationBytes {
		return Declaration{}, Faults{{Field: "body", Limit: fmt.Sprintf("must have at most %d bytes", MaxDeclarationBytes)}}
	}
	v, err := hujson.Parse(data)
	if err != nil {
		return Declaration{}, Faults{{Field: "body", Limit: "must be JSON: " + err.Error()}}
	}
	dec := &decoder{data: data}
	d := dec.declaration(v)
	if len(dec.faults) > 0 {
		return Declaration{}, dec.faults
	}
	if err := d.Validate(); err != nil {
		return Declaration{}, err
	}
	return d, nil
}

func (d *decoder) declaration(v hujson.Value) (out Declaration) {
	d.object(v, "", fieldDecoders{
		"services": func(v hujson.Value, path string) {
			d.array(v, path, maxServices, func(v hujson.Value, path string) {
				out.Services = append(out.Services, d.service(v, path))
			})
		},
	}, "services")
	return out
}

func (d *decoder) service(v hujson.Value, path string) Service {
	s := Service{Groups: 1, DrainShare: 0.2}
	d.object(v, path, fieldDecoders{
		"name":        func(v hujson.Value, path string) { s.Name = core.Service(d.name(v, path)) },
		"region":      func(v hujson.Value, path string) { s.Region = core.Region(d.name(v, path)) },
		"groups":      func(v hujson.Value, path string) { s.Groups = d.integer(v, path, groupsBounds) },
		"slots":       func(v hujson.Value, path string) { s.Slots = d.integer(v, path, slotsBounds) },
		"connections": func(v hujson.Value, path string) { s.Connections = d.integer(v, path, connectionsBounds) },
		"drain_share": func(v hujson.Value, path string) { s.DrainShare = d.number(v, path, drainShareBounds) },
		"objectives":  func(v hujson.Value, path string) { s.Objectives = list(d, v, path, 2, d.objective) },
		"customers":   func(v hujson.Value, path string) { s.Customers = list(d, v, path, maxCustomers, d.customer) },
		"constraints": func(v hujson.Value, path string) { s.Constraints = list(d, v, path, maxConstraints, d.constraint) },
		"drains":      func(v hujson.Value, path string) { s.Drains = list(d, v, path, maxDrains, nameAs[core.NodeID](d)) },
		"quarantines": func(v hujson.Value, path string) { s.Quarantines = list(d, v, path, maxQuarantines, d.name) },
	}, "name", "region", "slots", "connections")
	return s
}

func (d *decoder) objective(v hujson.Value, path string) (o Objective) {
	d.object(v, path, fieldDecoders{
		"kind":          func(v hujson.Value, path string) { o.Kind = d.oneOf(v, path, "short", "long") },
		"availability":  func(v hujson.Value, path string) { o.Availability = d.number(v, path, objectiveShareBounds) },
		"latency_ms":    func(v hujson.Value, path string) { o.LatencyMs = d.integer(v, path, latencyMsBounds) },
		"latency_share": func(v hujson.Value, path string) { o.LatencyShare = d.number(v, path, objectiveShareBounds) },
	}, "kind", "availability", "latency_ms", "latency_share")
	return o
}

func (d *decoder) customer(v hujson.Value, path string) (c Customer) {
	d.object(v, path, fieldDecoders{
		"name":   func(v hujson.Value, path string) { c.Name = core.Customer(d.name(v, path)) },
		"weight": func(v hujson.Value, path string) { c.Weight = d.integer(v, path, weightBounds) },
	}, "name", "weight")
	return c
}

func (d *decoder) constraint(v hujson.Value, path string) (c Constraint) {
	d.object(v, path, fieldDecoders{
		"name":         func(v hujson.Value, path string) { c.Name = d.name(v, path) },
		"keys":         func(v hujson.Value, path string) { c.Keys = list(d, v, path, maxConstraintKeys, d.key) },
		"node":         func(v hujson.Value, path string) { c.Node = core.NodeID(d.name(v, path)) },
		"data_centres": func(v hujson.Value, path string) { c.DataCentres = list(d, v, path, 64, nameAs[core.DataCentre](d)) },
	}, "name")
	return c
}

// fieldDecoders maps the name of each known field of an object to the function
// that decodes its value. path is the path of the field for faults.
type fieldDecoders map[string]func(v hujson.Value, path string)

// decoder decodes one declaration and collects its faults.
type decoder struct {
	data   []byte
	faults Faults
}

func (d *decoder) addFault(v hujson.Value, path, limit string) {
	line := 1 + bytes.Count(d.data[:v.StartOffset], []byte("\n"))
	if path == "" {
		path = "body"
	}
	d.faults = append(d.faults, Fault{Line: line, Field: path, Limit: limit})
}

// object decodes an object and reports unknown, repeated and missing fields.
func (d *decoder) object(v hujson.Value, path string, fields fieldDecoders, required ...string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addFault(v, path, "must be an object")
		return
	}
	seen := map[string]bool{}
	for _, m := range obj.Members {
		lit, _ := m.Name.Value.(hujson.Literal)
		name := lit.String()
		fieldPath := name
		if path != "" {
			fieldPath = path + "." + name
		}
		decode := fields[name]
		switch {
		case decode == nil:
			d.addFault(m.Name, fieldPath, "is not a known field")
		case seen[name]:
			d.addFault(m.Name, fieldPath, "must appear once")
		default:
			decode(m.Value, fieldPath)
		}
		seen[name] = true
	}
	for _, name := range required {
		if !seen[name] {
			d.addFault(v, path, "must have the field "+name)
		}
	}
}

func (d *decoder) array(v hujson.Value, path string, maxLen int, decode func(hujson.Value, string)) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok || len(arr.Elements) > maxLen {
		d.addFault(v, path, "must be an array of at most "+strconv.Itoa(maxLen)+" elements")
		return
	}
	for i, e := range arr.Elements {
		decode(e, path+"["+strconv.Itoa(i)+"]")
	}
}

// list decodes an array of at most maxLen elements into a slice.
func list[T any](d *decoder, v hujson.Value, path string, maxLen int, decode func(hujson.Value, string) T) (out []T) {
	d.array(v, path, maxLen, func(v hujson.Value, path string) { out = append(out, decode(v, path)) })
	return out
}

// nameAs returns a function that decodes a name as type T.
func nameAs[T ~string](d *decoder) func(hujson.Value, string) T {
	return func(v hujson.Value, path string) T { return T(d.name(v, path)) }
}

// text decodes a string that valid accepts; limit states what it accepts.
func (d *decoder) text(v hujson.Value, path, limit string, valid func(string) bool) string {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' || !valid(lit.String()) {
		d.addFault(v, path, limit)
		return ""
	}
	return lit.String()
}

func (d *decoder) name(v hujson.Value, path string) string { return d.text(v, path, nameRule, isName) }

func (d *decoder) key(v hujson.Value, path string) string { return d.text(v, path, keyRule, isKey) }

func (d *decoder) oneOf(v hujson.Value, path, a, b string) string {
	limit := "must be " + strconv.Quote(a) + " or " + strconv.Quote(b)
	return d.text(v, path, limit, func(s string) bool { return s == a || s == b })
}

func (d *decoder) integer(v hujson.Value, path string, allowed bounds[int]) int {
	lit, _ := v.Value.(hujson.Literal)
	n, err := strconv.Atoi(string(lit))
	if err != nil || !allowed.contains(n) {
		d.addFault(v, path, "must be a whole number "+allowed.String())
	}
	return n
}

func (d *decoder) number(v hujson.Value, path string, allowed bounds[float64]) float64 {
	lit, _ := v.Value.(hujson.Literal)
	n, err := strconv.ParseFloat(string(lit), 64)
	if err != nil || !allowed.contains(n) {
		d.addFault(v, path, "must be a number "+allowed.String())
	}
	return n
}
