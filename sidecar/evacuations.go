package sidecar

import (
	"maps"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/platform"
)

// maxWatchWait is the longest time for which the store holds a watch. Evacuations are
// rare, and each call is charged.
const maxWatchWait = 30 * time.Second

// evacuations are the data centres that operators have evacuated, each with the
// instant at which the node heard of it.
type evacuations map[core.DataCentre]clock.Instant

// evacuationHandler follows the evacuations in the platform's store. It implements
// watch.Handler, on the goroutine of its watch.
type evacuationHandler struct {
	node *Node
	era  core.Era // of the last listing
	// lost are the evacuations that were missing in the first listing of an era. They
	// end unless they are written again before the instant given.
	lost map[core.DataCentre]clock.Instant
}

func newEvacuationHandler(n *Node) *evacuationHandler {
	return &evacuationHandler{node: n, lost: make(map[core.DataCentre]clock.Instant)}
}

// Replace implements watch.Handler. A store that has gone back may have lost an
// evacuation, which operators then write again.
func (h *evacuationHandler) Replace(objects []platform.Object) {
	now := h.node.clock.Now()
	next := make(evacuations, len(objects))
	for _, o := range objects {
		h.add(now, next, core.DataCentre(o.Name))
	}
	if era := h.node.store.Eras().Current(); era != h.era {
		if h.era != 0 {
			for dc := range h.current() {
				if _, listed := next[dc]; !listed {
					h.lost[dc] = now.Add(h.node.cfg.Settings.Bounds.EvacuationPeriod)
				}
			}
		}
		h.era = era
	}
	for dc, until := range h.lost {
		if since, on := h.current()[dc]; on && now.Before(until) {
			next[dc] = since
		} else {
			delete(h.lost, dc)
		}
	}
	h.publish(next)
}

// Put implements watch.Handler.
func (h *evacuationHandler) Put(o platform.Object) {
	next := maps.Clone(h.current())
	h.add(h.node.clock.Now(), next, core.DataCentre(o.Name))
	h.publish(next)
}

// Delete implements watch.Handler.
func (h *evacuationHandler) Delete(o platform.Object) {
	next := maps.Clone(h.current())
	delete(next, core.DataCentre(o.Name))
	h.publish(next)
}

func (h *evacuationHandler) current() evacuations { return *h.node.evacuations.Load() }

// add adds an evacuation, since when it is known if it is.
func (h *evacuationHandler) add(now clock.Instant, to evacuations, dc core.DataCentre) {
	delete(h.lost, dc)
	to[dc] = now
	if since, on := h.current()[dc]; on {
		to[dc] = since
	}
}

func (h *evacuationHandler) publish(next evacuations) {
	n := h.node
	if former := h.current(); !maps.Equal(former, next) {
		n.log.WithFields(log.Fields{"evacuated": len(next), "former": len(former)}).Info("data centres that operators have evacuated changed")
	}
	n.evacuations.Store(&next)
	_, own := next[n.self.DataCentre]
	n.backend.SetEvacuated(own)
}

// evacuatedSince returns since when the node knows that a data centre is evacuated, or
// false if it is not.
func (n *Node) evacuatedSince(dc core.DataCentre) (clock.Instant, bool) {
	since, on := (*n.evacuations.Load())[dc]
	return since, on
}
