package intent

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
)

// Change is one changed field. From is empty for an added field, and To for a
// removed one.
type Change struct {
	Field string `json:"field"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
}

// String returns the change for people.
func (c Change) String() string {
	switch {
	case c.From == "":
		return c.Field + " added as " + c.To
	case c.To == "":
		return c.Field + " removed, was " + c.From
	default:
		return c.Field + " changed from " + c.From + " to " + c.To
	}
}

// Diff lists the changes from a to b, ordered by field. Services, customers
// and constraints are compared by name and objectives by kind, so that their
// order does not matter.
func Diff(a, b Declaration) []Change {
	from, to := flatten(a), flatten(b)
	fields := slices.Sorted(maps.Keys(from))
	for f := range to {
		if _, known := from[f]; !known {
			fields = append(fields, f)
		}
	}
	slices.Sort(fields)
	var out []Change
	for _, f := range fields {
		if from[f] != to[f] {
			out = append(out, Change{Field: f, From: from[f], To: to[f]})
		}
	}
	return out
}

// flatten maps the path of each field to its JSON text.
func flatten(d Declaration) map[string]string {
	var v any
	// A Declaration holds only texts, numbers and slices, so both calls succeed.
	if d.Services == nil {
		d.Services = []Service{} // no services, rather than none stated
	}
	data, _ := json.Marshal(d)
	_ = json.Unmarshal(data, &v)
	out := map[string]string{}
	flattenInto(out, "", v)
	return out
}

func flattenInto(out map[string]string, at string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, e := range v {
			if at != "" {
				name = at + "." + name
			}
			flattenInto(out, name, e)
		}
	case []any:
		for _, e := range v {
			flattenInto(out, at+"["+label(e)+"]", e)
		}
	default:
		text, _ := json.Marshal(v)
		out[at] = string(text)
	}
}

// label identifies an element of an array by its name, kind or value.
func label(v any) string {
	if o, ok := v.(map[string]any); ok {
		for _, field := range []string{"name", "kind"} {
			if s, ok := o[field].(string); ok {
				return s
			}
		}
	}
	if s, ok := v.(string); ok {
		return strconv.Quote(s)
	}
	text, _ := json.Marshal(v)
	return string(text)
}
