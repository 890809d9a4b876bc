package node

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/suspect"
)

// callMarks is the control method that carries the marks of a death.
const callMarks = "marks"

// marksTimeout bounds the passing on of marks. A death is rare, and the next
// owner must know before it runs the same request.
const marksTimeout = 2 * time.Second

// passMarks sends the marks of a death to the other members of the service.
func (n *Node) passMarks(marks []suspect.Mark) {
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
		_ = n.work.Submit(func() {
			ctx, cancel := context.WithTimeout(context.Background(), marksTimeout)
			defer cancel()
			_, _ = n.peers.Call(ctx, m.Address, callMarks, body)
		})
	}
}

func (n *Node) receiveMarks(_ context.Context, payload []byte) ([]byte, error) {
	var marks []suspect.Mark
	if err := json.Unmarshal(payload, &marks); err != nil {
		return nil, core.Wrap(core.CodeInvalid, err, "marks")
	}
	n.owner.MergeMarks(marks)
	return nil, nil
}

// answerLift ends a quarantine on this node by an operator's order.
func (n *Node) answerLift(ctx context.Context, payload []byte) ([]byte, error) {
	f, ok := parseFingerprint(string(payload))
	if !ok {
		return nil, core.Fail(core.CodeInvalid, "lift: malformed fingerprint")
	}
	n.owner.LiftQuarantine(ctx, f)
	return nil, nil
}

// quarantined is told of each request that is refused from now on.
func (n *Node) quarantined(f suspect.Fingerprint) {
	n.log.WithFields(fields{"fingerprint": fmt.Sprintf("%016x", uint64(f))}).Warn("request quarantined")
	n.recordQuarantine(f)
}
