package intent

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
)

const exampleText = `{
	// two services of one customer
	"services": [
		{"name": "hintapalvelu", "region": "fi-south", "groups": 1, "slots": 17, "connections": 130,
		 "objectives": [{"kind": "short", "availability": 0.999, "latency_ms": 18, "latency_share": 0.99}],
		 "customers": [{"name": "quiet", "weight": 1}, {"name": "noisy", "weight": 2}]},
		{"name": "raportit", "region": "fi-south", "slots": 17, "connections": 130},
	],
}`

// decodeExample decodes exampleText after replacing pairs of old and new text.
func decodeExample(t testing.TB, replace ...string) Declaration {
	d, err := Decode([]byte(strings.NewReplacer(replace...).Replace(exampleText)))
	must.NoError(t, err)
	return d
}

// Guards against an error that lists only the first fault, or faults without
// line, field and requirement.
func TestDecodeReportsEveryFault(t *testing.T) {
	text := strings.NewReplacer(`"slots": 17, "connections": 130,`, `"slots": "x", "conections": 1,`,
		"0.999", "1.5", `"weight": 2`, `"weight": 0`, `"short"`, `"medium"`).Replace(exampleText)
	_, err := Decode([]byte(text))
	var faults Faults
	must.True(t, errors.As(err, &faults))
	var got []string
	for _, f := range faults {
		got = append(got, f.Error())
	}
	must.Eq(t, []string{
		"line 4: services[0].slots: must be a whole number from 1 to 100000",
		"line 4: services[0].conections: is not a known field",
		`line 5: services[0].objectives[0].kind: must be "short" or "long"`,
		"line 5: services[0].objectives[0].availability: must be a number from 0.5 to 0.99999",
		"line 6: services[0].customers[1].weight: must be a whole number from 1 to 1000",
		"line 4: services[0]: must have the field connections",
	}, got)
}

// Guards against declarations whose fields contradict each other.
func TestValidateReportsContradictions(t *testing.T) {
	d := decodeExample(t)
	d.Services[1].Name = "hintapalvelu"
	d.Services[0].Connections = 16
	d.Services[0].Constraints = []Constraint{
		{Name: "a", Keys: []string{"k"}, Node: "n1"},
		{Name: "b", Keys: []string{"k"}, Node: "n2", DataCentres: []core.DataCentre{"x"}},
		{Name: "c", Node: "n1"},
	}
	var faults Faults
	must.True(t, errors.As(d.Validate(), &faults))
	must.Eq(t, 5, len(faults), must.Sprint(faults.Error()))
}

func fleetOf(nodes int) FleetState {
	s := FleetState{}
	for i := range nodes {
		s["hintapalvelu"] = append(s["hintapalvelu"], NodeState{
			Node: core.NodeID(fmt.Sprintf("n%d", i)), DataCentre: core.DataCentre(fmt.Sprintf("dc%d", i%4)),
			Ranges: []core.Range{GroupRange(i, nodes)}, PeakInFlight: 10,
		})
	}
	return s
}

func mustPlan(t testing.TB, base Config, want Declaration, s FleetState) Plan {
	p, err := ComputePlan(base, want, s)
	must.NoError(t, err)
	return p
}

func testConfig(t testing.TB) Config { return Config{Revision: 7, Declaration: decodeExample(t)} }

// Guards against drains beyond drain_share, and against a plan that does not
// show the moves and the load that a drain causes.
func TestPlanDrain(t *testing.T) {
	c := testConfig(t)
	want, err := c.Declaration.WithDrain("hintapalvelu", "n1", true)
	must.NoError(t, err)
	want, err = want.WithDrain("hintapalvelu", "n2", true)
	must.NoError(t, err)
	want, err = want.WithDrain("hintapalvelu", "absent", true)
	must.NoError(t, err)
	p := mustPlan(t, c, want, fleetOf(8))
	must.Eq(t, []Change{{Field: `services[hintapalvelu].drains["n1"]`, To: `"n1"`}}, p.Changes)
	must.Eq(t, 2, len(p.Refusals))
	must.Eq(t, "1 of 8 nodes may drain at a time", p.Refusals[0].Reason)
	must.Eq(t, 1, len(p.Moves))
	must.Eq(t, "n1", p.Moves[0].From)
	must.Eq(t, 0.125, p.Effects[0].Churn)
	must.Eq(t, 50, p.Effects[0].KeyUnavailableMs)
	must.Eq(t, 10.0/17, p.Effects[0].PeakBefore)
	must.Eq(t, 20.0/17, p.Effects[0].PeakAfter)
}

