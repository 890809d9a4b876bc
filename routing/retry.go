package routing

import (
	"sync/atomic"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// Action is what the router does after a failed attempt.
type Action uint8

// Actions.
const (
	// Stop returns the decision's code to the caller.
	Stop Action = iota
	// RetryOwner sends the request to the owner that the failure named.
	RetryOwner
	// RefreshTable fetches the group's table and looks the owner up again.
	RefreshTable
	// WaitForOwner holds the request in the bounded queue until the range has
	// another owner or token. When the decision's wait passes without one, the
	// request is refused with CodeNoOwner and is not sent again, so that waits
	// never resend to an owner that is merely slow.
	WaitForOwner
)

// Failure describes one failed attempt.
type Failure struct {
	Code core.Code
	// Owner is the address of the newer owner, when the failure named one.
	Owner string
	// RetryAfter is the delay that the refusing side asked for, or zero.
	RetryAfter time.Duration
	Idempotent bool
	// MayHaveReachedBackend reports that a byte of the request may have reached a backend
	// server. A refusal by an owner with a code that proves the opposite
	// leaves it false.
	MayHaveReachedBackend bool
	// BodyConsumed reports that body bytes were consumed and are not kept, so
	// that the request cannot be sent again.
	BodyConsumed bool
	// Attempts is the number of attempts made. It is zero when the lookup found
	// no owner, so that nothing was sent yet.
	Attempts int
	// Deadline is the instant after which the answer is worthless, or zero.
	Deadline clock.Instant
}

// Decision is the answer of RetryPolicy.Decide.
type Decision struct {
	Action Action
	// Code is what the caller is told when Action is Stop.
	Code core.Code
	// Owner is the address to try when Action is RetryOwner.
	Owner string
	// Wait is the time to hold the request before it is sent again, or with
	// Stop the jittered Retry-After for the caller.
	Wait time.Duration
}

// RetryPolicy decides what follows a failed attempt. It is safe for concurrent
// use when Rand is.
type RetryPolicy struct {
	// Budget limits retries to a share of first attempts.
	Budget *Budget
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// MinRemaining is the least time to the deadline with which a retry still
	// makes sense: one hop inside a region and a short service time.
	MinRemaining time.Duration
	// RetryAfter is sent with refusals that name no delay of their own.
	RetryAfter time.Duration
	// MaxWait bounds one wait for an owner.
	MaxWait time.Duration
	// Rand supplies the jitter.
	Rand func() uint64
}

// NewRetryPolicy returns the policy with its default limits.
func NewRetryPolicy(rand func() uint64) *RetryPolicy {
	return &RetryPolicy{
		Budget:       NewBudget(DefaultBurst),
		MaxAttempts:  4, // entrance, redirect, refreshed table, one wait for an owner
		MinRemaining: 5 * time.Millisecond,
		RetryAfter:   500 * time.Millisecond,
		MaxWait:      5 * time.Second, // a lost owner is replaced within 5 s
		Rand:         rand,
	}
}

// Decide returns what follows failure f at instant now.
func (p *RetryPolicy) Decide(now clock.Instant, f Failure) Decision {
	mayHaveRun := f.MayHaveReachedBackend || !f.Code.NotRun()
	if mayHaveRun && !f.Idempotent {
		return p.stop(f, ranCode(f.Code))
	}
	action := actionFor(f)
	if action == Stop || f.BodyConsumed || f.Attempts >= p.MaxAttempts {
		return p.stop(f, stopCode(f))
	}
	left := p.MaxWait
	if f.Deadline != 0 {
		left = f.Deadline.Sub(now)
	}
	if left < p.MinRemaining {
		return p.late(f, mayHaveRun)
	}
	// An attempt that found no process listening added no load anywhere, so
	// its wait for a new owner is not charged. All keys of a lost owner wait
	// at once and would otherwise exhaust the budget.
	free := !mayHaveRun && (f.Attempts == 0 || f.Code == core.CodePeerUnreachable)
	if !free && !p.Budget.Take() {
		return p.stop(f, exhaustedCode(f, mayHaveRun))
	}
	d := Decision{Action: action, Owner: f.Owner}
	if action == WaitForOwner {
		d.Wait = min(left, p.MaxWait)
	}
	return d
}

// late answers a failure with too little time left for another attempt. The
// deadline code is used only when the request did not run.
func (p *RetryPolicy) late(f Failure, mayHaveRun bool) Decision {
	if mayHaveRun {
		return p.stop(f, ranCode(f.Code))
	}
	return Decision{Action: Stop, Code: core.CodeDeadlineNotRun}
}

func (p *RetryPolicy) stop(f Failure, code core.Code) Decision {
	d := Decision{Action: Stop, Code: code}
	if retryable(code) {
		d.Wait = p.Jitter(f.RetryAfter)
	}
	return d
}

// Jitter returns a delay drawn evenly from [d, 1.5 d], so that refused callers
// do not return at the same moment. A delay of zero takes the default.
func (p *RetryPolicy) Jitter(d time.Duration) time.Duration {
	if d <= 0 {
		d = p.RetryAfter
	}
	return d + time.Duration(p.Rand()%uint64(d/2+1))
}

// actionFor returns the action that suits the failure, before limits.
func actionFor(f Failure) Action {
	switch f.Code {
	case core.CodeNotOwner:
		if f.Owner != "" {
			return RetryOwner
		}
		return RefreshTable
	case core.CodeLeaseExpired, core.CodeDraining, core.CodeNoOwner,
		core.CodePeerUnreachable, core.CodeBackendDown:
		return WaitForOwner
	case core.CodeUnknown:
		return RefreshTable
	default:
		// A range has one owner, so a refusal by load has nowhere else to go:
		// the caller waits instead. A response that broke off after it began
		// cannot be replaced.
		return Stop
	}
}

// retryable reports whether the caller may usefully try again later.
func retryable(c core.Code) bool {
	o := c.Outcome()
	return o == core.OutcomeRefusedNotRun && c != core.CodeCanceledNotRun
}

// ranCode keeps a code that already admits that the request may have run.
func ranCode(c core.Code) core.Code {
	if c.NotRun() || c == core.CodeTooLarge {
		return core.CodeUnknown
	}
	return c
}

func stopCode(f Failure) core.Code {
	if f.MayHaveReachedBackend {
		return ranCode(f.Code)
	}
	return f.Code
}

func exhaustedCode(f Failure, mayHaveRun bool) core.Code {
	if mayHaveRun {
		return ranCode(f.Code)
	}
	return core.CodeBudgetExhausted
}

// DefaultBurst is the number of retries a process may make before any first
// attempt has paid for them. It lets a quiet node follow a redirect.
const DefaultBurst = 10

const (
	retryCost    = 1000
	attemptYield = 100 // 10% of a retry
)

// Budget is a token bucket that allows one retry for every ten first attempts.
// It is safe for concurrent use and takes no lock.
type Budget struct {
	balance atomic.Int64
	// owed is the part of the initial burst that first attempts have yet to
	// pay back. Without it the burst would lift a run above 10%.
	owed  atomic.Int64
	limit int64
}

// NewBudget returns a budget that holds at most ten times burst and lends
// burst retries in advance.
func NewBudget(burst int) *Budget {
	b := &Budget{limit: int64(burst) * 10 * retryCost}
	b.balance.Store(int64(burst) * retryCost)
	b.owed.Store(int64(burst) * retryCost)
	return b
}

// RecordFirstAttempt records a first attempt.
func (b *Budget) RecordFirstAttempt() {
	if b.owed.Load() > 0 && b.owed.Add(-attemptYield) >= 0 {
		return
	}
	if b.balance.Add(attemptYield) > b.limit {
		b.balance.Add(-attemptYield)
	}
}

// Take spends one retry and reports whether the budget allowed it. The balance
// stays above zero, which keeps retries strictly below a tenth of attempts.
func (b *Budget) Take() bool {
	for {
		have := b.balance.Load()
		if have <= retryCost {
			return false
		}
		if b.balance.CompareAndSwap(have, have-retryCost) {
			return true
		}
	}
}
