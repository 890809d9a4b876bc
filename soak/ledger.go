package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"marjoramshore.example/standin/keyed"
)

const (
	keys = 65536
	// drain is how long after its acknowledged leave a backend server gets
	// requests; part of the settings of every node.
	drain = 2 * time.Second
	// after is how long the effects of an unplanned disturbance excuse a cut
	// request.
	after = 3 * time.Second
	// readWithin is the time within which a node has read a request that it was
	// sent; one cut earlier may not have been read.
	readWithin = 200 * time.Millisecond
	// budgetRatio, budgetFloor and budgetWindow are the bound on repeats that
	// the settings state.
	budgetRatio  = 0.2
	budgetFloor  = 60
	budgetWindow = 10 * time.Second
)

// Violation is a promise that was broken.
type Violation struct {
	Rule, Detail string
	At           time.Duration
}

// String describes the violation for reports.
func (v Violation) String() string {
	return fmt.Sprintf("%.2fs %s: %s", v.At.Seconds(), v.Rule, v.Detail)
}

// Event is something that a caller, a backend server or the run itself saw.
type Event interface{ apply(*Ledger) }

// Sent tells that a caller sends a request.
type Sent struct {
	At                  time.Duration
	ID, Service, Target string
	// Once is set for requests that may run once at most.
	Once bool
}

// Ended tells how a request ended for its caller.
type Ended struct {
	At time.Duration
	ID string
	// Status is 0 when there was no whole answer, and Why tells the reason.
	Status int
	Why    string
	// Refused is set when no connection was established.
	Refused      bool
	Signed       bool
	Target, Body string
}

// Began tells that a backend server began to run a request.
type Began struct {
	At       time.Duration
	Server   string
	Service  string
	Expected string // caller service that the node must state
	Run      keyed.Request
}

// Holds tells what a backend server holds from now until an instant.
type Holds struct {
	At, Until time.Duration
	Server    string
	Rows      []keyed.KeyRange
}

// Crowded tells that a backend server runs more requests than it has slots.
type Crowded struct {
	At             time.Duration
	Server         string
	Running, Slots int64
}

// Gone tells that a backend server ended.
type Gone struct{ Server string }

// Left tells that a node acknowledged that a backend server leaves.
type Left struct {
	At     time.Duration
	Server string
}

// Disturbed tells that an unplanned disturbance lasts from an instant to another.
type Disturbed struct{ From, To time.Duration }

// Crashed tells that a process ended by itself.
type Crashed struct {
	At        time.Duration
	Node, Why string
}

// Late tells that a change is not in force on a node in time.
type Late struct {
	Sent, At  time.Duration
	Node, Why string
}

// Unserved tells of keys or requests that are not served after the recovery.
type Unserved struct {
	At  time.Duration
	Why string
}

type request struct {
	Sent
	begins []time.Duration
	ended  bool
	status int
}

type holder struct {
	rows  []keyed.KeyRange
	until time.Duration
}

// Ledger collects events and checks the promises. One goroutine owns it.
type Ledger struct {
	requests  map[string]*request
	holders   map[string]*holder
	fences    [keys]int64
	owners    [keys]string
	left      map[string]time.Duration
	disturbed []Disturbed
	cut       []Ended
	found     []Violation
	counts    Counts
}

// Counts sums up what callers saw.
type Counts struct {
	Sent, Answered, Refused, Failed, Cut, Runs, Grants int
	// PerSecond counts requests sent and answered by second of the run.
	PerSecond []Second
}

// Second is one second of a run.
type Second struct{ Sent, Answered int }

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{requests: make(map[string]*request), holders: make(map[string]*holder), left: make(map[string]time.Duration)}
}

func (l *Ledger) violate(at time.Duration, rule, format string, args ...any) {
	l.found = append(l.found, Violation{rule, fmt.Sprintf(format, args...), at})
}

