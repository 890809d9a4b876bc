package node

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/suspect"
)

// methodMarks is the control method that carries the marks of requests that
// were in flight when a backend server died.
const methodMarks = "marks"

// marksTimeout bounds the sending of marks to one node. It is generous because
// deaths are rare, and because the next owner needs the marks before it runs
// the same request.
const marksTimeout = 2 * time.Second

// sendMarks sends marks to all other nodes of the service.
func (n *Node) sendMarks(marks []suspect.Mark) {
	if len(marks) == 0 {
		return
	}
	body, err := json.Marshal(marks)
	if err != nil {
		return
	}
	for _, m := range n.control.MembersOf(n.cfg.Service) {
		if m.SameRun(n.self) {
			continue
		}
		_ = n.controlPool.Submit(func() {
			ctx, cancel := context.WithTimeout(context.Background(), marksTimeout)
			defer cancel()
			_, _ = n.peerClient.Call(ctx, m.Address, methodMarks, body)
		})
	}
}

func (n *Node) handleMarks(_ context.Context, payload []byte) ([]byte, error) {
	var marks []suspect.Mark
	if err := json.Unmarshal(payload, &marks); err != nil {
		return nil, core.Wrap(core.CodeInvalid, err, "marks: decode")
	}
	n.owner.MergeMarks(marks)
	return nil, nil
}

// handleLift ends the quarantine of a fingerprint on this node, on an
// operator's order.
func (n *Node) handleLift(ctx context.Context, payload []byte) ([]byte, error) {
	fingerprint, ok := parseFingerprint(string(payload))
	if !ok {
		return nil, core.Fail(core.CodeInvalid, "lift quarantine: malformed fingerprint")
	}
	n.owner.LiftQuarantine(ctx, fingerprint)
	return nil, nil
}

// reportQuarantine logs and journals a fingerprint whose requests are refused
// from now on.
func (n *Node) reportQuarantine(fingerprint suspect.Fingerprint) {
	n.log.WithFields(logFields{"fingerprint": fmt.Sprintf("%016x", uint64(fingerprint))}).Warn("request quarantined; further attempts are refused")
	n.recordQuarantine(fingerprint)
}