// Guards against drains beyond drain_share when nodes that shut down already
// drain: they must count.
func TestPlanDrainCountsStoppingNodes(t *testing.T) {
	c, s := testConfig(t), fleetOf(8)
	s["hintapalvelu"][5].Draining = true
	want, err := c.Declaration.WithDrain("hintapalvelu", "n1", true)
	must.NoError(t, err)
	p := mustPlan(t, c, want, s)
	must.Eq(t, 0, len(p.Changes))
	must.Eq(t, "drain n1", p.Refusals[0].Action)
}

// Guards against a plan that does not move pinned keys to their node, or that
// leaves out a constraint without a refusal.
func TestPlanConstraints(t *testing.T) {
	c, s := testConfig(t), fleetOf(4)
	want := decodeExample(t)
	want.Services[0].Constraints = []Constraint{
		{Name: "pin", Keys: []string{"helsinki", "turku", "oulu"}, Node: "n3"},
		{Name: "absent", Keys: []string{"vaasa"}, Node: "n9"},
	}
	p := mustPlan(t, c, want, s)
	must.Positive(t, len(p.Moves))
	for _, m := range p.Moves {
		must.Eq(t, m.Lo, m.Hi)
		must.Eq(t, "n3", m.To)
		must.Eq(t, "constraint pin", m.Cause)
	}
	must.Eq(t, "apply constraint absent", p.Refusals[0].Action)

	want.Services[0].Constraints = []Constraint{{Name: "stay", DataCentres: []core.DataCentre{"dc0", "dc1"}}}
	p = mustPlan(t, c, want, s)
	must.Eq(t, 2, len(p.Moves))
	must.Eq(t, 0.5, p.Effects[0].Churn)
	must.Eq(t, 20.0/17, p.Effects[0].PeakAfter)
}

// Guards against a plan that removes a service with nodes, changes its region,
// or lowers its slots below the requests in flight at peak.
func TestPlanRefusals(t *testing.T) {
	want := decodeExample(t, "fi-south", "om-north", `"slots": 17`, `"slots": 9`)
	p := mustPlan(t, testConfig(t), want, fleetOf(4))
	s, _ := p.Result.Service("hintapalvelu")
	must.Eq(t, "fi-south", string(s.Region))
	must.Eq(t, 17, s.Slots)
	must.Eq(t, 2, len(p.Refusals))
	p = mustPlan(t, testConfig(t), Declaration{}, fleetOf(4))
	must.Eq(t, 1, len(p.Result.Services)) // raportit has no nodes
	must.Eq(t, "remove the service", p.Refusals[0].Action)
}

// Guards against a plan that omits parts of the key space that change group
// when the number of groups changes.
func TestPlanRegroup(t *testing.T) {
	c, want := testConfig(t), decodeExample(t, `"groups": 1`, `"groups": 2`)
	p := mustPlan(t, c, want, fleetOf(4))
	must.Eq(t, 0.5, p.Effects[0].Churn)
	must.Eq(t, Move{"hintapalvelu", "8000000000000000", "ffffffffffffffff", "group 0", "group 1", "groups changed"}, p.Moves[0])
}

// Guards against a hash that belongs to no group or to two.
func TestGroupRanges(t *testing.T) {
	for _, groups := range []int{1, 2, 3, 7, 225, 4096} {
		next := core.Hash(0)
		for g := range groups {
			r := GroupRange(g, groups)
			must.Eq(t, next, r.Lo)
			must.Eq(t, g, GroupOf(r.Lo, groups))
			must.Eq(t, g, GroupOf(r.Hi, groups))
			next = r.Hi + 1
		}
		must.Eq(t, 0, next)
	}
}

