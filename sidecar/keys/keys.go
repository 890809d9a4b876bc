// Package keys runs the state machines of package shards as a duty: one for
// each service that divides its keys. The duty owns the member beside the
// node's backend server, the coordinator when this node is it, and the record
// as it was last seen. Calls to the store and to other nodes run on a pool of
// fixed size and come back through the duty's ring.
package keys

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/panjf2000/ants/v2"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/peers"
	"marjoramshore.example/ring"
	"marjoramshore.example/shards"
)

// Intervals of the duty.
const (
	// tick is how often plans and elections are looked at.
	tick = 50 * time.Millisecond
	// askLeast is how often a member reports; seven reports fit into a lease. In
	// a large service each member adds askPerMember, so that the coordinator
	// answers 66 reports a second at most, up to askMost, of which three fit.
	askLeast     = 400 * time.Millisecond
	askPerMember = 15 * time.Millisecond
	askMost      = 900 * time.Millisecond
	// readEvery separates reads of the record, so that a store that is down is
	// not called at every tick.
	readEvery = 250 * time.Millisecond
	// ringSize bounds queued messages: reports of 60 members and some results.
	ringSize = 256
	// queueFor bounds the wait for room in the ring.
	queueFor = 200 * time.Millisecond
)

// Records is the part of the store that the duty uses. Revision 0 of a write
// means that the record must not exist.
type Records interface {
	Read(ctx context.Context, s core.Service) (shards.Assignment, uint64, error)
	Write(ctx context.Context, a shards.Assignment, revision uint64) (uint64, error)
}

// Calls is the part of the calls between nodes that the duty uses.
type Calls interface {
	Report(ctx context.Context, address string, r shards.LeaseRequest) (shards.LeaseAnswer, error)
	StepDown(ctx context.Context, address string, r peers.StepDownRequest) (peers.StepDownAnswer, error)
}

// Sight is what the fleet duty sees of a service's coordinator.
type Sight struct {
	shards.ElectionInput
	// Coordinator and Incarnation tell whom the sight is about.
	Coordinator core.NodeID
	Incarnation core.Incarnation
	// Address is where the coordinator is called, or empty when not known.
	Address string
	// Stopping is set once this node is about to end.
	Stopping bool
}

// Config sets up a Duty.
type Config struct {
	Service     core.Service
	Node        core.NodeID
	Incarnation core.Incarnation
	// Member is true beside a backend server of the service.
	Member  bool
	MaxHold time.Duration
	Clock   clock.Clock
	Log     log.Interface
	Pool    *ants.Pool
	Records Records
	Calls   Calls
	// Written is called after each write of the record that this node made.
	Written func()
}

// Table is a version of the record for lookups.
type Table struct {
	shards.Assignment
	Revision uint64
}

// Usable are the rows on which the backend server may begin requests.
type Usable struct {
	Holder shards.Holder
	Rows   []shards.Row
	// From is when the rows were granted, Until when the hold ends.
	From, Until clock.Instant
}

// Covers reports whether a request for a key may begin at an instant.
func (u *Usable) Covers(now clock.Instant, key int) bool {
	if u == nil || !now.Before(u.Until) {
		return false
	}
	for _, r := range u.Rows {
		if r.From <= key && key <= r.To {
			return true
		}
	}
	return false
}

// Duty runs the keys of one service.
type Duty struct {
	cfg    Config
	in     *ring.Ring[message]
	table  atomic.Pointer[Table]
	usable atomic.Pointer[Usable]
	status atomic.Pointer[Status]
}

// Status is what other duties and operators see of the duty.
type Status struct {
	Coordinator core.NodeID
	Incarnation core.Incarnation
	Leading     bool
	// Unconfirmed is how long this node, as coordinator, had no access to the
	// record.
	Unconfirmed time.Duration
	LeaseLeft   time.Duration
	Revision    uint64
}

// New returns a duty; Run runs it.
func New(cfg Config) *Duty {
	d := &Duty{cfg: cfg, in: ring.New[message]("keys_"+string(cfg.Service), ringSize, ring.Wait)}
	d.status.Store(&Status{})
	return d
}

// Table returns the newest record, or nil.
func (d *Duty) Table() *Table { return d.table.Load() }

// Usable returns what the backend server beside this node may work on.
func (d *Duty) Usable() *Usable { return d.usable.Load() }

// Status returns the duty's state.
func (d *Duty) Status() Status { return *d.status.Load() }

// Ring returns the counters of the duty's ring.
func (d *Duty) Ring() ring.Stats { return d.in.Stats() }

func (d *Duty) push(ctx context.Context, m message) bool {
	ctx, cancel := context.WithTimeout(ctx, queueFor)
	defer cancel()
	return d.in.Push(ctx, m) == nil
}

// Observe passes a record on that was read from the store, where sent is when
// the read began, or 0 when the record came another way.
func (d *Duty) Observe(a shards.Assignment, revision uint64, sent clock.Instant) {
	d.push(context.Background(), observed{a, revision, sent})
}

// See passes on what the fleet duty sees.
func (d *Duty) See(s Sight) { d.push(context.Background(), s) }

// Grant passes a backend server's report on and returns its grant, or false
// when there is no answer in time.
func (d *Duty) Grant(ctx context.Context, r shards.BackendReport) (shards.Grant, bool) {
	reply := ring.NewReply[shards.Grant]()
	if !d.push(ctx, reported{r, reply}) {
		return shards.Grant{}, false
	}
	return reply.Wait(ctx)
}

// Introduce tells of the present run before its next report.
func (d *Duty) Introduce(h shards.Holder, slots int) {
	d.push(context.Background(), introduced{h, slots})
}

// Ended tells that a run of the backend server is over.
func (d *Duty) Ended(h shards.Holder) { d.push(context.Background(), ended{h}) }

// Silent tells that the present run does not report, or is about to stop
// without handing its keys back.
func (d *Duty) Silent(h shards.Holder) { d.push(context.Background(), silent{h}) }

// Serve answers a member that takes this node for the coordinator.
func (d *Duty) Serve(ctx context.Context, r shards.LeaseRequest) (shards.LeaseAnswer, bool) {
	reply := ring.NewReply[shards.LeaseAnswer]()
	if !d.push(ctx, served{r, reply}) {
		return shards.LeaseAnswer{}, false
	}
	return reply.Wait(ctx)
}

// StepDown tells that another node took over. It returns true once this node
// gives no more leases.
func (d *Duty) StepDown(ctx context.Context, term uint64) bool {
	reply := ring.NewReply[bool]()
	if !d.push(ctx, stepDown{term, reply}) {
		return false
	}
	done, ok := reply.Wait(ctx)
	return ok && done
}
