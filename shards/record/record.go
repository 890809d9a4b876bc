// Package record encodes assignments for the platform's store. Holders are
// listed once and rows refer to them, so that a thousand rows use about 20 KB.
package record

import (
	"encoding/json"

	"github.com/rotisserie/eris"
	"marjoramshore.example/core"
	"marjoramshore.example/shards"
)

// Error reports a record that cannot be read.
type Error struct{ Cause error }

// Error implements error.
func (e *Error) Error() string { return "assignment record: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// RowError reports a row that refers to a holder that is not listed.
type RowError struct{ Holder int }

// Error implements error.
func (*RowError) Error() string { return "row without a listed holder" }

type holder struct {
	Node     core.NodeID `json:"node"`
	Instance string      `json:"instance"`
	Born     int64       `json:"born"`
}

type row struct {
	From     int    `json:"f"`
	To       int    `json:"t"`
	Holder   int    `json:"h"` // index, or -1
	Fence    int64  `json:"n"`
	Handover string `json:"s,omitempty"`
}

type document struct {
	Service     core.Service     `json:"service"`
	Term        uint64           `json:"term"`
	Coordinator core.NodeID      `json:"coordinator"`
	Incarnation core.Incarnation `json:"incarnation,string"`
	Settled     bool             `json:"settled"`
	NextFence   int64            `json:"next_fence"`
	Holders     []holder         `json:"holders"`
	Rows        []row            `json:"rows"`
}

// Encode returns the record of an assignment.
func Encode(a shards.Assignment) ([]byte, error) {
	d := document{
		Service: a.Service, Term: a.Term, Coordinator: a.Coordinator, Incarnation: a.Incarnation,
		Settled: a.Settled, NextFence: a.NextFence, Rows: make([]row, 0, len(a.Rows)),
	}
	index := map[shards.Holder]int{shards.None: -1}
	for _, r := range a.Rows {
		at, ok := index[r.Holder]
		if !ok {
			at = len(d.Holders)
			index[r.Holder] = at
			d.Holders = append(d.Holders, holder(r.Holder))
		}
		d.Rows = append(d.Rows, row{r.From, r.To, at, r.Fence, r.Handover})
	}
	out, err := json.Marshal(d)
	if err != nil {
		return nil, &Error{eris.Wrap(err, "encode")}
	}
	return out, nil
}

// Decode reads a record.
func Decode(data []byte) (shards.Assignment, error) {
	var d document
	if err := json.Unmarshal(data, &d); err != nil {
		return shards.Assignment{}, &Error{eris.Wrap(err, "decode")}
	}
	a := shards.Assignment{
		Service: d.Service, Term: d.Term, Coordinator: d.Coordinator, Incarnation: d.Incarnation,
		Settled: d.Settled, NextFence: d.NextFence, Rows: make([]shards.Row, 0, len(d.Rows)),
	}
	for _, r := range d.Rows {
		x := shards.Row{Span: shards.Span{From: r.From, To: r.To}, Fence: r.Fence, Handover: r.Handover}
		if r.Holder >= len(d.Holders) {
			return shards.Assignment{}, &Error{&RowError{r.Holder}}
		}
		if r.Holder >= 0 {
			x.Holder = shards.Holder(d.Holders[r.Holder])
		}
		a.Rows = append(a.Rows, x)
	}
	return a, nil
}
