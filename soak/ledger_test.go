package soak

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/standin/keyed"
)

func sent(id string, once bool) Sent {
	return Sent{At: time.Second, ID: id, Service: "prices", Target: "/enter/" + id, Once: once}
}

func began(id, server string) Began {
	return Began{At: 1100 * time.Millisecond, Server: server, Service: "prices", Expected: "prices",
		Run: keyed.Request{ID: id, Method: "POST", Target: "/enter/" + id, Caller: "prices"}}
}

func ended(id string, status int) Ended {
	return Ended{At: 1200 * time.Millisecond, ID: id, Status: status, Signed: true, Target: "/enter/" + id, Body: "POST /enter/" + id + " 0 prices"}
}

func row(from, to int, fence int64) []keyed.KeyRange {
	return []keyed.KeyRange{{From: from, To: to, Fence: fence}}
}

// Guards against a check that cannot fail: each list of events breaks one
// promise, and without its last event none.
func TestEachCheckFails(t *testing.T) {
	unlike := func(change func(*Began)) Began {
		b := began("a", "s1")
		change(&b)
		return b
	}
	answer := func(change func(*Ended)) Ended {
		e := ended("a", 200)
		change(&e)
		return e
	}
	const s = time.Second
	for name, c := range map[string]struct {
		rule   string
		events []Event
	}{
		"second run":         {"twice", []Event{sent("a", true), began("a", "s1"), began("a", "s2")}},
		"refused after run":  {"refused", []Event{sent("a", true), began("a", "s1"), ended("a", 503)}},
		"run after refusal":  {"refused", []Event{sent("a", true), ended("a", 429), began("a", "s1")}},
		"unknown request":    {"unasked", []Event{sent("a", true), began("b", "s1")}},
		"changed target":     {"unasked", []Event{sent("a", true), unlike(func(b *Began) { b.Run.Target = "/other/" })}},
		"wrong caller":       {"unasked", []Event{sent("a", true), unlike(func(b *Began) { b.Run.Caller = "reports" })}},
		"wrong service":      {"route", []Event{sent("a", true), unlike(func(b *Began) { b.Service = "reports" })}},
		"late after a leave": {"drain", []Event{sent("a", true), Left{At: 0, Server: "s1"}, unlike(func(b *Began) { b.At = 3 * s })}},
		"no signature":       {"mixed", []Event{sent("a", true), began("a", "s1"), answer(func(e *Ended) { e.Signed = false })}},
		"another's answer":   {"mixed", []Event{sent("a", true), began("a", "s1"), answer(func(e *Ended) { e.Body = "POST /enter/b 0 prices" })}},
		"answer without run": {"mixed", []Event{sent("a", true), ended("a", 200)}},
		"more than slots":    {"slots", []Event{Crowded{s, "s1", 9, 8}}},
		"end by itself":      {"process", []Event{Crashed{s, "node-1", "exit status 2"}}},
		"not served":         {"recovery", []Event{Unserved{s, "64 keys are not held"}}},
		"late configuration": {"configuration", []Event{Late{s, 3 * s, "node-1", "404"}}},
		"two holders":        {"owner", []Event{Holds{s, 4 * s, "s1", row(0, 99, 1)}, Holds{2 * s, 5 * s, "s2", row(50, 60, 2)}}},
		"fence goes back":    {"fence", []Event{Holds{s, 2 * s, "s1", row(0, 99, 5)}, Holds{3 * s, 5 * s, "s2", row(50, 60, 5)}}},
		"cut when calm":      {"lost", []Event{sent("a", true), began("a", "s1"), answer(func(e *Ended) { e.Status = 0 })}},
	} {
		for last, want := range map[bool]int{false: 0, true: 1} {
			l := NewLedger()
			events := c.events
			if !last {
				events = events[:len(events)-1]
			}
			for _, e := range events {
				e.apply(l)
			}
			found, _ := l.Judge()
			must.SliceLen(t, want, found, must.Sprint(name, found))
			if last {
				must.Eq(t, c.rule, found[0].Rule, must.Sprint(name))
			}
		}
	}
}

// Guards against requests that count as lost although a disturbance, or the
// time of their cut, excuses it.
func TestExcusedCuts(t *testing.T) {
	cut := ended("a", 0)
	for _, events := range [][]Event{
		{Disturbed{0, 500 * time.Millisecond}, sent("a", true), began("a", "s1"), cut},
		{sent("a", true), Ended{At: time.Second + readWithin/2, ID: "a"}},
		{sent("a", true), Ended{At: 3 * time.Second, ID: "a", Refused: true}},
	} {
		l := NewLedger()
		for _, e := range events {
			e.apply(l)
		}
		found, _ := l.Judge()
		must.SliceEmpty(t, found)
	}
}

// Guards against a budget check that forgives any number of repeats.
func TestBudgetCheck(t *testing.T) {
	l := NewLedger()
	for i := range budgetFloor + 40 {
		id := string(rune('a' + i))
		sent(id, false).apply(l)
		began(id, "s1").apply(l)
		began(id, "s2").apply(l)
	}
	found, _ := l.Judge()
	must.SliceLen(t, 1, found)
	must.Eq(t, "budget", found[0].Rule)
}

// Guards against a recovery check that passes without requests.
func TestServedCheck(t *testing.T) {
	l := NewLedger()
	l.served(0, time.Second)
	for i := range 100 {
		id := string(rune('a' + i))
		sent(id, false).apply(l)
		began(id, "s1").apply(l)
		if i < 98 {
			ended(id, 200).apply(l)
		}
	}
	l.served(time.Second, 2*time.Second)
	found, _ := l.Judge()
	must.SliceLen(t, 1, found)
	ended("a", 503).apply(l)
	l.served(time.Second, 2*time.Second)
	found, _ = l.Judge()
	must.SliceLen(t, 2, found)
}

// Guards against plans that differ from run to run, and against unplanned steps
// in a run of planned work.
func TestPlanFollowsSeed(t *testing.T) {
	s := Shape{Keyed: 4, Plain: 2, Trouble: time.Minute, Gap: 500 * time.Millisecond}
	must.Eq(t, Plan(3, s), Plan(3, s))
	must.NotEq(t, Plan(3, s), Plan(4, s))
	seen := map[Kind]bool{}
	for _, x := range Plan(3, s) {
		seen[x.Kind] = true
		must.Between(t, 0, x.Node, s.Nodes()-1)
	}
	must.MapLen(t, int(kinds), seen)
	s.Planned = true
	for _, x := range Plan(3, s) {
		must.True(t, x.Kind.Planned())
	}
}
