package sidecar

import (
	"github.com/apex/log"
	"github.com/cloudwego/hertz/pkg/app"

	"marjoramshore.example/platform"
	"marjoramshore.example/shards"
)

// answerReport acknowledges a status report, with the keys that are granted.
func (n *Node) answerReport(c *app.RequestContext, r platform.StatusReport, keys bool, g *shards.Grant) {
	if !keys {
		g = nil
	}
	body, err := platform.EncodeGrant(g)
	if err != nil {
		n.log.WithError(err).Error("grant not encoded")
		c.SetStatusCode(500)
		return
	}
	n.metrics.grants.Inc(1)
	if keys && (len(r.Held) != len(g.Rows) || len(r.Freed) > 0) {
		n.log.WithFields(log.Fields{
			"instance": r.Instance, "seq": r.Sequence, "held": len(r.Held), "freed": len(r.Freed),
			"granted": len(g.Rows), "hold_ms": g.HoldTime.Milliseconds(),
		}).Info("keys granted")
	}
	c.Data(200, "application/json", body)
}
