package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/standin/keyed"
)

func sentRequest(id string, atMostOnce bool) SentRequest {
	return SentRequest{At: time.Second, ID: id, Service: "prices", Target: "/enter/" + id, AtMostOnce: atMostOnce}
}

func requestStart(id, server string) RequestStart {
	return RequestStart{At: 1100 * time.Millisecond, Server: server, Service: "prices", ExpectedCaller: "prices",
		Execution: keyed.Request{ID: id, Method: "POST", Target: "/enter/" + id, Caller: "prices"}}
}

func requestEnd(id string, status int) RequestEnd {
	return RequestEnd{At: 1200 * time.Millisecond, ID: id, Status: status, Signed: status == 200, Target: "/enter/" + id, Body: "POST /enter/" + id + " 0 prices"}
}

func rangeWithFence(from, to int, fence int64) []keyed.KeyRange {
	return []keyed.KeyRange{{From: from, To: to, Fence: fence}}
}

// Guards against a check that cannot fail: each list of events violates one
// guarantee, and without its last event none.
func TestEachCheckDetectsItsViolation(t *testing.T) {
	startWith := func(change func(*RequestStart)) RequestStart {
		start := requestStart("a", "s1")
		change(&start)
		return start
	}
	endWith := func(change func(*RequestEnd)) RequestEnd {
		end := requestEnd("a", 200)
		change(&end)
		return end
	}
	const second = time.Second
	for name, test := range map[string]struct {
		rule   string
		events []Event
	}{
		"second execution":            {"twice", []Event{sentRequest("a", true), requestStart("a", "s1"), requestStart("a", "s2")}},
		"refused after execution":     {"refused", []Event{sentRequest("a", true), requestStart("a", "s1"), requestEnd("a", 503)}},
		"execution after refusal":     {"refused", []Event{sentRequest("a", true), requestEnd("a", 429), requestStart("a", "s1")}},
		"unknown request":             {"unasked", []Event{sentRequest("a", true), requestStart("b", "s1")}},
		"changed target":              {"unasked", []Event{sentRequest("a", true), startWith(func(b *RequestStart) { b.Execution.Target = "/other/" })}},
		"wrong caller":                {"unasked", []Event{sentRequest("a", true), startWith(func(b *RequestStart) { b.Execution.Caller = "reports" })}},
		"wrong service":               {"route", []Event{sentRequest("a", true), startWith(func(b *RequestStart) { b.Service = "reports" })}},
		"request after drain":         {"drain", []Event{sentRequest("a", true), LeaveAck{At: 0, Server: "s1"}, startWith(func(b *RequestStart) { b.At = 3 * second })}},
		"no signature":                {"mixed", []Event{sentRequest("a", true), requestStart("a", "s1"), endWith(func(e *RequestEnd) { e.Signed = false })}},
		"response of another request": {"mixed", []Event{sentRequest("a", true), requestStart("a", "s1"), endWith(func(e *RequestEnd) { e.Body = "POST /enter/b 0 prices" })}},
		"response without execution":  {"mixed", []Event{sentRequest("a", true), requestEnd("a", 200)}},
		"answer with another ID":      {"mixed", []Event{sentRequest("a", true), requestStart("a", "s1"), endWith(func(e *RequestEnd) { e.Status, e.Signed, e.AnswerID = 502, false, "b" })}},
		"signature of another answer": {"mixed", []Event{sentRequest("a", true), requestStart("a", "s1"), endWith(func(e *RequestEnd) { e.Status = 502 })}},
		"bytes without a request":     {"mixed", []Event{UnsolicitedBytes{second, "node-1", 64}}},
		"cut off after it was read":   {"lost", []Event{sentRequest("a", true), endWith(func(e *RequestEnd) { e.At, e.Status, e.Signed, e.ReadByNode = second, 0, false, true })}},
		"execution after withdrawal":  {"gone", []Event{sentRequest("a", true), endWith(func(e *RequestEnd) { e.Status, e.Signed, e.Left = 0, false, true }), startWith(func(b *RequestStart) { b.At = 2 * second })}},
		"more than slots":             {"slots", []Event{SlotOverrun{second, "s1", 9, 8}}},
		"process failure":             {"process", []Event{ProcessFailure{second, "node-1", "exit status 2"}}},
		"keys not held":               {"recovery", []Event{FailedRecovery{second, "64 keys have no holder"}}},
		"stale configuration":         {"configuration", []Event{StaleConfig{second, 3 * second, "node-1", "404"}}},
		"two holders":                 {"owner", []Event{HeldRanges{second, 4 * second, "s1", rangeWithFence(0, 99, 1)}, HeldRanges{2 * second, 5 * second, "s2", rangeWithFence(50, 60, 2)}}},
		"fence not increased":         {"fence", []Event{HeldRanges{second, 2 * second, "s1", rangeWithFence(0, 99, 5)}, HeldRanges{3 * second, 5 * second, "s2", rangeWithFence(50, 60, 5)}}},
		"no response without a fault": {"lost", []Event{sentRequest("a", true), requestStart("a", "s1"), endWith(func(e *RequestEnd) { e.Status = 0 })}},
	} {
		for withViolation, want := range map[bool]int{false: 0, true: 1} {
			checker := NewChecker()
			events := test.events
			if !withViolation {
				events = events[:len(events)-1]
			}
			for _, e := range events {
				e.apply(checker)
			}
			found, _ := checker.Finish()
			must.SliceLen(t, want, found, must.Sprint(name, found))
			if withViolation {
				must.Eq(t, test.rule, found[0].Rule, must.Sprint(name))
			}
		}
	}
}

