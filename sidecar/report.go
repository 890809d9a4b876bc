package sidecar

import (
	"net/http"

	"github.com/apex/log"

	"marjoramshore.example/platform"
	"marjoramshore.example/shards"
)

// answerReport acknowledges a status report. The answer contains the grant g if
// the run takes part in the key assignment.
func (n *Node) answerReport(w http.ResponseWriter, r platform.StatusReport, sharded bool, g *shards.Grant) {
	if !sharded {
		g = nil
	}
	body, err := platform.EncodeGrant(g)
	if err != nil {
		n.log.WithError(err).Error("encoding a grant of keys for the backend server failed")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	n.metrics.statusReports.Inc(1)
	if sharded && (len(r.Held) != len(g.Rows) || len(r.Freed) > 0) {
		n.log.WithFields(log.Fields{
			"instance": r.Instance, "seq": r.Sequence, "held": len(r.Held), "freed": len(r.Freed),
			"granted": len(g.Rows), "hold_ms": g.HoldTime.Milliseconds(),
		}).Info("keys granted to the backend server differ from those it holds, or it released keys")
	}
	w.Header().Set("Content-Type", "application/json")
	// A backend server that left does not need the answer.
	_, _ = w.Write(body)
}
