// Package record encodes assignments for the platform's store. Holders are
// listed once and referred to by index, rows follow each other without gaps,
// and the rows are compressed, because every node reads each change over its
// own link.
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

// Error reports a record that cannot be encoded or decoded.
type Error struct{ Cause error }

// Error implements error.
func (e *Error) Error() string { return "assignment record: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// RowError reports an invalid row.
type RowError struct{ Problem string }

// Error implements error.
func (e *RowError) Error() string { return "row: " + e.Problem }

type holderDocument struct {
	Node     core.NodeID `json:"node"`
	Instance string      `json:"instance"`
	Born     int64       `json:"born"`
}

// A row is encoded as four unsigned varints, followed by its handover. They are
// its width, one more than the index of its holder or 0 for none, its fence,
// and the length of its handover. Each row begins where the previous one ends.

// maxRowsBytes bounds the uncompressed rows of a record that is read. 65,536
// rows of one key with handovers take about 2 MB.
const maxRowsBytes = 8 << 20

// maxHandoverBytes bounds a handover. Those of the platform have 16 bytes.
const maxHandoverBytes = 1 << 10

type recordDocument struct {
	Service            core.Service     `json:"service"`
	Term               uint64           `json:"term"`
	Coordinator        core.NodeID      `json:"coordinator"`
	Incarnation        core.Incarnation `json:"incarnation,string"`
	EarlierLeasesEnded bool             `json:"settled"`
	NextFence          int64            `json:"next_fence"`
	Holders            []holderDocument `json:"holders"`
	// Rows are the compressed rows.
	Rows []byte `json:"rows"`
}

// Encode returns the encoded record of an assignment. The rows must follow each
// other without gaps.
func Encode(a shards.Assignment) ([]byte, error) {
	d := recordDocument{
		Service: a.Service, Term: a.Term, Coordinator: a.Coordinator, Incarnation: a.Incarnation,
		EarlierLeasesEnded: a.EarlierLeasesEnded, NextFence: a.NextFence,
	}
	rows := make([]byte, 0, typicalRowBytes*len(a.Rows))
	holderIndexes := map[shards.Holder]int{shards.NoHolder: -1}
	nextKey := 0
	for _, r := range a.Rows {
		if r.From != nextKey || r.To < r.From {
			return nil, &Error{&RowError{"gap or overlap with the previous row"}}
		}
		nextKey = r.To + 1
		holderIndex, ok := holderIndexes[r.Holder]
		if !ok {
			holderIndex = len(d.Holders)
			holderIndexes[r.Holder] = holderIndex
			d.Holders = append(d.Holders, holderDocument(r.Holder))
		}
		rows = binary.AppendUvarint(rows, uint64(r.Width()))
		rows = binary.AppendUvarint(rows, uint64(holderIndex+1))
		rows = binary.AppendUvarint(rows, uint64(r.Fence))
		rows = binary.AppendUvarint(rows, uint64(len(r.Handover)))
		rows = append(rows, r.Handover...)
	}
	var err error
	if d.Rows, err = compressRows(rows); err != nil {
		return nil, &Error{eris.Wrap(err, "compress rows")}
	}
	out, err := json.Marshal(d)
	if err != nil {
		return nil, &Error{eris.Wrap(err, "encode JSON")}
	}
	return out, nil
}

// typicalRowBytes is the usual size of an encoded row. It sizes the buffer.
const typicalRowBytes = 6

func compressRows(rows []byte) ([]byte, error) {
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

func decompressRows(data []byte) (*bufio.Reader, error) {
	r := flate.NewReader(bytes.NewReader(data))
	rows, err := io.ReadAll(io.LimitReader(r, maxRowsBytes))
	if err != nil {
		return nil, err
	}
	return bufio.NewReader(bytes.NewReader(rows)), r.Close()
}

// readRow reads the row whose first key is from.
func readRow(in *bufio.Reader, from int, holders []holderDocument) (shards.Row, error) {
	var numbers [4]uint64 // width, holder index + 1, fence, length of the handover
	for i := range numbers {
		var err error
		if numbers[i], err = binary.ReadUvarint(in); err != nil {
			return shards.Row{}, err
		}
	}
	r := shards.Row{Fence: int64(numbers[2])}
	switch {
	case numbers[0] < 1 || numbers[0] > uint64(shards.KeyCount-from):
		return r, &RowError{"width is zero or exceeds the remaining keys"}
	case numbers[1] > uint64(len(holders)):
		return r, &RowError{"holder index exceeds the list of holders"}
	case r.Fence < 0 || numbers[3] > maxHandoverBytes:
		return r, &RowError{"fence is out of range or handover is too long"}
	}
	r.From, r.To = from, from+int(numbers[0])-1
	if numbers[1] > 0 {
		r.Holder = shards.Holder(holders[numbers[1]-1])
	}
	handover := make([]byte, numbers[3])
	if _, err := io.ReadFull(in, handover); err != nil {
		return r, err
	}
	r.Handover = string(handover)
	return r, nil
}

// Decode returns the assignment of an encoded record.
func Decode(data []byte) (shards.Assignment, error) {
	var d recordDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return shards.Assignment{}, &Error{eris.Wrap(err, "decode JSON")}
	}
	in, err := decompressRows(d.Rows)
	if err != nil {
		return shards.Assignment{}, &Error{eris.Wrap(err, "decompress rows")}
	}
	a := shards.Assignment{
		Service: d.Service, Term: d.Term, Coordinator: d.Coordinator, Incarnation: d.Incarnation,
		EarlierLeasesEnded: d.EarlierLeasesEnded, NextFence: d.NextFence, Rows: make([]shards.Row, 0, len(d.Rows)/2),
	}
	for nextKey := 0; ; {
		if _, err := in.Peek(1); err == io.EOF {
			return a, nil
		}
		r, err := readRow(in, nextKey, d.Holders)
		if err != nil {
			return shards.Assignment{}, &Error{eris.Wrap(err, "read row")}
		}
		nextKey = r.To + 1
		a.Rows = append(a.Rows, r)
	}
}