func (c *Counts) second(at time.Duration) *Second {
	for len(c.PerSecond) <= int(at.Seconds()) {
		c.PerSecond = append(c.PerSecond, Second{})
	}
	return &c.PerSecond[int(at.Seconds())]
}

func (e Sent) apply(l *Ledger) {
	l.requests[e.ID] = &request{Sent: e}
	l.counts.Sent++
	l.counts.second(e.At).Sent++
}

func (e Began) apply(l *Ledger) {
	l.counts.Runs++
	if at, ok := l.left[e.Server]; ok && e.At > at+drain {
		l.violate(e.At, "drain", "request %s reached %s %v after its leave was acknowledged", e.Run.ID, e.Server, e.At-at)
	}
	r := l.requests[e.Run.ID]
	if r == nil {
		l.violate(e.At, "unasked", "%s ran %s %s with unknown id %q", e.Server, e.Run.Method, e.Run.Target, e.Run.ID)
		return
	}
	r.begins = append(r.begins, e.At)
	switch {
	case e.Run.Target != r.Target:
		l.violate(e.At, "unasked", "%s ran %s as %s", e.Server, r.Target, e.Run.Target)
	case e.Service != r.Service:
		l.violate(e.At, "route", "%s of service %s ran %s for %s", e.Server, e.Service, r.ID, r.Service)
	case e.Expected != "" && e.Run.Caller != e.Expected:
		l.violate(e.At, "unasked", "%s names caller %q, sent by %q", r.ID, e.Run.Caller, e.Expected)
	}
	if r.Once && len(r.begins) > 1 {
		l.violate(e.At, "twice", "%s ran %d times, at last on %s", r.ID, len(r.begins), e.Server)
	}
	if r.ended && promises(r.status) && r.Once {
		l.violate(e.At, "refused", "%s ran on %s after status %d", r.ID, e.Server, r.status)
	}
}

