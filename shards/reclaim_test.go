package shards

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against keys that change hands without a trace of why their former holder was
// taken to hold them no more.
func TestReclaimsTellWhyRunsLoseKeys(t *testing.T) {
	lost, later, other := Holder{Node: "n", Instance: "i", Born: 1}, Holder{Node: "n", Instance: "j", Born: 2}, Holder{Node: "o", Instance: "o", Born: 1}
	for name, test := range map[string]struct {
		request LeaseRequest
		after   time.Duration
		want    []Reclaim
	}{
		"released":     {LeaseRequest{Holder: lost, Ready: true, Freed: []Release{{ID: 1, Span: Span{5, 14}, Holder: lost, Fence: 1}}}, 0, []Reclaim{{lost, Released, 10, stretchForDrift(3 * time.Second)}}},
		"run ended":    {LeaseRequest{Holder: NoHolder, Over: []Holder{lost}}, 0, []Reclaim{{lost, RunEnded, KeyCount, 0}}},
		"run replaced": {LeaseRequest{Holder: later, Ready: true}, 0, []Reclaim{{lost, RunReplaced, KeyCount, 0}}},
		"lease ended":  {LeaseRequest{Holder: lost, Ready: true}, 4 * time.Second, []Reclaim{{lost, LeaseEnded, KeyCount, 0}}},
	} {
		t.Run(name, func(t *testing.T) {
			record := Assignment{Service: "s", NextFence: 2, Rows: []Row{{Span: Span{0, KeyCount - 1}, Holder: lost, Fence: 1}}}
			record = record.WithCoordinator("c", 1)
			c := NewCoordinator(DefaultTiming(), "c", 1)
			c.TakeOver(testStart, testStart, record, 1, FormerNone, true)
			test.request.Node, test.request.Incarnation, test.request.Term, test.request.Slots = "n", 1, 1, 4
			c.HandleRequest(testStart, test.request)
			now := testStart.Add(test.after)
			c.HandleRequest(now, LeaseRequest{Node: "o", Incarnation: 1, Term: 1, Holder: other, Ready: true, Slots: 4})
			_, ok := c.Plan(now)
			must.True(t, ok)
			must.Eq(t, test.want, c.Reclaims())
		})
	}
}
