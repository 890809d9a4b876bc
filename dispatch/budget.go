package dispatch

import (
	"sync/atomic"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// RetryBudgetConfig is the bound that all nodes keep together: in any Window, a
// service gets at most Ratio times its requests plus Floor repeats.
type RetryBudgetConfig struct {
	Ratio      float64
	MinRetries int
	Window     time.Duration
}

const (
	// ratioShare is the part of the ratio that a node uses of its own requests.
	// Requests and repeats of one window fall into two when it is shifted.
	ratioShare = 0.5
	// floorShare is the part of the floor that the nodes use together. A node
	// that restarts forgets what it used, and nodes may disagree on how many
	// they are.
	floorShare = 0.5
	// budgetSteps divides the window into the steps in which it moves.
	budgetSteps = 20
)

// allowance is one service's part of a node's budget.
type allowance struct {
	requests atomic.Int64
	repeats  atomic.Int64 // taken since the last step
	left     atomic.Int64

	// Owned by the goroutine that calls Tick.
	requestsIn, repeatsIn [budgetSteps]int64
}

// RetryBudget gives consent to repeats. Request and Take may be called by any
// goroutine, Tick by one.
type RetryBudget struct {
	cfg      RetryBudgetConfig
	services atomic.Pointer[map[core.Service]*allowance]
	step     int
	last     clock.Instant
}

// NewRetryBudget returns a budget that allows nothing until the first Tick.
func NewRetryBudget(cfg RetryBudgetConfig) *RetryBudget {
	b := &RetryBudget{cfg: cfg}
	b.services.Store(&map[core.Service]*allowance{})
	return b
}

// CountRequest counts a request for a service.
func (b *RetryBudget) CountRequest(s core.Service) {
	if a := (*b.services.Load())[s]; a != nil {
		a.requests.Add(1)
	}
}

// TakeRetry asks for consent to one repeat.
func (b *RetryBudget) TakeRetry(s core.Service) bool {
	a := (*b.services.Load())[s]
	if a == nil {
		return false
	}
	if a.left.Add(-1) < 0 {
		a.left.Add(1)
		return false
	}
	a.repeats.Add(1)
	return true
}

// Advance moves the window and renews the allowances for the present services and
// number of nodes.
func (b *RetryBudget) Advance(now clock.Instant, services []core.Service, nodes int) {
	if b.last != 0 && now.Sub(b.last) < b.cfg.Window/budgetSteps {
		return
	}
	b.last = now
	b.step = (b.step + 1) % budgetSteps
	b.keep(services)
	floor := floorShare * float64(b.cfg.MinRetries) / float64(max(1, nodes))
	for _, a := range *b.services.Load() {
		a.requestsIn[b.step] = a.requests.Swap(0)
		a.repeatsIn[b.step] = a.repeats.Swap(0)
		var requests, repeats int64
		for i := range budgetSteps {
			requests += a.requestsIn[i]
			repeats += a.repeatsIn[i]
		}
		allowed := int64(floor + ratioShare*b.cfg.Ratio*float64(requests))
		a.left.Store(max(0, allowed-repeats))
	}
}

// keep adds allowances for new services. Those of services that are no longer
// configured stay, because their window still counts.
func (b *RetryBudget) keep(services []core.Service) {
	old := *b.services.Load()
	missing := false
	for _, s := range services {
		missing = missing || old[s] == nil
	}
	if !missing {
		return
	}
	next := make(map[core.Service]*allowance, len(services))
	for s, a := range old {
		next[s] = a
	}
	for _, s := range services {
		if next[s] == nil {
			next[s] = &allowance{}
		}
	}
	b.services.Store(&next)
}
