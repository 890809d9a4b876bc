package routing

import (
	"sync/atomic"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// Action is what the router does after a failed attempt.
type Action uint8

// Actions after a failed attempt.
const (
	// Stop ends the request and returns the decision's code to the caller.
	Stop Action = iota
	// RetryOwner sends the request to the owner that the failure named.
	RetryOwner
	// RefreshTable fetches the group's table and looks up the owner again.
	RefreshTable
	// WaitForOwner queues the request, in a bounded queue, until the range has
	// another owner or token. If the decision's wait passes first, the request
	// is refused with CodeNoOwner and not sent again, so that a wait never
	// resends a request to an owner that is merely slow.
	WaitForOwner
)

// Failure describes one failed attempt.
type Failure struct {
	Code core.Code
	// Owner is the address of the newer owner, when the failure named one.
	Owner string
	// Redirected reports that the attempt went to an owner that the failure before
	// it had named.
	Redirected bool
	// OwnerRefused reports that Owner itself has refused the request as not the
	// owner. The node that names it knows an older table than that refusal.
	OwnerRefused bool
	// RetryAfter is the delay that the refusing side asked for, or zero.
	RetryAfter time.Duration
	Idempotent bool
	// MayHaveReachedBackend reports that a byte of the request may have reached
	// a backend server. It is false when an owner refused with a code that
	// proves that none did.
	MayHaveReachedBackend bool
	// BodyConsumed reports that body bytes were consumed and not kept, so that
	// the request cannot be sent again.
	BodyConsumed bool
	// Attempts is the number of attempts made. It is zero when the lookup found
	// no owner and nothing was sent.
	Attempts int
	// Deadline is the instant after which the caller no longer uses the answer,
	// or zero if there is none.
	Deadline clock.Instant
}

// Decision is the result of RetryPolicy.Decide.
type Decision struct {
	Action Action
	// Code is what the caller is told when Action is Stop.
	Code core.Code
	// Owner is the address to try when Action is RetryOwner.
	Owner string
	// Wait is the longest wait for an owner if Action is WaitForOwner. If Action
	// is Stop, it is the jittered Retry-After for the caller, or zero if a retry
	// by the caller is of no use.
	Wait time.Duration
}

// RetryPolicy decides what follows a failed attempt. It is safe for concurrent
// use if Rand is.
type RetryPolicy struct {
	// Budget limits retries to a share of first attempts.
	Budget *RetryBudget
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// MinRemaining is the least time to the deadline with which a retry can
	// still succeed: one hop inside a region and a short service time.
	MinRemaining time.Duration
	// RetryAfter is sent with refusals that name no delay of their own.
	RetryAfter time.Duration
	// MaxWait bounds one wait for an owner.
	MaxWait time.Duration
	// Rand returns a random number for the jitter.
	Rand func() uint64
}

// NewRetryPolicy returns a policy with the default limits.
func NewRetryPolicy(rand func() uint64) *RetryPolicy {
	return &RetryPolicy{
		Budget:       NewRetryBudget(DefaultBurst),
		MaxAttempts:  4, // first attempt, redirect, refreshed table, one wait for an owner
		MinRemaining: 5 * time.Millisecond,
		RetryAfter:   500 * time.Millisecond,
		MaxWait:      5 * time.Second, // a lost owner is replaced within 5 s
		Rand:         rand,
	}
}

// Decide returns what follows failure f at instant now. A request that may have
// run is sent again only if it is idempotent.
func (p *RetryPolicy) Decide(now clock.Instant, f Failure) Decision {
	mayHaveRun := f.MayHaveReachedBackend || !f.Code.NotRun()
	if mayHaveRun && !f.Idempotent {
		return p.stopWith(f, mayHaveRunCode(f.Code))
	}
	action := actionFor(f)
	if action == Stop || f.BodyConsumed || f.Attempts >= p.MaxAttempts {
		return p.stopWith(f, stopCode(f))
	}
	remaining := p.MaxWait
	if f.Deadline != 0 {
		remaining = f.Deadline.Sub(now)
	}
	if remaining < p.MinRemaining {
		return p.stopLate(f, mayHaveRun)
	}
	// An attempt that reached no listening process caused no load, so its wait
	// for a new owner is not charged to the budget, and neither is a redirect by
	// a node that has passed nothing on. All keys of a lost owner wait at once,
	// and all callers of a moved range are redirected until the new table
	// arrives; both would otherwise exhaust the budget.
	uncharged := !mayHaveRun && (f.Attempts == 0 || f.Code == core.CodePeerUnreachable || action == RetryOwner)
	if !uncharged && !p.Budget.SpendRetry() {
		return p.stopWith(f, budgetCode(f, mayHaveRun))
	}
	d := Decision{Action: action}
	switch action {
	case RetryOwner:
		d.Owner = f.Owner
	case WaitForOwner:
		d.Wait = min(remaining, p.MaxWait)
	}
	return d
}

// stopLate stops a request that has too little time left for another attempt.
// The deadline code is used only if the request did not run.
func (p *RetryPolicy) stopLate(f Failure, mayHaveRun bool) Decision {
	if mayHaveRun {
		return p.stopWith(f, mayHaveRunCode(f.Code))
	}
	return Decision{Action: Stop, Code: core.CodeDeadlineNotRun}
}

// stopWith returns a Stop decision with code, and a Retry-After if the caller
// may retry.
func (p *RetryPolicy) stopWith(f Failure, code core.Code) Decision {
	d := Decision{Action: Stop, Code: code}
	if callerMayRetry(code) {
		d.Wait = p.Jitter(f.RetryAfter)
	}
	return d
}

// Jitter returns a delay drawn uniformly from [d, 1.5 d], so that refused
// callers do not retry at the same moment. A d of zero or less stands for
// RetryAfter.
func (p *RetryPolicy) Jitter(d time.Duration) time.Duration {
	if d <= 0 {
		d = p.RetryAfter
	}
	return d + time.Duration(p.Rand()%uint64(d/2+1))
}

// actionFor returns the action for the failure, before any limit applies.
func actionFor(f Failure) Action {
	switch f.Code {
	case core.CodeNotOwner:
		if f.Owner != "" && !f.Redirected && !f.OwnerRefused {
			return RetryOwner
		}
		// The owner that a former owner names may not have learned of the move
		// yet; another redirect would only go back.
		return RefreshTable
	case core.CodeLeaseExpired, core.CodeDraining, core.CodeNoOwner,
		core.CodePeerUnreachable, core.CodeBackendDown:
		return WaitForOwner
	case core.CodeUnknown:
		// The request may have run. Decide retries it only if it is idempotent.
		return RefreshTable
	default:
		// A range has one owner, so a request refused because of load has
		// nowhere else to go, and the caller retries later. A response that
		// broke off after it began cannot be replaced.
		return Stop
	}
}

// callerMayRetry reports whether the code proves that the request did not run
// and the caller did not cancel it, so that a later retry is useful.
func callerMayRetry(c core.Code) bool {
	o := c.Outcome()
	return o == core.OutcomeRefusedNotRun && c != core.CodeCanceledNotRun
}

// mayHaveRunCode returns the code for a request that may have run: c itself, or
// CodeUnknown if c claims that it did not run or was too large.
func mayHaveRunCode(c core.Code) core.Code {
	if c.NotRun() || c == core.CodeTooLarge {
		return core.CodeUnknown
	}
	return c
}

// stopCode returns the code for a failure that is not retried.
func stopCode(f Failure) core.Code {
	if f.MayHaveReachedBackend {
		return mayHaveRunCode(f.Code)
	}
	return f.Code
}

// budgetCode returns the code for a failure whose retry the budget does not
// allow.
func budgetCode(f Failure, mayHaveRun bool) core.Code {
	if mayHaveRun {
		return mayHaveRunCode(f.Code)
	}
	return core.CodeBudgetExhausted
}

// DefaultBurst is the number of retries that a process may make before first
// attempts have earned any. It lets a node with little traffic follow a
// redirect.
const DefaultBurst = 10

const (
	// Amounts in a RetryBudget, in thousandths of a retry.
	retryCost     = 1000
	attemptCredit = 100 // 10% of a retry
)

// RetryBudget is a token bucket that allows one retry for every ten first
// attempts. It is safe for concurrent use and takes no lock.
type RetryBudget struct {
	balance atomic.Int64
	// unpaidBurst is the part of the initial burst that first attempts have yet
	// to pay back. Without it the burst would raise the share of retries above
	// 10%.
	unpaidBurst atomic.Int64
	limit       int64 // upper bound of balance
}

// NewRetryBudget returns a budget that starts with burst retries and holds at
// most ten times as many.
func NewRetryBudget(burst int) *RetryBudget {
	b := &RetryBudget{limit: int64(burst) * 10 * retryCost}
	b.balance.Store(int64(burst) * retryCost)
	b.unpaidBurst.Store(int64(burst) * retryCost)
	return b
}

// RecordFirstAttempt credits the budget for a first attempt. Credits pay back
// the initial burst before they raise the balance.
func (b *RetryBudget) RecordFirstAttempt() {
	if b.unpaidBurst.Load() > 0 && b.unpaidBurst.Add(-attemptCredit) >= 0 {
		return
	}
	if b.balance.Add(attemptCredit) > b.limit {
		b.balance.Add(-attemptCredit)
	}
}

// SpendRetry spends one retry and reports whether the budget allowed it. The
// balance stays above zero, which keeps retries strictly below a tenth of first
// attempts.
func (b *RetryBudget) SpendRetry() bool {
	for {
		balance := b.balance.Load()
		if balance <= retryCost {
			return false
		}
		if b.balance.CompareAndSwap(balance, balance-retryCost) {
			return true
		}
	}
}
