package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"marjoramshore.example/store"
)

// Faults are injected into the calls of a Platform or a View.
type Faults struct {
	// Latency delays every call by Latency to Latency+Jitter. A write takes
	// effect halfway, even when its caller has stopped waiting.
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

// Calls counts calls by kind since New. A waiting watch is one call.
type Calls struct{ Get, Put, Delete, List, Watch uint64 }

// Reads returns the number of calls that change nothing.
func (c Calls) Reads() uint64 { return c.Get + c.List + c.Watch }

// Writes returns the number of calls that can change an object.
func (c Calls) Writes() uint64 { return c.Put + c.Delete }

type injector struct {
	mu     sync.Mutex
	rng    *rand.Rand
	faults Faults
	moved  chan struct{} // closed when the faults change
	calls  Calls
}

func newInjector(seed, stream uint64) *injector {
	return &injector{rng: rand.New(rand.NewPCG(seed, stream)), moved: make(chan struct{})}
}

// SetFaults replaces the injected faults.
func (i *injector) SetFaults(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	close(i.moved)
	i.moved = make(chan struct{})
}

// Calls returns the call counts.
func (i *injector) Calls() Calls {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.calls
}

// call is the fate drawn for one call.
type call struct {
	latency    time.Duration
	down, hang bool
	lose       bool
	stale      bool
	moved      <-chan struct{}
}

func (i *injector) begin(count func(*Calls), write bool) call {
	i.mu.Lock()
	defer i.mu.Unlock()
	count(&i.calls)
	f := i.faults
	c := call{latency: f.Latency, down: f.Down, hang: f.Hang, moved: i.moved}
	if f.Jitter > 0 {
		c.latency += time.Duration(i.rng.Int64N(int64(f.Jitter)))
	}
	if write && f.LoseAnswers > 0 && !f.Down && !f.Hang {
		i.faults.LoseAnswers--
		c.lose = true
	}
	c.lose = c.lose || write && i.rng.Float64() < f.LoseProbability
	c.stale = i.rng.Float64() < f.StaleProbability
	return c
}

func unavailable(key string, mayHaveApplied bool, cause error) error {
	return &store.Error{Kind: store.KindUnavailable, Key: key, MayHaveApplied: mayHaveApplied, Cause: cause}
}

// read runs effect after the latency of the call.
func (c call) read(ctx context.Context, key string, effect func(stale bool) error) error {
	if err := c.admit(ctx, key, false); err != nil {
		return err
	}
	if err := pause(ctx, c.latency); err != nil {
		return unavailable(key, false, err)
	}
	return effect(c.stale)
}

// write runs effect halfway through the latency. The effect does not depend on
// whether the caller still waits.
func (c call) write(ctx context.Context, key string, effect func(context.Context) error) error {
	if err := c.admit(ctx, key, true); err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() {
		free := context.WithoutCancel(ctx)
		_ = pause(free, c.latency/2)
		err := effect(free)
		_ = pause(ctx, c.latency-c.latency/2)
		done <- err
	}()
	select {
	case err := <-done:
		if c.lose {
			return unavailable(key, true, nil)
		}
		return err
	case <-ctx.Done():
		return unavailable(key, true, ctx.Err())
	}
}

func (c call) admit(ctx context.Context, key string, write bool) error {
	if c.hang {
		select {
		case <-ctx.Done():
		case <-c.moved:
		}
		return unavailable(key, write, ctx.Err())
	}
	if c.down {
		return unavailable(key, false, nil)
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) error {
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
