package sidecar

import (
	"context"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/core"
	"marjoramshore.example/platform"
	"marjoramshore.example/shards"
	"marjoramshore.example/shards/record"
	"marjoramshore.example/sidecar/announce"
	"marjoramshore.example/sidecar/configs"
)

// The nodes' objects in the store are of one kind, so that one listing returns
// all of them: the address of each node, the key assignment of each service, and the
// quarantined requests.
const (
	objectKind = "marjoramshore"
	nodePrefix = "node."
	keysPrefix = "keys."
	// eraKeysPrefix begins the names of assignments in later eras of the store than
	// the first, which have the number of the era and the service after it.
	eraKeysPrefix = "keys@"
)

// recordStore keeps the key assignments in the platform's store, with an object for
// each era: a write that is meant for an era that has ended reaches an object which
// nobody reads any more, even if the store gives its revision out again. It implements
// keys.RecordStore.
type recordStore struct{ store *platform.StoreClient }

// keysName returns the name of the record of a service in an era of records.
func keysName(era core.Era, s core.Service) string {
	if era == 0 {
		return keysPrefix + string(s)
	}
	return eraKeysPrefix + strconv.FormatUint(uint64(era), 10) + "." + string(s)
}

// parseKeysName returns the service and the era of the record with a name, or false
// for any other name.
func parseKeysName(name string) (core.Service, core.Era, bool) {
	if service, ok := strings.CutPrefix(name, keysPrefix); ok {
		return core.Service(service), 0, true
	}
	rest, ok := strings.CutPrefix(name, eraKeysPrefix)
	number, service, dot := strings.Cut(rest, ".")
	era, err := strconv.ParseUint(number, 10, 16)
	return core.Service(service), core.Era(era), ok && dot && err == nil
}

// Era implements keys.RecordStore.
func (r recordStore) Era() core.Era { return shards.RecordEra(r.store.Eras().Current()) }

// Read implements keys.RecordStore. A read that learns of a new era is made again
// there.
func (r recordStore) Read(ctx context.Context, s core.Service) (shards.Assignment, uint64, error) {
	for {
		era := r.Era()
		o, err := r.store.Get(ctx, objectKind, keysName(era, s))
		if r.Era() != era && ctx.Err() == nil {
			continue
		}
		if err != nil {
			return shards.Assignment{}, 0, err
		}
		a, err := record.Decode(o.Spec)
		return a, core.NewRevision(era, core.RevisionNumber(o.Revision)), err
	}
}

// Write implements keys.RecordStore.
func (r recordStore) Write(ctx context.Context, a shards.Assignment, revision uint64) (uint64, error) {
	data, err := record.Encode(a)
	if err != nil {
		return 0, err
	}
	storeEra := r.store.Eras().Current()
	era := shards.EraOfTerm(a.Term)
	if now := shards.RecordEra(storeEra); now != era {
		return 0, &platform.StoreError{Fault: platform.FaultConflict, Cause: &platform.EraError{Want: era, Got: now}}
	}
	var o platform.Object
	if revision == 0 {
		o, err = r.store.Create(ctx, objectKind, keysName(era, a.Service), data)
	} else {
		o, err = r.store.Replace(ctx, objectKind, keysName(era, a.Service), core.NewRevision(storeEra, core.RevisionNumber(revision)), data)
	}
	if got := core.EraOfRevision(o.Revision); err == nil && shards.RecordEra(got) != era {
		err = &platform.StoreError{Fault: platform.FaultUnavailable, MayHaveApplied: true, Cause: &platform.EraError{Want: era, Got: got}}
	}
	return core.NewRevision(era, core.RevisionNumber(o.Revision)), err
}

// configHandler offers the operators' configuration to the keeper as it is read
// from the store. It implements watch.Handler.
type configHandler struct{ node *Node }

// Replace implements watch.Handler.
func (c configHandler) Replace(objects []platform.Object) {
	for _, o := range objects {
		c.Put(o)
	}
}

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
	// syncRetryDelay is the delay before another attempt to list the objects for
	// the first time.
	syncRetryDelay = 300 * time.Millisecond
	// listInterval is the time between later listings, which may be stale.
	// Beacons report changes at once; listings serve nodes that miss beacons.
	listInterval = 5 * time.Second
)

// syncObjects lists the nodes' objects until ctx ends, once this node's address is
// in the store. A node that starts later finds the address in its first listing and
// sends a beacon to it.
func (n *Node) syncObjects(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-n.announcer.Announced():
	}
	listed := false
	known := make(map[core.NodeID]bool)
	quarantines := &listedQuarantines{node: n, revisions: make(map[string]uint64)}
	for {
		wait := syncRetryDelay
		switch {
		case !listed:
			l, err := n.store.List(ctx, objectKind)
			if listed = err == nil; listed {
				quarantines.apply(l)
				n.collector.SetListed(n.applyListing(l, known))
				continue
			}
			n.log.WithError(err).Warn("first listing of nodes and key tables in the platform's store failed; retrying")
		default:
			wait = listInterval
			l, err := n.store.ListStale(ctx, objectKind)
			if err == nil {
				quarantines.apply(l)
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
// updated. It returns the number of other nodes of this node's service.
func (n *Node) applyListing(l platform.Listing, known map[core.NodeID]bool) int {
	removed, others := maps.Clone(known), 0
	for _, o := range l.Objects {
		if id, service, ok := n.applyObject(o); ok {
			known[id] = true
			delete(removed, id)
			if id != n.self.Node && service == n.self.Service {
				others++
			}
		}
	}
	for id := range removed {
		delete(known, id)
		n.nodes.RemoveEntry(id)
	}
	return others
}

// applyObject passes on one object. It returns the node whose address the object
// is, and its service if that can be read, or false for any other object.
func (n *Node) applyObject(o platform.Object) (core.NodeID, core.Service, bool) {
	if service, era, ok := parseKeysName(o.Name); ok {
		o.Revision = core.NewRevision(era, core.RevisionNumber(o.Revision))
		n.applyTable(service, o)
		return "", "", false
	}
	if isQuarantine(o) {
		return "", "", false
	}
	id, ok := strings.CutPrefix(o.Name, nodePrefix)
	if !ok {
		n.log.WithField("name", o.Name).Warn("object in the platform's store ignored: its name has no known prefix")
		return "", "", false
	}
	e, err := announce.DecodeAddress(core.NodeID(id), o.Spec)
	if err != nil {
		n.log.WithError(err).WithField("name", o.Name).Warn("address of a node in the platform's store ignored")
		return core.NodeID(id), "", true
	}
	n.nodes.ApplyEntry(e)
	return core.NodeID(id), e.Service, true
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
	n.store.Eras().Advance(core.EraOfRevision(o.Revision)) // another node may have heard of it first
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
