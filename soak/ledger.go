package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"marjoramshore.example/standin/keyed"
)

const (
	// keyCount is the number of keys of a keyed service.
	keyCount = 65536
	// drainTime is how long a backend server may still get requests after a
	// node has acknowledged its leave; every node has it in its settings.
	drainTime = 2 * time.Second
	// faultEffectTime is how long after the end of an unplanned disturbance its
	// effects still excuse a request without a response.
	faultEffectTime = 3 * time.Second
	// requestReadTime is the time within which a node has read a request that
	// was sent to it. A request that was cut off earlier may not have been read.
	requestReadTime = 200 * time.Millisecond
	// signedFailure is the only failure that backend servers sign.
	signedFailure = 500
	// retryBudgetRatio, retryBudgetMin and retryBudgetWindow are the retry
	// budget in the settings of every node: within a window, at most the ratio
	// times the number of requests, plus the minimum.
	retryBudgetRatio  = 0.2
	retryBudgetMin    = 60
	retryBudgetWindow = 10 * time.Second
)

// Violation is one breach of a guarantee of the product. Rule names the check
// that found it, and At is the time since the start of the run.
type Violation struct {
	Rule, Detail string
	At           time.Duration
}

// String returns the line that reports show for the violation.
func (v Violation) String() string {
	return fmt.Sprintf("%.2fs %s: %s", v.At.Seconds(), v.Rule, v.Detail)
}

// Event is an observation of a caller, a backend server or the run itself. Its
// times count from the start of the run.
type Event interface{ apply(*Checker) }

// SentRequest records that a caller is about to send a request.
type SentRequest struct {
	At                  time.Duration
	ID, Service, Target string
	// AtMostOnce is set for requests that must not be executed more than once.
	AtMostOnce bool
}

// RequestEnd records how a request ended for its caller.
type RequestEnd struct {
	At time.Duration
	ID string
	// Status is 0 when the caller got no complete response; Reason is then the
	// error of its client.
	Status int
	Reason string
	// Left is set when the caller closed its connection before it had the complete
	// response.
	Left bool
	// NotConnected is set when no connection to the node was established.
	NotConnected bool
	// ReadByNode is set when the caller got no complete response although the
	// node had read the whole request.
	ReadByNode bool
	// AnswerID is the attempt ID in the response, if it has one.
	AnswerID string
	// Signed is set when the response carries a signature.
	Signed       bool
	Target, Body string
}

// UnsolicitedBytes records bytes that a node sent to a caller that had no
// request waiting on the connection.
type UnsolicitedBytes struct {
	At    time.Duration
	Node  string
	Count int
}

// RequestStart records that a backend server began to execute a request.
type RequestStart struct {
	At             time.Duration
	Server         string
	Service        string
	ExpectedCaller string // the service that the node must name as caller
	Execution      keyed.Request
}

// HeldRanges records which key ranges a backend server was granted at At, and
// that it holds them until Until.
type HeldRanges struct {
	At, Until time.Duration
	Server    string
	Rows      []keyed.KeyRange
}

// SlotOverrun records that a backend server runs more requests at once than it
// has slots.
type SlotOverrun struct {
	At             time.Duration
	Server         string
	Running, Slots int64
}

// ServerExit records that a backend server ended and so holds no keys any more.
type ServerExit struct{ Server string }

// ServerLimit records that a backend server names a limit, in requests a second,
// in all its answers.
type ServerLimit struct {
	Server    string
	PerSecond float64
}

// NodeExit records that the process of a node has ended.
type NodeExit struct{ At time.Duration }

// LeaveAck records that a node acknowledged the leave of a backend server.
type LeaveAck struct {
	At     time.Duration
	Server string
}

// FaultPeriod records when an unplanned disturbance begins and ends.
type FaultPeriod struct {
	From, To time.Duration
	Kind     Kind
}

// ProcessFailure records that a node's process exited by itself with an error,
// or did not stop within the grace period.
type ProcessFailure struct {
	At           time.Duration
	Node, Reason string
}

// StaleConfig records that a node had not applied a configuration change in
// time.
type StaleConfig struct {
	ChangedAt, At time.Duration
	Node, Reason  string
}

// FailedRecovery records that some keys are not held after the recovery time.
type FailedRecovery struct {
	At     time.Duration
	Reason string
}

// request is what the Checker knows about a request.
type request struct {
	SentRequest
	starts []time.Duration // one for each execution on a backend server
	ended  bool
	status int
	// leftAt is when the caller left, or 0.
	leftAt time.Duration
}