// Guards against a confirmation that overwrites another operator's change or
// takes effect twice, and against a conflict that does not list the changes.
func TestConfirm(t *testing.T) {
	c := testConfig(t)
	a := mustPlan(t, c, decodeExample(t, `"weight": 2`, `"weight": 3`), nil)
	b := mustPlan(t, c, decodeExample(t, "0.999", "0.99"), nil)
	next, err := Confirm(c, a, Confirmation{By: "aino", AtMs: 5, Cause: "demand"})
	must.NoError(t, err)
	must.Eq(t, 8, next.Revision)
	again, err := Confirm(next, a, Confirmation{By: "aino"})
	must.NoError(t, err)
	must.Eq(t, 8, again.Revision)

	_, err = Confirm(next, b, Confirmation{})
	var conflict *ConflictError
	must.True(t, errors.As(err, &conflict))
	must.Eq(t, "made from revision 7, but revision 8 is current; revision 8 by aino: "+
		"services[hintapalvelu].customers[noisy].weight changed from 2 to 3", err.Error())
	must.False(t, conflict.Incomplete)

	b.Result.Services[0].Slots = 1
	var faults Faults
	_, err = Confirm(c, b, Confirmation{})
	must.True(t, errors.As(err, &faults))

	same, err := Confirm(c, mustPlan(t, c, decodeExample(t), nil), Confirmation{})
	must.NoError(t, err)
	must.Eq(t, 7, same.Revision)
}

// Guards against revisions that decrease, lost changes and unbounded history
// when operators confirm concurrently.
func TestConcurrentConfirmations(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 1))
		c := testConfig(t)
		var pending []Plan
		accepted := 0
		for range 200 {
			slots := fmt.Sprintf(`"slots": %d`, 1+rng.IntN(50))
			pending = append(pending, mustPlan(t, c, decodeExample(t, `"slots": 17`, slots), nil))
			p := pending[rng.IntN(len(pending))]
			next, err := Confirm(c, p, Confirmation{})
			var conflict *ConflictError
			switch {
			case errors.As(err, &conflict):
				must.NotEq(t, p.Base, c.Revision)
				must.Positive(t, len(conflict.LaterEntries))
			case next.Revision == c.Revision+1:
				must.Eq(t, p.Base, c.Revision)
				must.Eq(t, 0, len(Diff(p.Result, next.Declaration)))
				accepted++
			default:
				must.Eq(t, c.Revision, next.Revision)
			}
			if err == nil {
				c = Newer(c, next)
			}
			must.Eq(t, 7+core.Revision(accepted), c.Revision)
			must.LessEq(t, maxHistoryEntries, len(c.History))
		}
		data, err := Encode(c)
		must.NoError(t, err)
		back, err := DecodeConfig(data)
		must.NoError(t, err)
		must.Eq(t, c, back)
	}
}

// Guards against input that crashes the decoder, and against a declaration
// that changes when it is stored and read back.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(exampleText))
	f.Add([]byte(`{"services":[{"name":"a","region":"b","slots":1,"connections":1,"drain_share":0.1,
		"constraints":[{"name":"c","keys":["k"],"node":"n"}],"drains":["n"],"quarantines":["q"]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Decode(data)
		var faults Faults
		if err != nil {
			must.True(t, errors.As(err, &faults))
			return
		}
		stored, err := Encode(Config{Declaration: d})
		must.NoError(t, err)
		back, err := DecodeConfig(stored)
		must.NoError(t, err)
		must.Eq(t, 0, len(Diff(d, back.Declaration)))
		must.NoError(t, back.Declaration.Validate())
	})
}

// Guards against a small compressed object that expands without bound.
func TestDecompressionIsBounded(t *testing.T) {
	b, err := compress(make([]byte, 2*maxPlainBytes))
	must.NoError(t, err)
	_, err = DecodeConfig(b)
	var faults Faults
	must.True(t, errors.As(err, &faults))
	must.StrContains(t, faults[0].Limit, "after decompression")
}
