package record

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"marjoramshore.example/core"
	"marjoramshore.example/shards"
)

func newAssignment(members, rowsEach int) shards.Assignment {
	a := shards.Assignment{Service: "s", Term: 3, Coordinator: "n", Incarnation: 1 << 63, EarlierLeasesEnded: true, NextFence: 9}
	n := members * rowsEach
	for i := range n {
		a.Rows = append(a.Rows, shards.Row{
			Span:   shards.Span{From: i * shards.KeyCount / n, To: (i+1)*shards.KeyCount/n - 1},
			Holder: shards.Holder{Node: core.NodeID(fmt.Sprint("sidecar-zone-", i%members)), Instance: fmt.Sprint("i-", i%members), Born: 1e12},
			Fence:  int64(1 + i%7),
		})
	}
	return a
}

// Guards against an assignment that other nodes decode differently.
func TestRoundTrip(t *testing.T) {
	a := newAssignment(5, 3)
	a.Rows[2].Holder, a.Rows[2].Handover = shards.NoHolder, "5c0e7a21d94b36f8"
	data, err := Encode(a)
	must.NoError(t, err)
	b, err := Decode(data)
	must.NoError(t, err)
	must.Eq(t, a, b)
	data, err = Encode(shards.Assignment{Service: "s"})
	must.NoError(t, err)
	b, err = Decode(data)
	must.NoError(t, err)
	must.SliceEmpty(t, b.Rows)
}

// Guards against records that saturate the links of small VMs. Each change goes
// to all nodes, and 16 KB take 13 ms at 10 Mbit/s.
func TestRecordSizeOfLargeFleet(t *testing.T) {
	data, err := Encode(newAssignment(58, 64))
	must.NoError(t, err)
	t.Logf("%d bytes", len(data))
	must.LessEq(t, 16<<10, len(data))
}

// Guards against a malformed record that is decoded as an assignment.
func TestDecodeMalformedRecords(t *testing.T) {
	good, err := Encode(newAssignment(2, 2))
	must.NoError(t, err)
	var d recordDocument
	must.NoError(t, json.Unmarshal(good, &d))
	for name, rows := range map[string][]uint64{
		"no width": {0, 1, 1, 0}, "too wide": {shards.KeyCount + 1, 1, 1, 0}, "unlisted holder": {5, 3, 1, 0},
		"cut short": {5, 1}, "handover cut short": {5, 1, 1, 9}, "long handover": {5, 1, 1, maxHandoverBytes + 1},
		"fence out of range": {5, 1, 1 << 63, 0},
	} {
		var plain []byte
		for _, n := range rows {
			plain = binary.AppendUvarint(plain, n)
		}
		d.Rows, err = compressRows(plain)
		must.NoError(t, err)
		data, err := json.Marshal(d)
		must.NoError(t, err)
		_, err = Decode(data)
		var e *Error
		must.True(t, errors.As(err, &e), must.Sprint(name))
	}
	_, err = Decode(good[:len(good)/2])
	must.Error(t, err)
	a := newAssignment(2, 2)
	a.Rows[1].From++
	_, err = Encode(a)
	must.Error(t, err)
}

// Guards against a panic on bytes that another program wrote.
func FuzzDecode(f *testing.F) {
	good, err := Encode(newAssignment(3, 2))
	must.NoError(f, err)
	f.Add(good)
	f.Add([]byte(`{"rows":"AAAA"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := Decode(data)
		if err != nil {
			return
		}
		for i, r := range a.Rows {
			must.LessEq(t, shards.KeyCount-1, r.To, must.Sprint(i))
		}
	})
}

func BenchmarkDecode(b *testing.B) {
	data, err := Encode(newAssignment(58, 64))
	must.NoError(b, err)
	for b.Loop() {
		if _, err := Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}
