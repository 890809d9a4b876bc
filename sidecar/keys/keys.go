// Package keys runs the state machines of package shards, with one Controller
// for each sharded service. The goroutine of a controller owns the Member beside
// the node's backend server, the Coordinator, and the newest record read. Calls
// to the store and to other nodes run on a pool of fixed size; their results
// come back through the controller's ring.
package keys

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/panjf2000/ants/v2"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/peers"
	"marjoramshore.example/ring"
	"marjoramshore.example/shards"
	"marjoramshore.example/shards/record"
)

// Intervals and bounds of a controller.
const (
	// tickInterval is how often the controller checks for due reports, plans
	// and takeovers.
	tickInterval = 50 * time.Millisecond
	// A member reports to the coordinator every minReportInterval, seven times
	// within a lease. In a large service the interval is
	// reportIntervalPerMember times the number of members, so that the
	// coordinator answers at most 66 reports a second. maxReportInterval still
	// allows three reports within a lease.
	minReportInterval       = 400 * time.Millisecond
	reportIntervalPerMember = 15 * time.Millisecond
	maxReportInterval       = 900 * time.Millisecond
	// minReadInterval is the least time between reads of the record, so that a
	// store that is down is not called at every tick.
	minReadInterval = 250 * time.Millisecond
	// ringCapacity has room for the reports of 60 members and for results of
	// calls.
	ringCapacity = 256
	// pushTimeout bounds the wait for room in the ring, after which the message
	// is not queued.
	pushTimeout = 200 * time.Millisecond
)

// RecordStore keeps the record of each service in each era of the store. Era returns
// the latest era that is known. Read returns the record of that era with its
// revision. Write writes the record of the era to which its term belongs, if the
// stored one still has the given revision, 0 meaning that there is none, and returns
// the new revision; it fails once that era has ended.
type RecordStore interface {
	Era() core.Era
	Read(ctx context.Context, s core.Service) (shards.Assignment, uint64, error)
	Write(ctx context.Context, a shards.Assignment, revision uint64) (uint64, error)
}

// CoordinatorClient calls the coordinator at the address of its node.
type CoordinatorClient interface {
	Report(ctx context.Context, address string, r shards.LeaseRequest) (shards.LeaseAnswer, error)
	StepDown(ctx context.Context, address string, r peers.StepDownRequest) (peers.StepDownAnswer, error)
}

// BackendCaller calls the node's own backend server. Call returns when the call
// was answered or its timeout has passed.
type BackendCaller interface {
	Call(ctx context.Context, c shards.Call) shards.CallResult
}

// CoordinatorView is what package nodes knows of a service's coordinator.
type CoordinatorView struct {
	shards.ElectionInput
	// Coordinator and Incarnation identify the process that the view describes.
	Coordinator core.NodeID
	Incarnation core.Incarnation
	// Address is the coordinator's address for calls, or empty if not known.
	Address string
	// Stopping is set once this node has begun to stop.
	Stopping bool
}

// Config configures a Controller.
type Config struct {
	Service     core.Service
	Node        core.NodeID
	Incarnation core.Incarnation
	// FirstStart is set if no process of the fleet has run before.
	FirstStart bool
	// IsMember is true if the node's own backend server serves Service.
	IsMember bool
	// MaxHold bounds the hold time of a grant.
	MaxHold time.Duration
	Clock   clock.Clock
	Log     log.Interface
	// Pool runs the calls. Its Submit must not block.
	Pool    *ants.Pool
	Records RecordStore
	Client  CoordinatorClient
	// Caller grants keys by calls, of which at most MaxCalls grants and MaxCalls
	// releases are made at once. It may be nil on nodes of other services.
	Caller   BackendCaller
	MaxCalls int
	// Load returns the work that callers ask of the backend server, and which keys
	// it concerns. It may be nil on nodes of other services.
	Load func() (demand float64, loads []shards.KeyLoad)
	// OnRecordWritten is called on the controller's goroutine after each
	// successful write of the record.
	OnRecordWritten func()
	// OnReclaim is called on the controller's goroutine with the keys that a run loses
	// in an assignment which this node plans.
	OnReclaim func(shards.Reclaim)
	// OnWithhold is called on the controller's goroutine when what this node, as
	// coordinator, withholds from a run has changed.
	OnWithhold func(shards.Withheld)
}

// Table is the key assignment of a service at one revision. It must not be
// changed.
type Table struct {
	shards.Assignment
	// Routes are the rows of the assignment by which requests are sent. At the
	// beginning of an era of the store, rows whose holders are not known yet are as
	// they were before.
	Routes   []shards.Row
	Revision uint64
	// Encoded returns the encoded assignment, which must not be changed. It is
	// encoded at the first call.
	Encoded func() ([]byte, error)
}

// newTable returns the table of an assignment that follows a former one, or nil.
func newTable(a shards.Assignment, revision uint64, former *Table) *Table {
	rows := a.Rows
	if former != nil && !a.Verified() {
		rows = a.WithUnverifiedFrom(former.Routes)
	}
	return &Table{a, rows, revision, sync.OnceValues(func() ([]byte, error) { return record.Encode(a) })}
}

// UsableRows are the rows for which the backend server may begin requests, sorted
// by key.
type UsableRows struct {
	Holder shards.Holder
	Rows   []shards.UsableRow
}

// Find returns the row by which requests for a key are sent. The table must have
// rows.
func (t *Table) Find(key int) shards.Row { return shards.FindRow(t.Routes, key) }

