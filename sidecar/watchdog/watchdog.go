// Package watchdog notices goroutines that no longer read their ring, although it holds
// elements. Such a goroutine waits for something that does not come, and what depends on
// it is not served any more.
package watchdog

import (
	"context"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/clock"
	"marjoramshore.example/ring"
)

const (
	// interval is the time between two observations.
	interval = 250 * time.Millisecond
	// lateAfter is the time between two observations beyond which the process counts as
	// paused or starved in between. Its other goroutines may not have run either.
	lateAfter = 2 * interval
	// Bound is the time without a read after which a reader hangs. Those that handle what
	// they read without calls take milliseconds.
	Bound = 10 * time.Second
	// CallBound is that of a reader that makes calls to the platform's store before it
	// reads again. A change takes up to three, each with timeouts of 2.2 s.
	CallBound = 30 * time.Second
)

// Watched is a ring whose reader is watched.
type Watched struct {
	// Duty names the reader, and Ring its ring, which no other watched ring shares.
	Duty, Ring string
	Stats      func() ring.Stats
	Bound      time.Duration
}

// Config configures a watchdog.
type Config struct {
	Clock clock.Clock
	Log   log.Interface
	// Rings returns the rings to watch at present. Those that it no longer returns are
	// forgotten.
	Rings func() []Watched
	// OnChange is called with the number of readers that hang when it changes, on the
	// goroutine of Run. It must not block.
	OnChange func(hung int)
	// OnHang is called when a reader begins to hang, on the goroutine of Run. It must not
	// block.
	OnHang func()
}

// Run watches the rings until ctx ends.
func Run(ctx context.Context, cfg Config) {
	s := &state{cfg: cfg, last: cfg.Clock.Now(), readers: make(map[string]reader)}
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.observe(cfg.Clock.Now())
		}
	}
}

// state is what the watchdog knows. Only the goroutine of Run may use it.
type state struct {
	cfg     Config
	last    clock.Instant
	readers map[string]reader // by ring
	hung    int
}

// reader is what is known of the reader of a ring.
type reader struct {
	popped uint64
	// holds is set while the ring held elements at the last observation. waiting is for
	// how long it has, without any read, as far as observations came on time.
	holds, hung bool
	waiting     time.Duration
}

// observe looks at all rings.
func (s *state) observe(now clock.Instant) {
	step := now.Sub(s.last)
	s.last = now
	if step > lateAfter {
		step = 0
	}
	next, hung := make(map[string]reader, len(s.readers)), 0
	for _, w := range s.cfg.Rings() {
		r := s.observeRing(w, s.readers[w.Ring], step)
		if r.hung {
			hung++
		}
		next[w.Ring] = r
	}
	s.readers = next
	if hung != s.hung {
		s.hung = hung
		s.cfg.OnChange(hung)
	}
}

// observeRing returns what is known of the reader of a ring after another observation.
func (s *state) observeRing(w Watched, r reader, step time.Duration) reader {
	stats := w.Stats()
	if stats.Len == 0 || stats.Popped != r.popped {
		if r.hung {
			s.entry(w, r, stats).Warn("duty that hung reads its ring again")
		}
		return reader{popped: stats.Popped, holds: stats.Len > 0}
	}
	if r.holds {
		r.waiting += step
	}
	r.holds = true
	if !r.hung && r.waiting >= w.Bound {
		r.hung = true
		s.cfg.OnHang()
		s.entry(w, r, stats).Error("duty hangs: it has read nothing although its ring holds elements; this node is not ready")
	}
	return r
}

func (s *state) entry(w Watched, r reader, stats ring.Stats) *log.Entry {
	return s.cfg.Log.WithFields(log.Fields{"duty": w.Duty, "ring": w.Ring, "len": stats.Len, "waited_ms": r.waiting.Milliseconds()})
}
