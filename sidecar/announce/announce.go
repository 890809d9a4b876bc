// Package announce keeps the node's own object in the platform's store. The object
// holds the address of the node, by which others find it, and the runs of the
// backend server beside it that have left, since a late status report of one may
// reach the next process of the node. One goroutine owns it.
package announce

import (
	"context"
	"encoding/json"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
	"marjoramshore.example/platform"
	"marjoramshore.example/ring"
)

const (
	// firstRetryDelay is the delay before another attempt to read or write the object.
	// Once the address is in the store it doubles up to maxRetryDelay, because calls
	// that fail are priced as well.
	firstRetryDelay = 300 * time.Millisecond
	maxRetryDelay   = 5 * time.Second
	// ringCapacity bounds the requests that wait. Runs leave seldom.
	ringCapacity = 16
)

// Store is the part of the store's client that an Announcer uses.
type Store interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Create(ctx context.Context, kind, name string, spec json.RawMessage) (platform.Object, error)
	Replace(ctx context.Context, kind, name string, revision uint64, spec json.RawMessage) (platform.Object, error)
	Delete(ctx context.Context, kind, name string) error
}

// Config configures an Announcer.
type Config struct {
	// Kind and Name are those of the object.
	Kind, Name string
	// Entry is the node's entry, of which the address is kept.
	Entry fleet.Entry
	// FirstStart is set when the whole system starts for the first time. The object
	// is then created without a look.
	FirstStart bool
	Store      Store
	// Eras are those of the store. In a new one, the object is written again.
	Eras *platform.Eras
	Log  log.Interface
	// OnLoad is called on the goroutine of Run once it is known which runs have
	// left before this process.
	OnLoad func([]fleet.Departure)
}

// Announcer keeps the node's object. Its methods may be called from any goroutine.
type Announcer struct {
	cfg       Config
	requests  *ring.Ring[request]
	announced chan struct{}
}

// request is an input of the event loop: the departure of a run, or the removal of
// the object.
type request struct {
	departure fleet.Departure
	remove    bool
	done      ring.Reply[struct{}]
}

// New returns an announcer. It does nothing until Run is called.
func New(cfg Config) *Announcer {
	return &Announcer{cfg: cfg, requests: ring.New[request]("announce", ringCapacity, ring.Refuse), announced: make(chan struct{})}
}

// Announced returns a channel that is closed once the address is in the store.
func (a *Announcer) Announced() <-chan struct{} { return a.announced }

// RingStats returns the counters of the announcer's ring.
func (a *Announcer) RingStats() ring.Stats { return a.requests.Stats() }

// Record records that a run has left. It does not block; the reply comes once the
// record outlives this process.
func (a *Announcer) Record(d fleet.Departure) ring.Reply[struct{}] {
	return a.push(request{departure: d, done: ring.NewReply[struct{}]()})
}

// Remove removes the object, because the VM is about to be removed. The reply comes
// once the store has answered; nothing is written from then on.
func (a *Announcer) Remove() ring.Reply[struct{}] {
	return a.push(request{remove: true, done: ring.NewReply[struct{}]()})
}

func (a *Announcer) push(r request) ring.Reply[struct{}] {
	if err := a.requests.Push(context.Background(), r); err != nil {
		a.cfg.Log.WithError(err).WithField("instance", r.departure.Instance).Warn("change of this node's object in the platform's store not queued")
	}
	return r.done
}

// state is the announcer's state. Only the goroutine of Run may use it.
type state struct {
	*Announcer
	// loaded is set once OnLoad was called.
	loaded bool
	// written is set while the object in the store is known to be up to date.
	// isAnnounced is set once it was for the first time.
	written, isAnnounced bool
	// revision is that of the object, or 0 if it is to be read before it is written.
	revision   uint64
	departures []fleet.Departure
	// waiting are the last requests to answer when the object is up to date.
	waiting []request
	removed bool
	// delay is the delay before the next attempt after a failure.
	delay time.Duration
}

// Run keeps the object until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	s := &state{Announcer: a, delay: firstRetryDelay}
	retry := time.NewTimer(0)
	defer retry.Stop()
	era := a.cfg.Eras.Current()
	for {
		due := true
		select {
		case <-ctx.Done():
			return
		case <-retry.C:
		case <-a.cfg.Eras.Ended(era):
			era = a.cfg.Eras.Current()
			due = s.beginEra(era)
		case <-a.requests.Ready():
			due = s.written
			for r, ok := a.requests.Pop(); ok; r, ok = a.requests.Pop() {
				due = s.take(ctx, r) || due
			}
		}
		if due && !s.bringUpToDate(ctx) {
			retry.Reset(s.delay)
			if s.isAnnounced {
				s.delay = min(2*s.delay, maxRetryDelay)
			}
		}
	}
}

