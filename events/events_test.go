package events

import (
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"marjoramshore.example/core"
)

// A fixed seed gives CI the same cases on every run; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func refusal(at time.Duration, customer string) Event {
	return Event{Type: RefusalBurst, At: start.Add(at), Service: "s", Customer: core.Customer(customer), Code: core.CodeOverloaded}
}

// Guards against a journal that outgrows its limits, reuses a sequence or
// loses an event other than the oldest.
func TestBoundsAndOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Events: rapid.IntRange(1, 40).Draw(t, "events"), Bytes: rapid.IntRange(2000, 12000).Draw(t, "bytes"),
			Fold: time.Second, FoldMax: 10 * time.Second, Bursts: 4}
		j := New(l)
		var total uint64
		at := time.Duration(0)
		for range rapid.IntRange(0, 200).Draw(t, "n") {
			at += time.Duration(rapid.IntRange(0, 1500).Draw(t, "gap")) * time.Millisecond
			e := refusal(at, rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "customer"))
			if rapid.Bool().Draw(t, "other") {
				e.Type, e.Cause = Takeover, strings.Repeat("x", rapid.IntRange(0, 900).Draw(t, "cause"))
			}
			j.Record(e)
			total++
			st := j.Stats()
			must.LessEq(t, l.Events, st.Events)
			must.LessEq(t, l.Bytes, st.Bytes)
			must.LessEq(t, 2*l.Bursts, len(j.open))
		}
		res := j.Query(Query{Limit: 1000})
		must.Eq(t, j.Stats().Events, len(res.Events))
		size, kept := 0, uint64(0)
		for i, e := range res.Events {
			must.Eq(t, res.Events[0].Sequence+uint64(i), e.Sequence)
			size += e.size()
			kept += e.Count
		}
		must.Eq(t, j.Stats().Bytes, size)
		if j.Stats().Dropped == 0 {
			must.Eq(t, total, kept)
		}
	})
}

// Guards against a refusal storm that pushes every other event out, and
// against a burst that hides another customer's refusals or never ends.
func TestBurstsFold(t *testing.T) {
	j := New(DefaultLimits())
	j.Record(Event{Type: Takeover, At: start, Service: "s", Term: 3, Cause: "coordinator silent"})
	for i := range 200_000 {
		j.Record(refusal(time.Duration(i)*100*time.Microsecond, "noisy"))
	}
	j.Record(refusal(20*time.Second, "quiet"))
	res := j.Query(Query{})
	must.Len(t, 3, res.Events)
	must.Eq(t, 200_000, res.Events[1].Count)
	must.Eq(t, "overloaded", res.Events[1].Reason)
	must.Eq(t, "quiet", string(res.Events[2].Customer))
	for i := range 50_000 {
		j.Record(refusal(20*time.Second+time.Duration(i)*time.Microsecond, fmt.Sprint("crowd-", i)))
	}
	must.LessEq(t, 260, j.Stats().Events)
	must.Len(t, 1, j.Query(Query{Customer: ManyCustomers}).Events)
	for i := range 300 {
		j.Record(refusal(30*time.Second+time.Duration(i)*time.Second, "lasting"))
	}
	must.Len(t, 5, j.Query(Query{Customer: "lasting"}).Events)
}

// Guards against queries that miss or add events by key, service, type, time
// or page.
func TestQuery(t *testing.T) {
	j := New(DefaultLimits())
	h := core.HashKey("k")
	in, out := core.Range{Lo: h - 1, Hi: h + 1}, core.Range{Lo: h + 2, Hi: h + 9}
	for i, e := range []Event{
		{Type: OwnershipChange, Service: "s", Range: &in, Node: "n1", Term: 4, Revision: 9, Cause: "move"},
		{Type: OwnershipChange, Service: "s", Range: &out, Node: "n2"},
		{Type: OwnershipChange, Service: "other", Range: &in},
		{Type: Takeover, Service: "s", Term: 5},
		{Type: Configuration, Revision: 10},
	} {
		e.At = start.Add(time.Duration(i) * time.Minute)
		j.Record(e)
	}
	seqs := func(q Query) string {
		var out []string
		for _, e := range j.Query(q).Events {
			out = append(out, fmt.Sprint(e.Sequence))
		}
		return strings.Join(out, " ")
	}
	key := "k"
	must.Eq(t, "1 4", seqs(Query{Service: "s", Key: &key}))
	must.Eq(t, "1", seqs(Query{Service: "s", Key: &key, Types: []Type{OwnershipChange}}))
	must.Eq(t, "2 4", seqs(Query{Service: "s", Range: &core.Range{Lo: h + 5, Hi: h + 5}}))
	must.Eq(t, "3 4", seqs(Query{Since: start.Add(2 * time.Minute), Until: start.Add(3 * time.Minute)}))
	must.Eq(t, "5 4", seqs(Query{NewestFirst: true, Limit: 2}))
	must.Eq(t, "3 4 5", seqs(Query{After: 2}))
	must.Eq(t, "2", seqs(Query{Node: "n2"}))
	must.True(t, j.Query(Query{Limit: 2}).More)
	b, err := json.Marshal(j.Query(Query{Limit: 1}))
	must.NoError(t, err)
	must.StrContains(t, string(b), `"type":"ownership-change"`)
}

// Guards against a reader that does not notice overwritten events.
func TestLost(t *testing.T) {
	l := DefaultLimits()
	l.Events = 10
	j := New(l)
	for range 30 {
		j.Record(Event{Type: NodeJoined, At: start, Cause: strings.Repeat("é", 400)})
	}
	must.True(t, j.Query(Query{After: 5}).Lost)
	must.False(t, j.Query(Query{After: 20}).Lost)
	must.LessEq(t, maxText, len(j.Query(Query{}).Events[0].Cause))
}
