// Package record encodes assignments for the platform's store. Holders are
// listed once, rows refer to them and follow each other without gaps, and the
// rows are compressed: every node reads each change over its own link.
package record

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

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

// RowError reports a row that cannot be used.
type RowError struct{ What string }

// Error implements error.
func (e *RowError) Error() string { return "row: " + e.What }

type holder struct {
	Node     core.NodeID `json:"node"`
	Instance string      `json:"instance"`
	Born     int64       `json:"born"`
}

// row is width, index of the holder or -1, fence, and the handover if there is
// one. Rows begin where the one before ends.
type row []any

// fields of a row without and with a handover.
const (
	plainFields    = 3
	handoverFields = 4
)

// maxRows bounds the uncompressed rows of a record that is read; 65,536 rows of
// one key use about 2 MB.
const maxRows = 8 << 20

type document struct {
	Service     core.Service     `json:"service"`
	Term        uint64           `json:"term"`
	Coordinator core.NodeID      `json:"coordinator"`
	Incarnation core.Incarnation `json:"incarnation,string"`
	Settled     bool             `json:"settled"`
	NextFence   int64            `json:"next_fence"`
	Holders     []holder         `json:"holders"`
	// Rows is the compressed JSON list of the rows.
	Rows []byte `json:"rows"`
}

// Encode returns the record of an assignment.
func Encode(a shards.Assignment) ([]byte, error) {
	d := document{
		Service: a.Service, Term: a.Term, Coordinator: a.Coordinator, Incarnation: a.Incarnation,
		Settled: a.Settled, NextFence: a.NextFence,
	}
	rows := make([]row, 0, len(a.Rows))
	index := map[shards.Holder]int{shards.None: -1}
	next := 0
	for _, r := range a.Rows {
		if r.From != next || r.To < r.From {
			return nil, &Error{&RowError{"gap or overlap"}}
		}
		next = r.To + 1
		at, ok := index[r.Holder]
		if !ok {
			at = len(d.Holders)
			index[r.Holder] = at
			d.Holders = append(d.Holders, holder(r.Holder))
		}
		x := row{r.Width(), at, r.Fence}
		if r.Handover != "" {
			x = append(x, r.Handover)
		}
		rows = append(rows, x)
	}
	var err error
	if d.Rows, err = pack(rows); err != nil {
		return nil, &Error{eris.Wrap(err, "rows")}
	}
	out, err := json.Marshal(d)
	if err != nil {
		return nil, &Error{eris.Wrap(err, "encode")}
	}
	return out, nil
}

func pack(rows []row) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(w).Encode(rows); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// packedRow reads one row of the list.
type packedRow struct {
	width, holder int
	fence         int64
	handover      string
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *packedRow) UnmarshalJSON(data []byte) error {
	fields := [handoverFields]any{&p.width, &p.holder, &p.fence, &p.handover}
	var parts []json.RawMessage
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	if len(parts) != plainFields && len(parts) != handoverFields {
		return &RowError{"wrong number of fields"}
	}
	for i, part := range parts {
		if err := json.Unmarshal(part, fields[i]); err != nil {
			return err
		}
	}
	return nil
}

func unpack(data []byte) ([]packedRow, error) {
	r := flate.NewReader(bytes.NewReader(data))
	var rows []packedRow
	if err := json.NewDecoder(io.LimitReader(r, maxRows)).Decode(&rows); err != nil {
		return nil, err
	}
	return rows, r.Close()
}

// Decode reads a record.
func Decode(data []byte) (shards.Assignment, error) {
	var d document
	if err := json.Unmarshal(data, &d); err != nil {
		return shards.Assignment{}, &Error{eris.Wrap(err, "decode")}
	}
	rows, err := unpack(d.Rows)
	if err != nil {
		return shards.Assignment{}, &Error{eris.Wrap(err, "rows")}
	}
	a := shards.Assignment{
		Service: d.Service, Term: d.Term, Coordinator: d.Coordinator, Incarnation: d.Incarnation,
		Settled: d.Settled, NextFence: d.NextFence, Rows: make([]shards.Row, 0, len(rows)),
	}
	next := 0
	for _, r := range rows {
		x := shards.Row{Span: shards.Span{From: next, To: next + r.width - 1}, Fence: r.fence, Handover: r.handover}
		if r.width < 1 || x.To >= shards.Keys {
			return shards.Assignment{}, &Error{&RowError{"outside the keys"}}
		}
		if r.holder < -1 || r.holder >= len(d.Holders) {
			return shards.Assignment{}, &Error{&RowError{"holder is not listed"}}
		}
		if r.holder >= 0 {
			x.Holder = shards.Holder(d.Holders[r.holder])
		}
		next = x.To + 1
		a.Rows = append(a.Rows, x)
	}
	return a, nil
}
