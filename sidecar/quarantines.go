package sidecar

import (
	"context"
	"strings"
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/peers"
	"marjoramshore.example/platform"
	"marjoramshore.example/sidecar/backend"
	"marjoramshore.example/sidecar/suspects"
	"marjoramshore.example/suspect"
)

// quarantineRetention is how long a quarantine is kept in the store from when it began.
// The nodes forget it at the same age if its request does not come again.
const quarantineRetention = 24 * time.Hour

// suspectLog implements backend.SuspectLog.
type suspectLog struct{ node *Node }

// Spread implements backend.SuspectLog.
func (l suspectLog) Spread(marks []suspect.Mark) { l.node.spreader.Spread(marks) }

// Keep implements backend.SuspectLog.
func (l suspectLog) Keep(q backend.Quarantine) {
	l.node.quarantines.Keep(suspects.Record{Service: l.node.self.Service, Note: q.Note, Mark: q.Mark})
}

// openSuspects creates the duties that pass on what this node knows of requests that
// crash backend servers.
func (n *Node) openSuspects() {
	n.spreader = suspects.NewSpreader(suspects.SpreaderConfig{
		Service: n.self.Service, Clock: n.clock, Log: n.log, Client: n.peerClient, Pool: n.pool, Peers: n.suspectPeers,
	})
	n.collector = suspects.NewCollector(suspects.CollectorConfig{
		Service: n.self.Service, FirstStart: n.cfg.Settings.FirstStart, Clock: n.clock, Log: n.log, Client: n.peerClient, Pool: n.pool, Peers: n.suspectPeers,
		Merge: func(marks []suspect.Mark) bool { return n.backend.MergeMarks(marks, "another node") }, OnSettled: func() { n.backend.SetSuspectsKnown() },
	})
	n.quarantines = suspects.NewArchive(suspects.ArchiveConfig{Kind: objectKind, Store: n.store, Eras: n.store.Eras(), Log: n.log})
}

// suspectPeers returns the other live nodes beside backend servers of the node's service.
func (n *Node) suspectPeers() []suspects.Peer {
	var out []suspects.Peer
	for _, p := range n.nodes.Snapshot().ByService[n.self.Service] {
		if p.Alive && p.Node != n.self.Node && p.Incarnation != 0 {
			out = append(out, suspects.Peer{Node: p.Node, Incarnation: p.Incarnation, Address: p.PeerAddress})
		}
	}
	return out
}

// Marks implements peers.Handler.
func (h peerHandler) Marks(_ context.Context, r peers.MarksRequest) peers.MarksAnswer {
	return peers.MarksAnswer{Taken: r.Service != h.node.self.Service || h.node.backend.MergeMarks(r.Marks, "another node")}
}

// CollectMarks implements peers.Handler.
func (h peerHandler) CollectMarks(ctx context.Context, r peers.CollectMarksRequest) peers.CollectMarksAnswer {
	if r.Service != h.node.self.Service {
		return peers.CollectMarksAnswer{}
	}
	settled := h.node.collector.Settled()
	marks, ok := h.node.backend.ExportMarks(ctx)
	return peers.CollectMarksAnswer{Settled: settled && ok, Marks: marks}
}

// listedQuarantines follows the quarantines of the node's service in the listings of the
// store. Only the goroutine of the listings may use it.
type listedQuarantines struct {
	node *Node
	// revisions holds the revisions of the objects that were listed.
	revisions map[string]uint64
}

// isQuarantine reports whether an object is that of a quarantine.
func isQuarantine(o platform.Object) bool { return strings.HasPrefix(o.Name, suspects.ObjectPrefix) }

// apply passes on the quarantines that are new in a listing, and lifts those whose
// objects have been deleted.
func (q *listedQuarantines) apply(l platform.Listing) {
	listed := make(map[string]bool)
	for _, o := range l.Objects {
		if !isQuarantine(o) {
			continue
		}
		listed[o.Name] = true
		if q.revisions[o.Name] == o.Revision {
			continue
		}
		r, err := suspects.DecodeRecord(o.Name, o.Spec)
		switch {
		case err != nil:
			q.node.log.WithError(err).Warn("quarantine in the platform's store ignored")
		case r.Service != q.node.self.Service: // no request of it comes here
		case time.Since(time.UnixMilli(r.Mark.Quarantined)) > quarantineRetention:
			if q.node.isConfigPoller() {
				q.node.quarantines.Remove(o.Name)
			}
			continue
		case !q.node.backend.MergeMarks([]suspect.Mark{r.Mark}, "the platform's store"):
			continue // the next listing tries again
		}
		q.revisions[o.Name] = o.Revision
	}
	for name, revision := range q.revisions {
		// A listing may be from before the object was created. A store that goes back may
		// have lost the object, which is written again then.
		if listed[name] || core.EraOfRevision(l.Revision) == core.EraOfRevision(revision) && l.Revision < revision {
			continue
		}
		delete(q.revisions, name)
		if core.EraOfRevision(l.Revision) == core.EraOfRevision(revision) {
			q.node.quarantines.Forget(name)
			q.node.backend.LiftQuarantine(suspects.ParseObjectName(name))
		}
	}
}
