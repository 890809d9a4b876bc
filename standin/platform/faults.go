package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"marjoramshore.example/store"
)

// Faults are injected into the calls of a Store or a View.
type Faults struct {
	// Every call is delayed by Latency plus a random part of Jitter. A write
	// takes effect after half of the delay, even when its caller has stopped
	// waiting.
	Latency, Jitter time.Duration
	// Down fails every call at once, and ends waiting watches.
	Down bool
	// Hang leaves every call without effect or answer until its context ends
	// or the faults change.
	Hang bool
	// LoseAnswers is the number of further writes whose answer is lost after
	// they took effect.
	LoseAnswers int
	// LoseProbability is the probability that a write's answer is lost.
	LoseProbability float64
	// StaleProbability is the probability that a Get or List returns the previous
	// version of an object.
	StaleProbability float64
}

// CallCounts counts calls by kind since New. A waiting watch is one call.
type CallCounts struct{ Get, Put, Delete, List, Watch uint64 }

// Reads returns the number of calls that change nothing.
func (c CallCounts) Reads() uint64 { return c.Get + c.List + c.Watch }

// Writes returns the number of calls that can change an object.
func (c CallCounts) Writes() uint64 { return c.Put + c.Delete }

type faultInjector struct {
	mu            sync.Mutex
	rng           *rand.Rand
	faults        Faults
	faultsChanged chan struct{} // closed when the faults change
	calls         CallCounts
}

func newInjector(seed, stream uint64) *faultInjector {
	return &faultInjector{rng: rand.New(rand.NewPCG(seed, stream)), faultsChanged: make(chan struct{})}
}

// SetFaults replaces the injected faults.
func (i *faultInjector) SetFaults(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	close(i.faultsChanged)
	i.faultsChanged = make(chan struct{})
}

// Calls returns the call counts.
func (i *faultInjector) Calls() CallCounts {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.calls
}

// callFaults holds the faults chosen for one call.
type callFaults struct {
	latency       time.Duration
	down, hang    bool
	loseAnswer    bool
	stale         bool
	faultsChanged <-chan struct{}
}

func (i *faultInjector) beginCall(count func(*CallCounts), write bool) callFaults {
	i.mu.Lock()
	defer i.mu.Unlock()
	count(&i.calls)
	f := i.faults
	c := callFaults{latency: f.Latency, down: f.Down, hang: f.Hang, faultsChanged: i.faultsChanged}
	if f.Jitter > 0 {
		c.latency += time.Duration(i.rng.Int64N(int64(f.Jitter)))
	}
	if write && f.LoseAnswers > 0 && !f.Down && !f.Hang {
		i.faults.LoseAnswers--
		c.loseAnswer = true
	}
	c.loseAnswer = c.loseAnswer || write && i.rng.Float64() < f.LoseProbability
	c.stale = i.rng.Float64() < f.StaleProbability
	return c
}

func unavailable(key string, mayHaveApplied bool, cause error) error {
	return &store.Error{Kind: store.KindUnavailable, Key: key, MayHaveApplied: mayHaveApplied, Cause: cause}
}

// read applies the faults and the latency of the call, then runs effect.
func (c callFaults) read(ctx context.Context, key string, effect func(stale bool) error) error {
	if err := c.injectedError(ctx, key, false); err != nil {
		return err
	}
	if err := sleep(ctx, c.latency); err != nil {
		return unavailable(key, false, err)
	}
	return effect(c.stale)
}

// write runs effect after half of the latency, whether or not the caller still
// waits for the answer.
func (c callFaults) write(ctx context.Context, key string, effect func(context.Context) error) error {
	if err := c.injectedError(ctx, key, true); err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() {
		uncancelled := context.WithoutCancel(ctx)
		_ = sleep(uncancelled, c.latency/2)
		err := effect(uncancelled)
		_ = sleep(ctx, c.latency-c.latency/2)
		done <- err
	}()
	select {
	case err := <-done:
		if c.loseAnswer {
			return unavailable(key, true, nil)
		}
		return err
	case <-ctx.Done():
		return unavailable(key, true, ctx.Err())
	}
}

// injectedError returns the error of a call that hangs or meets an outage, or
// nil. A hanging call waits until ctx ends or the faults change.
func (c callFaults) injectedError(ctx context.Context, key string, write bool) error {
	if c.hang {
		select {
		case <-ctx.Done():
		case <-c.faultsChanged:
		}
		return unavailable(key, write, ctx.Err())
	}
	if c.down {
		return unavailable(key, false, nil)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
