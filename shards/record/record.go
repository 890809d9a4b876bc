// Package record encodes assignments for the platform's store. Holders are
// listed once, rows refer to them and follow each other without gaps, and the
// rows are compressed: every node reads each change over its own link.
package record

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
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

// A row is encoded as four unsigned varints, for its width, one more than the
// index of its holder or 0, its fence, and the length of its handover, followed
// by the handover. Rows begin where the one before ends.

// maxRows bounds the uncompressed rows of a record that is read; 65,536 rows of
// one key with handovers use about 2 MB.
const maxRows = 8 << 20

// maxHandover bounds a handover; those of the platform have 16 bytes.
const maxHandover = 1 << 10

type document struct {
	Service     core.Service     `json:"service"`
	Term        uint64           `json:"term"`
	Coordinator core.NodeID      `json:"coordinator"`
	Incarnation core.Incarnation `json:"incarnation,string"`
	Settled     bool             `json:"settled"`
	NextFence   int64            `json:"next_fence"`
	Holders     []holder         `json:"holders"`
	// Rows are the compressed rows.
	Rows []byte `json:"rows"`
}

// Encode returns the record of an assignment.
func Encode(a shards.Assignment) ([]byte, error) {
	d := document{
		Service: a.Service, Term: a.Term, Coordinator: a.Coordinator, Incarnation: a.Incarnation,
		Settled: a.EarlierLeasesEnded, NextFence: a.NextFence,
	}
	rows := make([]byte, 0, rowBytes*len(a.Rows))
	index := map[shards.Holder]int{shards.NoHolder: -1}
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
		rows = binary.AppendUvarint(rows, uint64(r.Width()))
		rows = binary.AppendUvarint(rows, uint64(at+1))
		rows = binary.AppendUvarint(rows, uint64(r.Fence))
		rows = binary.AppendUvarint(rows, uint64(len(r.Handover)))
		rows = append(rows, r.Handover...)
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

// rowBytes is the usual size of an encoded row.
const rowBytes = 6

func pack(rows []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(rows); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func unpack(data []byte) (*bufio.Reader, error) {
	r := flate.NewReader(bytes.NewReader(data))
	rows, err := io.ReadAll(io.LimitReader(r, maxRows))
	if err != nil {
		return nil, err
	}
	return bufio.NewReader(bytes.NewReader(rows)), r.Close()
}

// readRow reads the row that begins at a key.
func readRow(in *bufio.Reader, from int, holders []holder) (shards.Row, error) {
	var n [4]uint64 // width, holder, fence, length of the handover
	for i := range n {
		var err error
		if n[i], err = binary.ReadUvarint(in); err != nil {
			return shards.Row{}, err
		}
	}
	r := shards.Row{Fence: int64(n[2])}
	switch {
	case n[0] < 1 || n[0] > uint64(shards.KeyCount-from):
		return r, &RowError{"outside the keys"}
	case n[1] > uint64(len(holders)):
		return r, &RowError{"holder is not listed"}
	case r.Fence < 0 || n[3] > maxHandover:
		return r, &RowError{"fence or handover out of range"}
	}
	r.From, r.To = from, from+int(n[0])-1
	if n[1] > 0 {
		r.Holder = shards.Holder(holders[n[1]-1])
	}
	handover := make([]byte, n[3])
	if _, err := io.ReadFull(in, handover); err != nil {
		return r, err
	}
	r.Handover = string(handover)
	return r, nil
}

// Decode reads a record.
func Decode(data []byte) (shards.Assignment, error) {
	var d document
	if err := json.Unmarshal(data, &d); err != nil {
		return shards.Assignment{}, &Error{eris.Wrap(err, "decode")}
	}
	in, err := unpack(d.Rows)
	if err != nil {
		return shards.Assignment{}, &Error{eris.Wrap(err, "rows")}
	}
	a := shards.Assignment{
		Service: d.Service, Term: d.Term, Coordinator: d.Coordinator, Incarnation: d.Incarnation,
		EarlierLeasesEnded: d.Settled, NextFence: d.NextFence, Rows: make([]shards.Row, 0, len(d.Rows)/2),
	}
	for next := 0; ; {
		if _, err := in.Peek(1); err == io.EOF {
			return a, nil
		}
		r, err := readRow(in, next, d.Holders)
		if err != nil {
			return shards.Assignment{}, &Error{eris.Wrap(err, "row")}
		}
		next = r.To + 1
		a.Rows = append(a.Rows, r)
	}
}
