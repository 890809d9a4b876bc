package dispatch

import (
	"sync/atomic"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// RetryBudgetConfig is the bound that all nodes keep together: in any Window, a
// service gets at most Ratio times its requests plus MinRetries retries.
type RetryBudgetConfig struct {
	Ratio      float64
	MinRetries float64
	Window     time.Duration
}

const (
	// ratioShare is the part of the ratio that a node uses of its own requests.
	// It is below 1 because requests and retries of one window fall into two
	// windows when it moves.
	ratioShare = 0.5
	// minRetriesShare is the part of MinRetries that the nodes use together. It
	// is below 1 because a node that restarts forgets what it used, and nodes
	// may disagree on how many they are.
	minRetriesShare = 0.5
	// windowSteps is the number of steps into which the window is divided, by
	// one of which it moves.
	windowSteps = 20
)

// serviceBudget is one service's part of a node's budget.
type serviceBudget struct {
	requests  atomic.Int64
	retries   atomic.Int64 // taken since the last step
	remaining atomic.Int64

	// Owned by the goroutine that calls Advance.
	requestsByStep, retriesByStep [windowSteps]int64
}

// RetryBudget limits retries. Any goroutine may call CountRequest and
// TakeRetry, only one may call Advance.
type RetryBudget struct {
	cfg         RetryBudgetConfig
	services    atomic.Pointer[map[core.Service]*serviceBudget]
	currentStep int
	advancedAt  clock.Instant
}

// NewRetryBudget returns a budget that allows nothing until the first Advance.
func NewRetryBudget(cfg RetryBudgetConfig) *RetryBudget {
	b := &RetryBudget{cfg: cfg}
	b.services.Store(&map[core.Service]*serviceBudget{})
	return b
}

// CountRequest counts a request for a service.
func (b *RetryBudget) CountRequest(s core.Service) {
	if budget := (*b.services.Load())[s]; budget != nil {
		budget.requests.Add(1)
	}
}

// TakeRetry takes one retry from the budget of a service. It reports whether
// one was left.
func (b *RetryBudget) TakeRetry(s core.Service) bool {
	budget := (*b.services.Load())[s]
	if budget == nil {
		return false
	}
	if budget.remaining.Add(-1) < 0 {
		budget.remaining.Add(1)
		return false
	}
	budget.retries.Add(1)
	return true
}

// Advance moves the window and renews the budgets for the present services and
// number of nodes.
func (b *RetryBudget) Advance(now clock.Instant, services []core.Service, nodes int) {
	if b.advancedAt != 0 && now.Sub(b.advancedAt) < b.cfg.Window/windowSteps {
		return
	}
	b.advancedAt = now
	b.currentStep = (b.currentStep + 1) % windowSteps
	b.addServices(services)
	minRetries := minRetriesShare * b.cfg.MinRetries / float64(max(1, nodes))
	for _, budget := range *b.services.Load() {
		budget.requestsByStep[b.currentStep] = budget.requests.Swap(0)
		budget.retriesByStep[b.currentStep] = budget.retries.Swap(0)
		var requests, retries int64
		for i := range windowSteps {
			requests += budget.requestsByStep[i]
			retries += budget.retriesByStep[i]
		}
		allowed := int64(minRetries + ratioShare*b.cfg.Ratio*float64(requests))
		budget.remaining.Store(max(0, allowed-retries))
	}
}

// addServices adds budgets for new services. Those of services that are no
// longer configured stay, because their window still counts.
func (b *RetryBudget) addServices(services []core.Service) {
	current := *b.services.Load()
	missing := false
	for _, s := range services {
		missing = missing || current[s] == nil
	}
	if !missing {
		return
	}
	next := make(map[core.Service]*serviceBudget, len(services))
	for s, budget := range current {
		next[s] = budget
	}
	for _, s := range services {
		if next[s] == nil {
			next[s] = &serviceBudget{}
		}
	}
	b.services.Store(&next)
}
