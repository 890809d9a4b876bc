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

// Guards against a journal that exceeds its limits, reuses a sequence, or drops
// an event other than the oldest.
func TestLimitsAndSequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxEvents: rapid.IntRange(1, 40).Draw(t, "events"), MaxBytes: rapid.IntRange(2000, 12000).Draw(t, "bytes"),
			MergeWindow: time.Second, MaxBurstDuration: 10 * time.Second, MaxOpenBursts: 4}
		j := New(limits)
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
			stats := j.Stats()
			must.LessEq(t, limits.MaxEvents, stats.Events)
			must.LessEq(t, limits.MaxBytes, stats.Bytes)
			must.LessEq(t, 2*limits.MaxOpenBursts, len(j.openBursts))
		}
		res := j.Query(Query{Limit: 1000})
		must.Eq(t, j.Stats().Events, len(res.Events))
		size, kept := 0, uint64(0)
		for i, e := range res.Events {
			must.Eq(t, res.Events[0].Sequence+uint64(i), e.Sequence)
			size += e.memorySize()
			kept += e.Count
		}
		must.Eq(t, j.Stats().Bytes, size)
		if j.Stats().Dropped == 0 {
			must.Eq(t, total, kept)
		}
	})
}

// Guards against many refusals that evict every other event, against a burst
// that hides the refusals of another customer, and against a burst without end.
func TestRefusalBurstsMerge(t *testing.T) {
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

// Guards against queries that miss matching events or return others, by key,
// service, type, time or page.
func TestQuery(t *testing.T) {
	j := New(DefaultLimits())
	h := core.HashKey("k")
	inside, outside := core.Range{Lo: h - 1, Hi: h + 1}, core.Range{Lo: h + 2, Hi: h + 9}
	for i, e := range []Event{
		{Type: OwnershipChange, Service: "s", Range: &inside, Node: "n1", Term: 4, Revision: 9, Cause: "move"},
		{Type: OwnershipChange, Service: "s", Range: &outside, Node: "n2"},
		{Type: OwnershipChange, Service: "other", Range: &inside},
		{Type: Takeover, Service: "s", Term: 5},
		{Type: Configuration, Revision: 10},
	} {
		e.At = start.Add(time.Duration(i) * time.Minute)
		j.Record(e)
	}
	sequences := func(q Query) string {
		var out []string
		for _, e := range j.Query(q).Events {
			out = append(out, fmt.Sprint(e.Sequence))
		}
		return strings.Join(out, " ")
	}
	key := "k"
	must.Eq(t, "1 4", sequences(Query{Service: "s", Key: &key}))
	must.Eq(t, "1", sequences(Query{Service: "s", Key: &key, Types: []Type{OwnershipChange}}))
	must.Eq(t, "2 4", sequences(Query{Service: "s", Range: &core.Range{Lo: h + 5, Hi: h + 5}}))
	must.Eq(t, "3 4", sequences(Query{Since: start.Add(2 * time.Minute), Until: start.Add(3 * time.Minute)}))
	must.Eq(t, "5 4", sequences(Query{NewestFirst: true, Limit: 2}))
	must.Eq(t, "3 4 5", sequences(Query{After: 2}))
	must.Eq(t, "2", sequences(Query{Node: "n2"}))
	must.True(t, j.Query(Query{Limit: 2}).More)
	b, err := json.Marshal(j.Query(Query{Limit: 1}))
	must.NoError(t, err)
	must.StrContains(t, string(b), `"type":"ownership-change"`)
}

// Guards against overwritten events that a reader cannot detect, and against
// texts that are not truncated.
func TestQueryReportsLostEvents(t *testing.T) {
	limits := DefaultLimits()
	limits.MaxEvents = 10
	j := New(limits)
	for range 30 {
		j.Record(Event{Type: NodeJoined, At: start, Cause: strings.Repeat("é", 400)})
	}
	must.True(t, j.Query(Query{After: 5}).Lost)
	must.False(t, j.Query(Query{After: 20}).Lost)
	must.LessEq(t, maxTextBytes, len(j.Query(Query{}).Events[0].Cause))
}