// promises reports whether a status says that the request has not run.
func promises(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

func (e Ended) apply(l *Ledger) {
	r := l.requests[e.ID]
	r.ended, r.status = true, e.Status
	switch {
	case e.Status == 0 && e.Refused:
		l.counts.Cut++
	case e.Status == 0:
		l.counts.Cut++
		l.cut = append(l.cut, e)
	case e.Status < 300:
		l.counts.Answered++
		l.counts.second(r.At).Answered++
		if !e.Signed {
			l.violate(e.At, "mixed", "%s got a success without a signature", e.ID)
		}
		if !strings.Contains(e.Body, " "+e.Target+" ") {
			l.violate(e.At, "mixed", "%s for %s got %q", e.ID, e.Target, e.Body)
		}
		if len(r.begins) == 0 {
			l.violate(e.At, "mixed", "%s got a success and never ran", e.ID)
		}
	case promises(e.Status):
		l.counts.Refused++
		if r.Once && len(r.begins) > 0 {
			l.violate(e.At, "refused", "%s got %d and had run", e.ID, e.Status)
		}
	default:
		l.counts.Failed++
	}
}

func (e Crowded) apply(l *Ledger) {
	l.violate(e.At, "slots", "%s runs %d requests in %d slots", e.Server, e.Running, e.Slots)
}

func (e Gone) apply(l *Ledger) { delete(l.holders, e.Server) }

func (e Left) apply(l *Ledger) {
	if _, ok := l.left[e.Server]; !ok {
		l.left[e.Server] = e.At
	}
}

func (e Disturbed) apply(l *Ledger) { l.disturbed = append(l.disturbed, e) }

func (e Crashed) apply(l *Ledger) {
	l.violate(e.At, "process", "%s ended by itself: %s", e.Node, e.Why)
}

func (e Unserved) apply(l *Ledger) { l.violate(e.At, "recovery", "%s", e.Why) }

func (e Late) apply(l *Ledger) {
	if l.calm(e.Sent-after, e.At) {
		l.violate(e.At, "configuration", "%s, changed at %.2fs: %s", e.Node, e.Sent.Seconds(), e.Why)
	}
}

func (e Holds) apply(l *Ledger) {
	l.counts.Grants++
	for _, r := range e.Rows {
		for name, h := range l.holders {
			if name != e.Server && h.until > e.At && overlaps(r, h.rows) {
				l.violate(e.At, "owner", "%s is given %d-%d, which %s holds for another %v", e.Server, r.From, r.To, name, h.until-e.At)
			}
		}
		l.fence(e, r)
	}
	l.holders[e.Server] = &holder{e.Rows, e.Until}
}

// fence checks that a key moves with a greater fence only.
func (l *Ledger) fence(e Holds, r keyed.KeyRange) {
	for k := r.From; k <= r.To; k++ {
		if l.owners[k] != e.Server && r.Fence <= l.fences[k] {
			l.violate(e.At, "fence", "%s is given key %d with fence %d; %s had %d", e.Server, k, r.Fence, l.owners[k], l.fences[k])
			return
		}
	}
	for k := r.From; k <= r.To; k++ {
		l.owners[k], l.fences[k] = e.Server, max(l.fences[k], r.Fence)
	}
}

func overlaps(r keyed.KeyRange, rows []keyed.KeyRange) bool {
	return slices.ContainsFunc(rows, func(x keyed.KeyRange) bool { return r.From <= x.To && x.From <= r.To })
}

// calm reports whether no unplanned disturbance has effects within a time.
func (l *Ledger) calm(from, to time.Duration) bool {
	return !slices.ContainsFunc(l.disturbed, func(d Disturbed) bool { return d.From <= to && from <= d.To+after })
}

// Unheld returns the number of keys that nobody holds at an instant.
func (l *Ledger) Unheld(at time.Duration) int {
	n := keys
	for _, h := range l.holders {
		if h.until > at {
			for _, r := range h.rows {
				n -= r.To - r.From + 1
			}
		}
	}
	return n
}

// served checks that nearly all requests that were sent within a time were
// answered.
func (l *Ledger) served(from, to time.Duration) {
	sent, answered := 0, 0
	for _, r := range l.requests {
		if r.At >= from && r.At < to {
			sent++
			if r.ended && r.status/100 == 2 {
				answered++
			}
		}
	}
	if float64(answered) < servedPart*float64(sent) || sent == 0 {
		l.violate(to, "recovery", "%d of %d requests are answered", answered, sent)
	}
}

// Judge runs the checks that need the whole run, and returns all violations.
func (l *Ledger) Judge() ([]Violation, Counts) {
	for _, e := range l.cut {
		r := l.requests[e.ID]
		read := len(r.begins) > 0 || e.At-r.At > readWithin
		if read && l.calm(r.At, e.At) {
			l.violate(e.At, "lost", "%s, sent at %.2fs, ended without an answer: %s", e.ID, r.At.Seconds(), e.Why)
		}
	}
	l.budget()
	slices.SortFunc(l.found, func(a, b Violation) int { return int(a.At - b.At) })
	return l.found, l.counts
}

// budget checks the bound on repeats for each service.
func (l *Ledger) budget() {
	sent, repeats := map[string][]time.Duration{}, map[string][]time.Duration{}
	for _, r := range l.requests {
		sent[r.Service] = append(sent[r.Service], r.At)
		if len(r.begins) > 1 {
			repeats[r.Service] = append(repeats[r.Service], r.begins[1:]...)
		}
	}
	for service, list := range repeats {
		slices.Sort(list)
		for i, from := range list {
			n := within(list[i:], from, from+budgetWindow)
			requests := max(within(sent[service], from, from+budgetWindow), within(sent[service], from-budgetWindow, from))
			if float64(n) > budgetRatio*float64(requests)+budgetFloor {
				l.violate(from, "budget", "%d repeats for %s in %v beside %d requests", n, service, budgetWindow, requests)
				break
			}
		}
	}
}

func within(list []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range list {
		if at >= from && at < to {
			n++
		}
	}
	return n
}
