package sidecar

import (
	"github.com/apex/log"
	"github.com/cloudwego/hertz/pkg/app"

	"marjoramshore.example/platform"
	"marjoramshore.example/shards"
)

// answerReport acknowledges a status report. The answer contains the grant g if
// the run takes part in the key assignment.
func (n *Node) answerReport(c *app.RequestContext, r platform.StatusReport, sharded bool, g *shards.Grant) {
	if !sharded {
		g = nil
	}
	body, err := platform.EncodeGrant(g)
	if err != nil {
		n.log.WithError(err).Error("encoding a grant of keys for the backend server failed")
		c.SetStatusCode(500)
		return
	}
	n.metrics.statusReports.Inc(1)
	if sharded && (len(r.Held) != len(g.Rows) || len(r.Freed) > 0) {
		n.log.WithFields(log.Fields{
			"instance": r.Instance, "seq": r.Sequence, "held": len(r.Held), "freed": len(r.Freed),
			"granted": len(g.Rows), "hold_ms": g.HoldTime.Milliseconds(),
		}).Info("keys granted to the backend server differ from those it holds, or it released keys")
	}
	c.Data(200, "application/json", body)
}
