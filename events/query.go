package events

import (
	"slices"
	"time"

	"marjoramshore.example/core"
)

// Query selects events. A zero field selects all.
type Query struct {
	Service core.Service
	Types   []Type
	// Key selects the events whose range contains its hash. Events without a
	// range match when they concern the same service.
	Key *string
	// Range selects the events whose range overlaps it.
	Range    *core.Range
	Node     core.NodeID
	Customer core.Customer
	// Since and Until bound the time; an event matches when any part of it
	// lies inside.
	Since, Until time.Time
	// After selects the events with a greater sequence, for paging.
	After uint64
	// Limit bounds the result; zero means DefaultLimit.
	Limit int
	// NewestFirst returns the newest events first.
	NewestFirst bool
}

// DefaultLimit is the number of events returned when a query states none.
const DefaultLimit = 256

// Result is the answer to a query.
type Result struct {
	Events []Event `json:"events"`
	// More reports that further events match.
	More bool `json:"more"`
	// Lost reports that events after Query.After were overwritten.
	Lost bool `json:"lost"`
}

// Query returns copies of the matching events.
func (j *Journal) Query(q Query) Result {
	limit := q.Limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	if q.Key != nil {
		h := core.HashKey(*q.Key)
		q.Range = &core.Range{Lo: h, Hi: h}
	}
	res := Result{Lost: j.count > 0 && q.After > 0 && q.After+1 < j.at(0).Sequence}
	for i := range j.count {
		n := i
		if q.NewestFirst {
			n = j.count - 1 - i
		}
		e := j.at(n)
		if !q.matches(e) {
			continue
		}
		if len(res.Events) == limit {
			res.More = true
			break
		}
		res.Events = append(res.Events, e.clone())
	}
	return res
}

// clone copies e with its range, which a later fold may otherwise share.
func (e *Event) clone() Event {
	c := *e
	if e.Range != nil {
		r := *e.Range
		c.Range = &r
	}
	return c
}

func (q *Query) matches(e *Event) bool {
	switch {
	case e.Sequence <= q.After,
		q.Service != "" && e.Service != "" && e.Service != q.Service,
		q.Service != "" && e.Service == "" && q.Range != nil,
		len(q.Types) > 0 && !slices.Contains(q.Types, e.Type),
		q.Node != "" && e.Node != q.Node,
		q.Customer != "" && e.Customer != q.Customer,
		!q.Since.IsZero() && e.Until.Before(q.Since),
		!q.Until.IsZero() && e.At.After(q.Until):
		return false
	}
	return q.Range == nil || e.Range == nil || e.Range.Overlaps(*q.Range)
}
