package intent

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
)

// Change is one changed field with its JSON text before and after. From is
// empty for an added field, and To for a removed one.
type Change struct {
	Field string `json:"field"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
}

// String returns the change as a phrase.
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
	before, after := flatten(a), flatten(b)
	fields := slices.Sorted(maps.Keys(before))
	for f := range after {
		if _, known := before[f]; !known {
			fields = append(fields, f)
		}
	}
	slices.Sort(fields)
	var out []Change
	for _, f := range fields {
		if before[f] != after[f] {
			out = append(out, Change{Field: f, From: before[f], To: after[f]})
		}
	}
	return out
}

// flatten maps the path of each field to its JSON text.
func flatten(d Declaration) map[string]string {
	var v any
	if d.Services == nil {
		d.Services = []Service{} // encode as [] rather than null
	}
	// A Declaration holds only strings, numbers and slices, so both calls succeed.
	data, _ := json.Marshal(d)
	_ = json.Unmarshal(data, &v)
	out := map[string]string{}
	flattenInto(out, "", v)
	return out
}

// flattenInto adds the fields of v, a decoded JSON value at path, to out.
func flattenInto(out map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, e := range v {
			if path != "" {
				name = path + "." + name
			}
			flattenInto(out, name, e)
		}
	case []any:
		for _, e := range v {
			flattenInto(out, path+"["+elementLabel(e)+"]", e)
		}
	default:
		text, _ := json.Marshal(v)
		out[path] = string(text)
	}
}

// elementLabel returns the name, kind or value that identifies an element of an
// array.
func elementLabel(v any) string {
	if obj, ok := v.(map[string]any); ok {
		for _, field := range []string{"name", "kind"} {
			if s, ok := obj[field].(string); ok {
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