// beginEra makes the object be read and written again, because the store may have
// lost it or what was written last. It reports whether that is due.
func (s *state) beginEra(era core.Era) bool {
	if !s.written || core.EraOfRevision(s.revision) == era {
		return false // not written yet, or written in this era
	}
	s.written, s.revision = false, 0
	s.cfg.Log.WithFields(log.Fields{"era": era, "departures": len(s.departures)}).Info("the platform's store has gone back to an earlier copy; this node's object is written again")
	return true
}

// take takes in a request. It reports whether the object is to be written at once.
func (s *state) take(ctx context.Context, r request) bool {
	if r.remove {
		s.remove(ctx)
		r.done.Send(struct{}{})
		return false
	}
	s.waiting = append(s.waiting, r)
	s.waiting = s.waiting[max(0, len(s.waiting)-ringCapacity):] // the callers of older ones have given up
	if _, known := fleet.FindDeparture(s.departures, r.departure.Instance, r.departure.BornUnixMs); known {
		return false
	}
	s.departures, s.written = fleet.AddDepartures(s.departures, r.departure), false
	return true
}

func (s *state) remove(ctx context.Context) {
	s.removed = true
	if err := s.cfg.Store.Delete(ctx, s.cfg.Kind, s.cfg.Name); err != nil {
		s.cfg.Log.WithError(err).Warn("removing this node's address from the platform's store failed")
	}
}

// bringUpToDate writes the object if need be, and answers the requests that wait
// for it. It returns false if another attempt is due.
func (s *state) bringUpToDate(ctx context.Context) bool {
	if s.removed {
		return true
	}
	if !s.written {
		if err := s.write(ctx); err != nil {
			s.cfg.Log.WithError(err).WithField("departures", len(s.departures)).
				Warn("writing this node's address to the platform's store failed; retrying")
			return false
		}
		s.written, s.delay = true, firstRetryDelay
	}
	if !s.isAnnounced {
		s.isAnnounced = true
		close(s.announced)
	}
	for _, r := range s.waiting {
		r.done.Send(struct{}{})
	}
	s.waiting = nil
	return true
}

// write brings the object up to date. The revision is that of the last answer, so
// that a write whose answer was lost and one of the former process, which may take
// effect late, never replace what they have not seen.
func (s *state) write(ctx context.Context) error {
	if s.revision == 0 && !s.loaded && s.cfg.FirstStart {
		err := s.create(ctx)
		if platform.FaultOf(err) != platform.FaultConflict {
			return err
		}
	}
	if s.revision == 0 {
		o, err := s.cfg.Store.Get(ctx, s.cfg.Kind, s.cfg.Name)
		switch platform.FaultOf(err) {
		case 0:
			if s.adopt(o) {
				return nil
			}
		case platform.FaultNotFound:
			return s.create(ctx)
		default:
			return err
		}
	}
	spec, err := s.encode()
	if err != nil {
		return err
	}
	o, err := s.cfg.Store.Replace(ctx, s.cfg.Kind, s.cfg.Name, s.revision, spec)
	if err != nil {
		s.revision = 0 // the object is read before the next attempt
		return err
	}
	s.revision = o.Revision
	return nil
}

func (s *state) create(ctx context.Context) error {
	spec, err := s.encode()
	if err != nil {
		return err
	}
	o, err := s.cfg.Store.Create(ctx, s.cfg.Kind, s.cfg.Name, spec)
	if err == nil {
		s.revision = o.Revision
		s.reportLoaded()
	}
	return err
}

// adopt takes in the object that is in the store, and returns whether it is up to
// date.
func (s *state) adopt(o platform.Object) bool {
	s.revision = o.Revision
	stored, err := decodeDocument(o.Spec)
	if err != nil {
		s.cfg.Log.WithError(err).Warn("this node's object in the platform's store cannot be read; it is written again")
	}
	s.departures = fleet.AddDepartures(stored.Left, s.departures...)
	s.reportLoaded()
	spec, err := s.encode()
	return err == nil && string(spec) == string(compactJSON(o.Spec))
}

// reportLoaded tells of the departures, this process's own included, when they are
// known for the first time.
func (s *state) reportLoaded() {
	if !s.loaded {
		s.loaded = true
		s.cfg.OnLoad(s.departures)
	}
}

func (s *state) encode() ([]byte, error) {
	return encodeDocument(document{AddressEntry(s.cfg.Entry), s.departures})
}