// Guards against counting a request as lost when it got no response because of
// a fault, was cut off before the node can have read it, or was never connected.
func TestExcusesForMissingAnswers(t *testing.T) {
	noAnswer := requestEnd("a", 0)
	for _, events := range [][]Event{
		{FaultPeriod{0, 500 * time.Millisecond, Crash}, sentRequest("a", true), requestStart("a", "s1"), noAnswer},
		{sentRequest("a", true), RequestEnd{At: time.Second + requestReadTime/2, ID: "a"}},
		{sentRequest("a", true), RequestEnd{At: 3 * time.Second, ID: "a", NotConnected: true}},
	} {
		checker := NewChecker()
		for _, e := range events {
			e.apply(checker)
		}
		found, _ := checker.Finish()
		must.SliceEmpty(t, found)
	}
}

// Guards against a retry budget check that accepts any number of retries.
func TestRetryBudgetCheck(t *testing.T) {
	checker := NewChecker()
	for i := range retryBudgetMin + 40 {
		id := string(rune('a' + i))
		sentRequest(id, false).apply(checker)
		requestStart(id, "s1").apply(checker)
		requestStart(id, "s2").apply(checker)
	}
	found, _ := checker.Finish()
	must.SliceLen(t, 1, found)
	must.Eq(t, "budget", found[0].Rule)
}

// Guards against a limit check that accepts any number of requests, or that counts
// those of nodes that cannot know the limit yet.
func TestRateLimitCheck(t *testing.T) {
	for name, test := range map[string]struct {
		excuse Event
		want   int
	}{
		"known limit": {LeaveAck{}, 1}, "restarted node": {NodeExit{5 * time.Second}, 0}, "paused node": {FaultPeriod{0, 6 * time.Second, Pause}, 0},
	} {
		checker := NewChecker()
		ServerLimit{"s1", 2}.apply(checker)
		test.excuse.apply(checker)
		for i := range 33 { // 18 in 4 s, where 17 are allowed
			start := requestStart(fmt.Sprint("a", i), "s1")
			start.At += time.Duration(i) * 230 * time.Millisecond
			sentRequest(start.Execution.ID, false).apply(checker)
			start.apply(checker)
		}
		found, _ := checker.Finish()
		limits := slices.DeleteFunc(found, func(v Violation) bool { return v.Rule != "limit" })
		must.SliceLen(t, test.want, limits, must.Sprint(name, found))
	}
}

// Guards against a recovery check that passes when no request was sent, or with
// fewer answered requests than minAnsweredRatio demands.
func TestAnsweredRatioCheckNeedsRequests(t *testing.T) {
	checker := NewChecker()
	checker.checkAnsweredRatio(0, time.Second)
	for i := range 100 {
		id := string(rune('a' + i))
		sentRequest(id, false).apply(checker)
		requestStart(id, "s1").apply(checker)
		if i < 98 {
			requestEnd(id, 200).apply(checker)
		}
	}
	checker.checkAnsweredRatio(time.Second, 2*time.Second)
	found, _ := checker.Finish()
	must.SliceLen(t, 1, found)
	requestEnd("a", 503).apply(checker)
	checker.checkAnsweredRatio(time.Second, 2*time.Second)
	found, _ = checker.Finish()
	must.SliceLen(t, 2, found)
}

// Guards against plans that differ between runs of the same seed, and against
// faults in a plan of planned work only.
func TestPlanDependsOnSeedAndShape(t *testing.T) {
	shape := Shape{Keyed: 4, Plain: 2, Trouble: time.Minute, Gap: 500 * time.Millisecond}
	must.Eq(t, Plan(3, shape), Plan(3, shape))
	must.NotEq(t, Plan(3, shape), Plan(4, shape))
	seen := map[Kind]bool{}
	for _, step := range Plan(3, shape) {
		seen[step.Kind] = true
		must.Between(t, 0, step.Node, shape.Nodes()-1)
	}
	must.MapLen(t, int(Refuse), seen, must.Sprint("each kind that need not be named"))
	for _, step := range Plan(1, Shape{Keyed: 3, Plain: 1, Trouble: time.Minute, Gap: time.Second, Kinds: []Kind{Refuse}}) {
		must.Eq(t, Refuse, step.Kind)
	}
	shape.Planned = true
	for _, step := range Plan(3, shape) {
		must.True(t, step.Kind.Planned())
	}
}