// holder is the latest grant of a backend server.
type holder struct {
	rows  []keyed.KeyRange
	until time.Duration
}

// limitedServer is a backend server that names a limit.
type limitedServer struct {
	perSecond float64
	starts    []time.Duration
}

// Checker applies the events of a run and checks the guarantees of the product
// against them. One goroutine owns it.
type Checker struct {
	requests map[string]*request
	holders  map[string]*holder
	fences   [keyCount]int64  // highest fence of each key
	owners   [keyCount]string // backend server that was last granted the key
	// leftAt is when the leave of a backend server was first acknowledged.
	leftAt    map[string]time.Duration
	faults    []FaultPeriod
	nodeExits []time.Duration
	// limited are the backend servers that name a limit.
	limited     map[string]*limitedServer
	cutRequests []RequestEnd // connected, but without a complete response
	violations  []Violation
	counts      Counts
}

// Counts are the totals of a run. Answered counts responses below 300, Refused
// those that rule out an execution, Failed all others, Left requests whose callers
// did not wait for the response, and Cut other requests without a complete
// response. Runs counts executions on backend servers and Grants the
// grants of key ranges to them.
type Counts struct {
	Sent, Answered, Refused, Failed, Left, Cut, Runs, Grants int
	// PerSecond has an entry for each second of the run.
	PerSecond []SecondCounts
}

// SecondCounts are the requests that were sent in one second of a run, and how
// many of these were answered successfully at any time.
type SecondCounts struct{ Sent, Answered int }

// NewChecker returns a Checker without events.
func NewChecker() *Checker {
	return &Checker{requests: make(map[string]*request), holders: make(map[string]*holder), leftAt: make(map[string]time.Duration), limited: make(map[string]*limitedServer)}
}

func (c *Checker) addViolation(at time.Duration, rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, fmt.Sprintf(format, args...), at})
}

// secondAt returns the counts of the second that contains at.
func (c *Counts) secondAt(at time.Duration) *SecondCounts {
	for len(c.PerSecond) <= int(at.Seconds()) {
		c.PerSecond = append(c.PerSecond, SecondCounts{})
	}
	return &c.PerSecond[int(at.Seconds())]
}

func (e SentRequest) apply(c *Checker) {
	c.requests[e.ID] = &request{SentRequest: e}
	c.counts.Sent++
	c.counts.secondAt(e.At).Sent++
}

func (e RequestStart) apply(c *Checker) {
	c.counts.Runs++
	if at, ok := c.leftAt[e.Server]; ok && e.At > at+drainTime {
		c.addViolation(e.At, "drain", "request %s reached %s %v after its leave was acknowledged", e.Execution.ID, e.Server, e.At-at)
	}
	if s := c.limited[e.Server]; s != nil {
		s.starts = append(s.starts, e.At)
	}
	r := c.requests[e.Execution.ID]
	if r == nil {
		c.addViolation(e.At, "unasked", "%s executed %s %s with unknown attempt ID %q", e.Server, e.Execution.Method, e.Execution.Target, e.Execution.ID)
		return
	}
	r.starts = append(r.starts, e.At)
	switch {
	case e.Execution.Target != r.Target:
		c.addViolation(e.At, "unasked", "%s executed the request for %s with target %s", e.Server, r.Target, e.Execution.Target)
	case e.Service != r.Service:
		c.addViolation(e.At, "route", "%s of service %s executed %s, which is for service %s", e.Server, e.Service, r.ID, r.Service)
	case e.ExpectedCaller != "" && e.Execution.Caller != e.ExpectedCaller:
		c.addViolation(e.At, "unasked", "%s arrived with caller service %q but was sent by %q", r.ID, e.Execution.Caller, e.ExpectedCaller)
	}
	if r.AtMostOnce && len(r.starts) > 1 {
		c.addViolation(e.At, "twice", "%s was executed %d times, most recently on %s", r.ID, len(r.starts), e.Server)
	}
	if r.ended && isRefusal(r.status) && r.AtMostOnce {
		c.addViolation(e.At, "refused", "%s was executed on %s after its caller got status %d", r.ID, e.Server, r.status)
	}
}

