// Package configs puts the operators' configuration in force on a node. Several
// goroutines read configurations, from the store and from other nodes, and offer
// them to a Keeper, whose goroutine puts the newest in force.
package configs

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"

	"github.com/apex/log"

	"marjoramshore.example/core"
	"marjoramshore.example/platform"
	"marjoramshore.example/ring"
	"marjoramshore.example/routes"
)

// ringCapacity bounds the offers that wait. A goroutine with a further one
// waits, so that the newest configuration is never dropped.
const ringCapacity = 8

// Offer is a configuration that was read.
type Offer struct {
	Object platform.Object
	// Source says for the log where it came from.
	Source string
}

// Config configures a Keeper.
type Config struct {
	Log log.Interface
	// Routes gets the routes in force.
	Routes *routes.CurrentTable
	// OnChange is called on the goroutine of Keeper.Run after a configuration
	// has come into force.
	OnChange func(routes.Config)
}

// Keeper puts configurations in force, each of a higher version than the one
// before. Its methods may be called from any goroutine.
type Keeper struct {
	cfg    Config
	offers *ring.Ring[Offer]
	object atomic.Pointer[platform.Object]
	// examined is the revision of the last object that turned out to be no newer
	// although its revision is of another era of the store.
	examined atomic.Uint64
}

// New returns a keeper. It puts nothing in force until Run is called.
func New(cfg Config) *Keeper {
	return &Keeper{cfg: cfg, offers: ring.New[Offer]("configuration", ringCapacity, ring.Block)}
}

// Object returns the object of the configuration in force, or nil. It must not
// be changed.
func (k *Keeper) Object() *platform.Object { return k.object.Load() }

// RingStats returns the counters of the keeper's ring.
func (k *Keeper) RingStats() ring.Stats { return k.offers.Stats() }

// Offer offers a configuration, which comes into force if it is newer than the
// present one. It blocks while too many others wait, until ctx ends.
func (k *Keeper) Offer(ctx context.Context, o Offer) {
	if !k.isNewer(o) {
		return
	}
	// Push fails only when ctx ends, while the node stops.
	_ = k.offers.Push(ctx, o)
}

// isNewer reports whether a configuration may be newer than the one in force. Across
// eras of the store, revisions don't tell: in a later one it may have an earlier
// version.
func (k *Keeper) isNewer(o Offer) bool {
	current := k.object.Load()
	switch {
	case current == nil:
		return true
	case core.EraOfRevision(o.Object.Revision) != core.EraOfRevision(current.Revision):
		return o.Object.Revision != k.examined.Load()
	}
	return o.Object.Revision > current.Revision
}

// Run puts configurations in force until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for {
		first, ok := k.offers.Next(ctx)
		if !ok {
			return
		}
		for _, o := range k.takeQueued(first) {
			if k.isNewer(o) {
				k.putInForce(o)
			}
		}
	}
}

// takeQueued returns an offer and all that are queued, the newest first.
// Decoding a large configuration takes long on a small VM, and only the newest
// matters.
func (k *Keeper) takeQueued(first Offer) []Offer {
	offers := []Offer{first}
	for {
		o, ok := k.offers.Pop()
		if !ok {
			break
		}
		offers = append(offers, o)
	}
	slices.SortStableFunc(offers, func(a, b Offer) int { return cmp.Compare(b.Object.Revision, a.Object.Revision) })
	return offers
}

// putInForce decodes a configuration and puts it in force, unless its version is
// not above the present one.
func (k *Keeper) putInForce(o Offer) {
	c, err := platform.DecodeConfig(o.Object.Spec)
	if err != nil {
		k.cfg.Log.WithError(err).WithFields(log.Fields{"revision": o.Object.Revision, "source": o.Source}).Error("decoding the operators' configuration failed")
		return
	}
	if current := k.cfg.Routes.Load(); current != nil && c.Version <= current.Version {
		k.examined.Store(o.Object.Revision)
		return
	}
	table := routes.Compile(c)
	// The object comes first: a node that announces a version must have its
	// object for other nodes.
	k.object.Store(&o.Object)
	k.cfg.Routes.ReplaceIfNewer(table)
	k.cfg.Log.WithFields(log.Fields{
		"version": c.Version, "revision": o.Object.Revision, "bytes": len(o.Object.Spec), "routes": len(c.Routes), "services": len(c.Services), "source": o.Source,
	}).Info("new configuration in force")
	k.cfg.OnChange(c)
}
