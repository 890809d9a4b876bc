package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
	"marjoramshore.example/platform"
	"marjoramshore.example/shards"
	"marjoramshore.example/shards/record"
	"marjoramshore.example/sidecar/configs"
)

// The nodes' objects in the store are of one kind, so that one listing returns
// all of them: the address of each node and the key assignment of each service.
const (
	objectKind = "marjoramshore"
	nodePrefix = "node."
	keysPrefix = "keys."
)

// recordStore keeps the key assignments in the platform's store. It implements
// keys.RecordStore.
type recordStore struct{ store *platform.StoreClient }

// Read implements keys.RecordStore.
func (r recordStore) Read(ctx context.Context, s core.Service) (shards.Assignment, uint64, error) {
	o, err := r.store.Get(ctx, objectKind, keysPrefix+string(s))
	if err != nil {
		return shards.Assignment{}, 0, err
	}
	a, err := record.Decode(o.Spec)
	return a, o.Revision, err
}

// Write implements keys.RecordStore.
func (r recordStore) Write(ctx context.Context, a shards.Assignment, revision uint64) (uint64, error) {
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

// announceAddress writes the node's address to the store, unless it is there
// already. At the first start of the whole system it seldom is, so that it is
// created without a look.
func (n *Node) announceAddress(ctx context.Context) error {
	spec, err := json.Marshal(addressEntry(n.self))
	if err != nil {
		return &Error{"encode the node's address", err}
	}
	name := nodePrefix + string(n.self.Node)
	if n.cfg.Settings.FirstStart {
		if _, err := n.store.Create(ctx, objectKind, name, spec); platform.FaultOf(err) != platform.FaultConflict {
			return err
		}
	}
	o, err := n.store.Get(ctx, objectKind, name)
	switch platform.FaultOf(err) {
	case 0:
		if bytes.Equal(compactJSON(o.Spec), spec) {
			return nil
		}
		_, err = n.store.Replace(ctx, objectKind, name, 0, spec)
	case platform.FaultNotFound:
		_, err = n.store.Create(ctx, objectKind, name, spec)
	}
	return err
}

// compactJSON returns a document without insignificant white space, or nil if it
// is invalid.
func compactJSON(spec []byte) []byte {
	var b bytes.Buffer
	if json.Compact(&b, spec) != nil {
		return nil // equal to no valid document
	}
	return b.Bytes()
}

// configHandler offers the operators' configuration to the keeper as it is read
// from the store. It implements watch.Handler.
type configHandler struct{ node *Node }

// Put implements watch.Handler.
func (c configHandler) Put(o platform.Object) {
	if o.Name == platform.ConfigName {
		c.node.configs.Offer(c.node.ctx, configs.Offer{Object: o, Source: "store"})
	}
}

// Delete implements watch.Handler. The configuration stays in force, because the
// removal of its object does not mean that every route is to be removed.
func (c configHandler) Delete(o platform.Object) {
	c.node.log.WithField("name", o.Name).Warn("configuration object removed from the platform's store; the configuration in force stays")
}

const (
	// syncRetryDelay is the delay before another attempt to write the node's
	// address or to list the objects for the first time.
	syncRetryDelay = 300 * time.Millisecond
	// listInterval is the time between later listings, which may be stale.
	// Beacons report changes at once; listings serve nodes that miss beacons.
	listInterval = 5 * time.Second
)

// syncObjects writes the node's address to the store and then lists the nodes'
// objects until ctx ends. A node that starts later finds the address in its first
// listing and sends a beacon to it.
func (n *Node) syncObjects(ctx context.Context) {
	announced, listed := false, false
	known := make(map[core.NodeID]bool)
	for {
		wait := syncRetryDelay
		switch {
		case !announced:
			err := n.announceAddress(ctx)
			if announced = err == nil; announced {
				continue
			}
			n.log.WithError(err).Warn("writing this node's address to the platform's store failed; retrying")
		case !listed:
			l, err := n.store.List(ctx, objectKind)
			if listed = err == nil; listed {
				n.applyListing(l, known)
				continue
			}
			n.log.WithError(err).Warn("first listing of nodes and key tables in the platform's store failed; retrying")
		default:
			wait = listInterval
			l, err := n.store.ListStale(ctx, objectKind)
			if err == nil {
				n.applyListing(l, known)
			} else {
				n.log.WithError(err).Debug("listing nodes and key tables in the platform's store again failed; retrying")
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

// applyListing passes on the objects of a listing, and the removal of nodes that
// are missing in it. known holds the nodes of the previous listing and is
// updated.
func (n *Node) applyListing(l platform.Listing, known map[core.NodeID]bool) {
	removed := maps.Clone(known)
	for _, o := range l.Objects {
		if id, ok := n.applyObject(o); ok {
			known[id] = true
			delete(removed, id)
		}
	}
	for id := range removed {
		delete(known, id)
		n.nodes.RemoveEntry(id)
	}
}

// applyObject passes on one object. It returns the node whose address the object
// is, or false for any other object.
func (n *Node) applyObject(o platform.Object) (core.NodeID, bool) {
	if service, ok := strings.CutPrefix(o.Name, keysPrefix); ok {
		n.applyTable(core.Service(service), o)
		return "", false
	}
	id, ok := strings.CutPrefix(o.Name, nodePrefix)
	if !ok {
		n.log.WithField("name", o.Name).Warn("object in the platform's store ignored: its name has no known prefix")
		return "", false
	}
	e, err := decodeAddress(core.NodeID(id), o.Spec)
	if err != nil {
		n.log.WithError(err).WithField("name", o.Name).Warn("address of a node in the platform's store ignored")
		return core.NodeID(id), true
	}
	n.nodes.ApplyEntry(e)
	return core.NodeID(id), true
}

// maxCapacity bounds the capacities that an entry states: cores, and Mbit/s.
const maxCapacity = 1e6

// decodeAddress decodes the address of a node. Another writer may have left a
// document that names no node to use.
func decodeAddress(id core.NodeID, spec []byte) (fleet.Entry, error) {
	var e fleet.Entry
	if err := json.Unmarshal(spec, &e); err != nil {
		return e, &Error{"decode the document", err}
	}
	for field, valid := range map[string]bool{
		"node": e.Node == id && id != "", "inbound": isAddress(e.InboundAddress), "peer": isAddress(e.PeerAddress),
		"power": e.CPUCores >= 0 && e.CPUCores <= maxCapacity, "link": e.LinkMbps >= 0 && e.LinkMbps <= maxCapacity,
	} {
		if !valid {
			return e, &Error{"check the document", &platform.InvalidFieldError{Field: field}}
		}
	}
	return addressEntry(e), nil
}

// isAddress reports whether a text is a host and a port that can be connected to.
func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

// applyTable passes a key assignment on to the key controller of its service, or
// keeps it until that is started.
func (n *Node) applyTable(service core.Service, o platform.Object) {
	if c := n.keyController(service); c != nil && c.Status().Revision >= o.Revision {
		return // each listing and several other nodes may deliver the same table
	}
	a, err := record.Decode(o.Spec)
	if err != nil {
		n.log.WithError(err).WithFields(log.Fields{"service": service, "revision": o.Revision}).Error("decoding the key assignment of a service failed")
		return
	}
	if c := n.keyController(service); c != nil {
		c.ObserveRecord(a, o.Revision, 0)
		return
	}
	n.pendingTables.Store(service, pendingTable{a, o.Revision})
}

// pendingTable is a key assignment that arrived before a configuration with its
// service.
type pendingTable struct {
	record   shards.Assignment
	revision uint64
}