// isRefusal reports whether a status guarantees that the request was not
// executed.
func isRefusal(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

func (e RequestEnd) apply(c *Checker) {
	r := c.requests[e.ID]
	r.ended, r.status = true, e.Status
	if e.Status != 0 && e.AnswerID != "" && e.AnswerID != e.ID {
		c.addViolation(e.At, "mixed", "%s got status %d with the attempt ID %q", e.ID, e.Status, e.AnswerID)
	}
	if e.Signed && e.Status != signedFailure && e.Status >= 300 {
		c.addViolation(e.At, "mixed", "%s got status %d with the signature of another response", e.ID, e.Status)
	}
	switch {
	case e.Left:
		c.counts.Left++
		r.leftAt = e.At
	case e.Status == 0 && e.NotConnected:
		c.counts.Cut++
	case e.Status == 0:
		c.counts.Cut++
		c.cutRequests = append(c.cutRequests, e)
	case e.Status < 300:
		c.counts.Answered++
		c.counts.secondAt(r.At).Answered++
		if !e.Signed {
			c.addViolation(e.At, "mixed", "%s got a success status without a signature", e.ID)
		}
		if !strings.Contains(e.Body, " "+e.Target+" ") {
			c.addViolation(e.At, "mixed", "%s for %s got the response body %q", e.ID, e.Target, e.Body)
		}
		if len(r.starts) == 0 {
			c.addViolation(e.At, "mixed", "%s got a success status but was never executed", e.ID)
		}
	case isRefusal(e.Status):
		c.counts.Refused++
		if r.AtMostOnce && len(r.starts) > 0 {
			c.addViolation(e.At, "refused", "%s got status %d after it had been executed", e.ID, e.Status)
		}
	default:
		c.counts.Failed++
	}
}

func (e UnsolicitedBytes) apply(c *Checker) {
	c.addViolation(e.At, "mixed", "%s sent %d bytes on a connection without a waiting request", e.Node, e.Count)
}

func (e SlotOverrun) apply(c *Checker) {
	c.addViolation(e.At, "slots", "%s runs %d requests at once in %d slots", e.Server, e.Running, e.Slots)
}

func (e ServerExit) apply(c *Checker) { delete(c.holders, e.Server) }

func (e ServerLimit) apply(c *Checker) { c.limited[e.Server] = &limitedServer{perSecond: e.PerSecond} }

func (e NodeExit) apply(c *Checker) { c.nodeExits = append(c.nodeExits, e.At) }

func (e LeaveAck) apply(c *Checker) {
	if _, ok := c.leftAt[e.Server]; !ok {
		c.leftAt[e.Server] = e.At
	}
}

func (e FaultPeriod) apply(c *Checker) { c.faults = append(c.faults, e) }

func (e ProcessFailure) apply(c *Checker) {
	c.addViolation(e.At, "process", "%s failed: %s", e.Node, e.Reason)
}

func (e FailedRecovery) apply(c *Checker) { c.addViolation(e.At, "recovery", "%s", e.Reason) }

func (e StaleConfig) apply(c *Checker) {
	if c.isFaultFree(e.ChangedAt-faultEffectTime, e.At) {
		c.addViolation(e.At, "configuration", "%s does not apply the configuration of %.2fs: %s", e.Node, e.ChangedAt.Seconds(), e.Reason)
	}
}

func (e HeldRanges) apply(c *Checker) {
	c.counts.Grants++
	for _, r := range e.Rows {
		for name, h := range c.holders {
			if name != e.Server && h.until > e.At && overlaps(r, h.rows) {
				c.addViolation(e.At, "owner", "%s is granted keys %d-%d, which %s still holds for %v", e.Server, r.From, r.To, name, h.until-e.At)
			}
		}
		c.checkFence(e, r)
	}
	c.holders[e.Server] = &holder{e.Rows, e.Until}
}

// checkFence checks that each key of r has a higher fence than before if it
// moves to another backend server.
func (c *Checker) checkFence(e HeldRanges, r keyed.KeyRange) {
	for key := r.From; key <= r.To; key++ {
		if c.owners[key] != e.Server && r.Fence <= c.fences[key] {
			c.addViolation(e.At, "fence", "%s is granted key %d with fence %d, but %s already had it with fence %d", e.Server, key, r.Fence, c.owners[key], c.fences[key])
			return
		}
	}
	for key := r.From; key <= r.To; key++ {
		c.owners[key], c.fences[key] = e.Server, max(c.fences[key], r.Fence)
	}
}

func overlaps(r keyed.KeyRange, rows []keyed.KeyRange) bool {
	return slices.ContainsFunc(rows, func(x keyed.KeyRange) bool { return r.From <= x.To && x.From <= r.To })
}

// UnheldKeys returns the number of keys that no backend server holds at the
// time at.
func (c *Checker) UnheldKeys(at time.Duration) int {
	unheld := keyCount
	for _, h := range c.holders {
		if h.until > at {
			for _, r := range h.rows {
				unheld -= r.To - r.From + 1
			}
		}
	}
	return unheld
}
