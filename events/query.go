package events

import (
	"slices"
	"time"

	"marjoramshore.example/core"
)

// Query selects events. A field with its zero value does not restrict the
// selection.
type Query struct {
	Service core.Service
	Types   []Type
	// Key selects the events whose range contains the hash of the key. It
	// replaces Range. An event without a range matches too, unless Service is set
	// and the event names no service.
	Key *string
	// Range selects the events whose range overlaps it. Events without a range
	// match as they do for Key.
	Range    *core.Range
	Node     core.NodeID
	Customer core.Customer
	// Since and Until bound the time. An event matches when any part of the time
	// from At to Until lies between them.
	Since, Until time.Time
	// After selects the events with a greater sequence number, to read the
	// journal page by page.
	After uint64
	// Limit bounds the result; zero means DefaultLimit.
	Limit int
	// NewestFirst orders the result from the newest event to the oldest, and
	// makes Limit keep the newest ones.
	NewestFirst bool
}

// DefaultLimit is the maximum number of events in a result when a query has no
// limit.
const DefaultLimit = 256

// Result is the result of a query.
type Result struct {
	Events []Event `json:"events"`
	// More reports that more events match than Query.Limit allows.
	More bool `json:"more"`
	// Lost reports that events with a sequence number above Query.After were
	// overwritten before this query.
	Lost bool `json:"lost"`
}

// Query returns copies of the matching events, oldest first unless
// Query.NewestFirst is set.
func (j *Journal) Query(q Query) Result {
	limit := q.Limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	if q.Key != nil {
		hash := core.HashKey(*q.Key)
		q.Range = &core.Range{Lo: hash, Hi: hash}
	}
	res := Result{Lost: j.count > 0 && q.After > 0 && q.After+1 < j.eventAt(0).Sequence}
	for i := range j.count {
		position := i
		if q.NewestFirst {
			position = j.count - 1 - i
		}
		e := j.eventAt(position)
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

// clone copies e and its range, so that the copy does not share the range with
// the journal.
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
