package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"strings"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
	"marjoramshore.example/platform"
	"marjoramshore.example/routes"
	"marjoramshore.example/shards"
	"marjoramshore.example/shards/record"
)

// The node's own objects in the store are of one kind, so that one watch
// follows them all.
const (
	objectKind = "marjoramshore"
	nodePrefix = "node."
	keysPrefix = "keys."
)

// records keeps the assignments of package shards in the store.
type records struct{ store *platform.StoreClient }

// Read implements keys.Records.
func (r records) Read(ctx context.Context, s core.Service) (shards.Assignment, uint64, error) {
	o, err := r.store.Get(ctx, objectKind, keysPrefix+string(s))
	if err != nil {
		return shards.Assignment{}, 0, err
	}
	a, err := record.Decode(o.Spec)
	return a, o.Revision, err
}

// Write implements keys.Records.
func (r records) Write(ctx context.Context, a shards.Assignment, revision uint64) (uint64, error) {
	data, err := record.Encode(a)
	if err != nil {
		return 0, err
	}
	name := keysPrefix + string(a.Service)
	var o platform.Object
	if revision == 0 {
		o, err = r.store.Create(ctx, objectKind, name, data)
	} else {
		o, err = r.store.Replace(ctx, objectKind, name, revision, data)
	}
	return o.Revision, err
}

// announce writes the node's address, unless the store has it already.
func (n *Node) announce(ctx context.Context) error {
	spec, err := json.Marshal(address(n.self))
	if err != nil {
		return &Error{"encode the node's address", err}
	}
	name := nodePrefix + string(n.self.Node)
	o, err := n.store.Get(ctx, objectKind, name)
	switch platform.FaultOf(err) {
	case 0:
		if bytes.Equal(compact(o.Spec), spec) {
			return nil
		}
		_, err = n.store.Replace(ctx, objectKind, name, 0, spec)
	case platform.FaultNotFound:
		_, err = n.store.Create(ctx, objectKind, name, spec)
	}
	return err
}

func compact(spec []byte) []byte {
	var b bytes.Buffer
	if json.Compact(&b, spec) != nil {
		return nil // never equal to a valid document
	}
	return b.Bytes()
}

// configObjects takes the operators' configuration over.
type configObjects struct{ n *Node }

// Put implements watch.Handler.
func (c configObjects) Put(o platform.Object) {
	if o.Name == platform.ConfigName {
		c.n.offerConfig(o, "store")
	}
}

// Deleted implements watch.Handler. The configuration stays in force: a removed
// object does not say that every route is to end.
func (c configObjects) Deleted(o platform.Object) {
	c.n.log.WithField("name", o.Name).Warn("configuration object removed")
}

// offerConfig puts a configuration in force if it is newer.
func (n *Node) offerConfig(o platform.Object, source string) {
	c, err := platform.DecodeConfig(o.Spec)
	if err != nil {
		n.log.WithError(err).WithField("revision", o.Revision).Error("configuration not readable")
		return
	}
	if !n.routes.ReplaceIfNewer(routes.Compile(c)) {
		return
	}
	n.config.Store(&o)
	n.log.WithFields(log.Fields{
		"version": c.Version, "revision": o.Revision, "routes": len(c.Routes), "services": len(c.Services), "source": source,
	}).Info("configuration in force")
	n.follow(c)
	n.nodes.Beat()
}

const (
	// announceRetry is the pause before another try to write the node's address
	// or to read those of the others.
	announceRetry = 300 * time.Millisecond
	// listEvery separates stale listings of the node's own objects. Beacons
	// bring changes at once; a listing serves nodes that miss them.
	listEvery = 5 * time.Second
)

// followObjects announces the node, and then follows the fleet: whoever starts
// later finds the announcement and sends a beacon.
func (n *Node) followObjects(ctx context.Context) {
	announced, listed := false, false
	known := make(map[core.NodeID]bool)
	for {
		wait := announceRetry
		switch {
		case !announced:
			err := n.announce(ctx)
			if announced = err == nil; announced {
				continue
			}
			n.log.WithError(err).Warn("node not announced")
		case !listed:
			l, err := n.store.List(ctx, objectKind)
			if listed = err == nil; listed {
				n.takeObjects(l, known)
				continue
			}
			n.log.WithError(err).Warn("nodes not listed")
		default:
			wait = listEvery
			l, err := n.store.ListStale(ctx, objectKind)
			if err == nil {
				n.takeObjects(l, known)
			} else {
				n.log.WithError(err).Debug("nodes not listed again")
			}
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
}

// takeObjects passes a listing on. known are the nodes of the listing before.
func (n *Node) takeObjects(l platform.Listing, known map[core.NodeID]bool) {
	gone := maps.Clone(known)
	for _, o := range l.Objects {
		if id, ok := n.takeObject(o); ok {
			known[id] = true
			delete(gone, id)
		}
	}
	for id := range gone {
		delete(known, id)
		n.nodes.Remove(id)
	}
}

// takeObject passes one object on. It returns the node that the object names.
func (n *Node) takeObject(o platform.Object) (core.NodeID, bool) {
	if service, ok := strings.CutPrefix(o.Name, keysPrefix); ok {
		n.offerTable(core.Service(service), o)
		return "", false
	}
	id, ok := strings.CutPrefix(o.Name, nodePrefix)
	if !ok {
		n.log.WithField("name", o.Name).Warn("object of an unknown name")
		return "", false
	}
	var e fleet.Entry
	if err := json.Unmarshal(o.Spec, &e); err != nil {
		n.log.WithError(err).WithField("name", o.Name).Warn("node entry not readable")
		return core.NodeID(id), true
	}
	n.nodes.List(e)
	return core.NodeID(id), true
}

// offerTable passes an assignment on to the duty of its service.
func (n *Node) offerTable(service core.Service, o platform.Object) {
	a, err := record.Decode(o.Spec)
	if err != nil {
		n.log.WithError(err).WithFields(log.Fields{"service": service, "revision": o.Revision}).Error("assignment not readable")
		return
	}
	if d := n.keysOf(service); d != nil {
		d.Observe(a, o.Revision, 0)
		return
	}
	n.pending.Store(service, pendingTable{a, o.Revision})
}

// pendingTable is an assignment that arrived before the configuration named its
// service.
type pendingTable struct {
	record   shards.Assignment
	revision uint64
}