// HoldEnd returns the end of the hold of a key, or 0 if it is not held.
func (u *UsableRows) HoldEnd(key int) clock.Instant {
	if u == nil {
		return 0
	}
	i, ok := slices.BinarySearchFunc(u.Rows, key, func(r shards.UsableRow, key int) int {
		switch {
		case r.To < key:
			return -1
		case r.From > key:
			return 1
		}
		return 0
	})
	if !ok {
		return 0
	}
	return u.Rows[i].HoldEnd
}

// Controller takes part in the key assignment of one service. Its methods may be
// called from any goroutine.
type Controller struct {
	cfg      Config
	messages *ring.Ring[message]
	calls    *ring.Ring[shards.Call]
	byCall   atomic.Bool
	table    atomic.Pointer[Table]
	usable   atomic.Pointer[UsableRows]
	status   atomic.Pointer[Status]
}

// Status is a controller's state as other goroutines see it.
type Status struct {
	Coordinator   core.NodeID
	Incarnation   core.Incarnation
	IsCoordinator bool
	// UnconfirmedFor is how long this node, as coordinator, has had no access
	// to the record.
	UnconfirmedFor time.Duration
	// LeaseLeft is the time until the lease of the member ends, or 0.
	LeaseLeft time.Duration
	Revision  uint64
}

// New returns a controller. It does nothing until Run is called.
func New(cfg Config) *Controller {
	c := &Controller{cfg: cfg, messages: ring.New[message]("keys_"+string(cfg.Service), ringCapacity, ring.Block),
		calls: ring.New[shards.Call]("key_calls_"+string(cfg.Service), max(1, 2*cfg.MaxCalls), ring.Refuse),
	}
	c.status.Store(&Status{})
	return c
}

// GrantByCall selects whether keys are granted by calls to the backend server,
// rather than in the answers to its status reports.
func (c *Controller) GrantByCall(byCall bool) {
	c.byCall.Store(byCall)
	c.push(context.Background(), modeChange{byCall})
}

// GrantsByCall reports whether keys are granted by calls.
func (c *Controller) GrantsByCall() bool { return c.byCall.Load() }

// Table returns the newest assignment, or nil before the first.
func (c *Controller) Table() *Table { return c.table.Load() }

// UsableRows returns the rows for which the node's own backend server may begin
// requests, or nil before the first grant.
func (c *Controller) UsableRows() *UsableRows { return c.usable.Load() }

// Status returns the controller's state at its last change or tick.
func (c *Controller) Status() Status { return *c.status.Load() }

// RingStats returns the counters of the controller's ring.
func (c *Controller) RingStats() ring.Stats { return c.messages.Stats() }

// CallRingStats returns the counters of the ring of calls to the backend server.
func (c *Controller) CallRingStats() ring.Stats { return c.calls.Stats() }

// push queues a message. It reports whether the message was queued within
// pushTimeout.
func (c *Controller) push(ctx context.Context, m message) bool {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	return c.messages.Push(ctx, m) == nil
}

// ObserveRecord passes on a record of the given revision. sentAt is when its read
// from the store was sent, or 0 if the record came another way.
func (c *Controller) ObserveRecord(a shards.Assignment, revision uint64, sentAt clock.Instant) {
	c.push(context.Background(), recordUpdate{a, revision, sentAt})
}

// UpdateView passes on what is known of the coordinator.
func (c *Controller) UpdateView(v CoordinatorView) { c.push(context.Background(), v) }

// HandleReport passes on a report of the backend server and returns its grant, or
// false if the controller does not answer in time.
func (c *Controller) HandleReport(ctx context.Context, r shards.BackendReport) (shards.Grant, bool) {
	reply := ring.NewReply[shards.Grant]()
	if !c.push(ctx, reportRequest{r, reply}) {
		return shards.Grant{}, false
	}
	return reply.Wait(ctx)
}

// AddRun sets the present run of the backend server if none is known yet, so that
// rows can be assigned to it before its next report.
func (c *Controller) AddRun(h shards.Holder, slots int) {
	c.push(context.Background(), startNotice{h, slots})
}

// EndRun records that a run of the backend server has ended, because a later one has
// reported.
func (c *Controller) EndRun(h shards.Holder) { c.push(context.Background(), endNotice{h}) }

// MarkSilent records that a run has stopped reporting. It gets no more keys before
// its next report.
func (c *Controller) MarkSilent(h shards.Holder) { c.push(context.Background(), silenceNotice{h}) }

// MarkUnreachable records that a run refuses connections. It keeps the keys that it may
// hold until its holds have ended, and gets no more before its next report.
func (c *Controller) MarkUnreachable(h shards.Holder) {
	c.push(context.Background(), unreachableNotice{h})
}

// MarkLeaving records that a run is about to stop. It gets no more keys.
func (c *Controller) MarkLeaving(h shards.Holder) { c.push(context.Background(), leaveNotice{h}) }

// HandleLeaseRequest answers a member that takes this node for the coordinator,
// or returns false if the controller does not answer in time.
func (c *Controller) HandleLeaseRequest(ctx context.Context, r shards.LeaseRequest) (shards.LeaseAnswer, bool) {
	reply := ring.NewReply[shards.LeaseAnswer]()
	if !c.push(ctx, leaseRequest{r, reply}) {
		return shards.LeaseAnswer{}, false
	}
	return reply.Wait(ctx)
}

// StepDown tells this node that another one took over in the given term. It
// returns true once this node issues no more leases of earlier terms.
func (c *Controller) StepDown(ctx context.Context, term uint64) bool {
	reply := ring.NewReply[bool]()
	if !c.push(ctx, stepDownRequest{term, reply}) {
		return false
	}
	done, ok := reply.Wait(ctx)
	return ok && done
}
