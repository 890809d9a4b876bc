package admission

import (
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// ID names one offered request from Offer until Done or Cancel. It is never
// zero and is not reused for another request.
type ID uint64

// Ticket describes one request to the controller.
type Ticket struct {
	Customer core.Customer
	// Weight scales the customer's share. Zero means 1.
	Weight float32
	Kind   core.WorkKind
	Key    string
	Path   string
	// Length is the number of body bytes, or core.UnknownLength.
	Length int64
	// Deadline is the instant after which the answer is worthless, or zero.
	Deadline clock.Instant
	// Ref is returned with the ticket. Store a pointer, which does not allocate.
	Ref any
}

// Verdict is the kind of a Decision.
type Verdict uint8

// Verdicts.
const (
	Admit Verdict = iota + 1
	Queue
	Refuse
)

// Decision answers Offer.
type Decision struct {
	Verdict Verdict
	// ID is set for Admit and Queue.
	ID ID
	// KnownShort is set for Admit when the request's path has proved to be
	// short, so that silence tells something about the backend server.
	KnownShort bool
	// Code and RetryAfter are set for Refuse. Every code proves that the
	// request did not run.
	Code       core.Code
	RetryAfter time.Duration
}

// Start is a queued ticket that starts now.
type Start struct {
	ID  ID
	Ref any
	// KnownShort has the meaning it has in Decision.
	KnownShort bool
}

// Refusal is a queued ticket that is refused now. Its ID is no longer valid.
type Refusal struct {
	ID         ID
	Ref        any
	Code       core.Code
	RetryAfter time.Duration
}

// Result tells how a started exchange ended.
type Result uint8

// Results.
const (
	// OK is a complete answer of the backend server.
	OK Result = iota
	// Failed is an error, a reset or a timeout.
	Failed
	// Shed is a refusal by the backend server because of load.
	Shed
	// Abandoned is an exchange that the caller gave up; it says nothing about
	// the backend server.
	Abandoned
)

// Stats is a snapshot for telemetry.
type Stats struct {
	// Limit is the number of exchanges that may run at once.
	Limit int
	// Reserve is the part of Limit that long work may not use.
	Reserve                   int
	RunningShort, RunningLong int
	QueuedShort, QueuedLong   int
	// Lingering exchanges hold a connection but no slot.
	Lingering                   int
	Admitted, Refused           uint64
	Expired, Canceled           uint64
	Reclassified                uint64
	MeanShort, MeanLong, Normal time.Duration
	Draining                    bool
}

// Policy is the interface that the Controller and its FIFO baseline share. The
// returned slices are valid until the next call.
type Policy interface {
	// Offer decides about a new request.
	Offer(now clock.Instant, t Ticket) Decision
	// Done ends a started exchange and returns the tickets to start next.
	Done(now clock.Instant, id ID, r Result) []Start
	// Cancel ends a queued ticket or a started exchange whose caller left.
	Cancel(now clock.Instant, id ID) []Start
	// Expire returns tickets that start and queued tickets that are refused
	// because of the passage of time. See Next.
	Expire(now clock.Instant) ([]Start, []Refusal)
	// Next returns the time from the last Expire until the next is due. Zero
	// means that none is needed. Every other call can change it.
	Next() time.Duration
	// Drain refuses all queued tickets and every later Offer. Started
	// exchanges continue.
	Drain(now clock.Instant) []Refusal
	Stats() Stats
}

// Config sets up a Controller. Zero fields take the defaults stated here.
type Config struct {
	// Slots and Connections are the hard limits of the backend server.
	Slots, Connections int
	// QueueSize bounds the queued tickets of both classes together (1024).
	QueueSize int
	// ShortWait bounds the time a short request waits for a slot (12 ms). The
	// target is 18 ms above the service time; 5 ms go to two hops in each
	// direction and 1 ms to a new connection.
	ShortWait time.Duration
	// LongWait bounds the wait of long work without a deadline (30 s).
	LongWait time.Duration
	// LongAfter is the service time above which work is long (50 ms). Three
	// times the 18 ms target cannot be a short request.
	LongAfter time.Duration
	// LongBody is the body length from which a request is long (1 MiB).
	LongBody int64
	// StarveAfter bounds how long queued long work waits for a start while
	// fewer than LongFloor long exchanges run (1 s).
	StarveAfter time.Duration
	// Seed selects the hash perturbation and the retry jitter.
	Seed uint64
}

func (c Config) withDefaults() Config {
	setDefault(&c.Slots, 16)
	setDefault(&c.Connections, 128)
	setDefault(&c.QueueSize, 1024)
	setDefault(&c.ShortWait, 12*time.Millisecond)
	setDefault(&c.LongWait, 30*time.Second)
	setDefault(&c.LongAfter, 50*time.Millisecond)
	setDefault(&c.LongBody, 1<<20)
	setDefault(&c.StarveAfter, time.Second)
	return c
}

func setDefault[T int | int64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}
