package admission

import (
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// ID identifies an admitted or queued request from Offer until Done, Cancel or
// a Refusal. It is never zero and is not reused for another request.
type ID uint64

// Ticket holds what a Policy needs to know about one request.
type Ticket struct {
	Customer core.Customer
	// Weight scales the customer's share of capacity. Zero means 1.
	Weight float32
	Kind   core.WorkKind
	Key    string
	Path   string
	// Length is the number of body bytes, or core.UnknownLength.
	Length int64
	// Deadline is the instant by which the caller needs the response, or zero.
	Deadline clock.Instant
	// Ref is an opaque value that Start and Refusal return to the caller. A
	// pointer is stored in it without an allocation.
	Ref any
}

// Verdict says what happens to an offered request.
type Verdict uint8

const (
	// Admit means that the request starts now and holds a slot.
	Admit Verdict = iota + 1
	// Queue means that the request waits until a Start or a Refusal names it.
	Queue
	// Refuse means that the request was not accepted.
	Refuse
)

// Decision is the result of Offer.
type Decision struct {
	Verdict Verdict
	// ID is set for Admit and Queue.
	ID ID
	// KnownShort is set for Admit when earlier requests on the same path were
	// short. If such a request gets no answer for a long time, the backend
	// server is likely to be at fault.
	KnownShort bool
	// Code and RetryAfter are set for Refuse. Every code that is used here
	// means that the request did not run.
	Code       core.Code
	RetryAfter time.Duration
}

// Start is a queued request that starts now.
type Start struct {
	ID  ID
	Ref any
	// KnownShort has the same meaning as in Decision.
	KnownShort bool
}

// Refusal is a queued request that is refused now. Its ID is no longer valid.
type Refusal struct {
	ID         ID
	Ref        any
	Code       core.Code
	RetryAfter time.Duration
}

// Result says how an exchange, the run of an admitted request at the backend
// server, ended.
type Result uint8

const (
	// OK means that the backend server sent a complete response.
	OK Result = iota
	// Failed means an error, a connection reset or a timeout.
	Failed
	// Shed means that the backend server refused the request because of load.
	Shed
	// Abandoned means that the caller canceled the exchange. It says nothing
	// about the backend server.
	Abandoned
)

// Stats is a snapshot for telemetry.
type Stats struct {
	// Limit is the number of exchanges that may run at once.
	Limit int
	// ReservedForShort is the number of slots that long work may not use.
	ReservedForShort          int
	RunningShort, RunningLong int
	QueuedShort, QueuedLong   int
	// Flushing counts exchanges that the backend server has finished and whose
	// response is still being sent. They hold a connection but no slot.
	Flushing                                                int
	Admitted, Refused                                       uint64
	Expired, Canceled                                       uint64
	Reclassified                                            uint64
	ServiceTimeShort, ServiceTimeLong, ReferenceServiceTime time.Duration
	Draining                                                bool
}

// Policy is an admission policy: Controller, or FIFO for comparison. Returned
// slices are valid until the next call.
type Policy interface {
	// Offer decides whether a new request starts, waits or is refused.
	Offer(now clock.Instant, t Ticket) Decision
	// Done ends a started exchange and returns the queued requests that start
	// in its place.
	Done(now clock.Instant, id ID, r Result) []Start
	// Cancel ends a queued request or a started exchange that its caller has
	// canceled.
	Cancel(now clock.Instant, id ID) []Start
	// Expire returns the queued requests that start now and those that are
	// refused because they can no longer start in time. Call it after each
	// ExpireInterval.
	Expire(now clock.Instant) ([]Start, []Refusal)
	// ExpireInterval returns the time from the last Expire until the next one
	// is due, or zero if none is needed. Any other method may change it.
	ExpireInterval() time.Duration
	// Drain refuses all queued requests and every later Offer. Started
	// exchanges continue.
	Drain(now clock.Instant) []Refusal
	Stats() Stats
}

// Config configures a Controller. Zero fields take the defaults that are given
// in parentheses.
type Config struct {
	// Slots and Connections are the hard limits of the backend server: requests
	// that it processes and connections that it accepts (16 and 128).
	Slots, Connections int
	// QueueSize is the maximum number of queued requests, short and long
	// together (1024).
	QueueSize int
	// MaxShortWait is the longest time that a short request waits for a slot
	// (12 ms). The latency target is 18 ms above the service time, of which
	// 5 ms go to two hops in each direction and 1 ms to a new connection.
	MaxShortWait time.Duration
	// MaxLongWait is the longest time that a long request waits for a slot
	// (30 s). A deadline can shorten it.
	MaxLongWait time.Duration
	// LongThreshold is the service time above which work is long (50 ms). A
	// request that takes three times the 18 ms target is not short.
	LongThreshold time.Duration
	// LongBodyBytes is the body length from which a request is long (1 MiB).
	LongBodyBytes int64
	// MaxLongStarvation is the time after which queued long work is started
	// ahead of short work, if fewer than max(1, Slots/8) long exchanges run
	// (1 s).
	MaxLongStarvation time.Duration
	// Seed perturbs the hash of customers and seeds the jitter of RetryAfter.
	Seed uint64
}

func (c Config) withDefaults() Config {
	setDefault(&c.Slots, 16)
	setDefault(&c.Connections, 128)
	setDefault(&c.QueueSize, 1024)
	setDefault(&c.MaxShortWait, 12*time.Millisecond)
	setDefault(&c.MaxLongWait, 30*time.Second)
	setDefault(&c.LongThreshold, 50*time.Millisecond)
	setDefault(&c.LongBodyBytes, 1<<20)
	setDefault(&c.MaxLongStarvation, time.Second)
	return c
}

func setDefault[T int | int64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}
