package node

import (
	"context"
	"strconv"

	"marjoramshore.example/configsync"
	"marjoramshore.example/core"
	"marjoramshore.example/events"
	"marjoramshore.example/intent"
	"marjoramshore.example/ownership"
	"marjoramshore.example/suspect"
)

// callConfig is the control method that returns the configuration of a node.
const callConfig = "config"

// weights are the declared customer weights of the node's service.
type weights map[core.Customer]float32

func (n *Node) weight(c core.Customer) float32 {
	if w := n.weights.Load(); w != nil {
		return (*w)[c]
	}
	return 0
}

// pullConfig asks another node for its configuration.
func (n *Node) pullConfig(ctx context.Context, from core.Member) (intent.Config, error) {
	b, err := n.peers.Call(ctx, from.Address, callConfig, nil)
	if err != nil {
		return intent.Config{}, err
	}
	return intent.DecodeConfig(b)
}

func (n *Node) answerConfig(context.Context, []byte) ([]byte, error) {
	return configsync.Pack(*n.config.Current())
}

// applyConfig puts a configuration in force on this node. The lease duty
// learns of the revision last, so that a lease always follows what is applied.
func (n *Node) applyConfig(ctx context.Context, c intent.Config) error {
	before := n.config.Current().Declaration
	for _, s := range c.Declaration.Services {
		if s.Region == n.cfg.Region {
			n.tables.SetGroupRanges(s.Name, spans(uint32(s.Groups)))
		}
	}
	for _, s := range before.Services {
		now, still := c.Declaration.Service(s.Name)
		if (!still || now.Region != n.cfg.Region) && s.Name != n.cfg.Service {
			n.tables.RemoveService(s.Name)
		}
	}
	own, _ := c.Declaration.Service(n.cfg.Service)
	was, _ := before.Service(n.cfg.Service)
	w := make(weights, len(own.Customers))
	for _, x := range own.Customers {
		w[x.Name] = float32(x.Weight)
	}
	n.weights.Store(&w)
	n.burn.push(burnMessage{objectives: objectives(c.Declaration)})
	n.applyQuarantines(ctx, was.Quarantines, own.Quarantines)
	if err := n.applyRevision(ctx, c.Revision, declaredDrain(own, n.cfg.Node), declaredDrain(was, n.cfg.Node)); err != nil {
		return err
	}
	n.record(events.Event{Type: events.Configuration, Revision: c.Revision, Cause: "revision " + strconv.FormatUint(uint64(c.Revision), 10) + " in force"})
	return nil
}

func declaredDrain(s intent.Service, node core.NodeID) bool {
	for _, d := range s.Drains {
		if d == node {
			return true
		}
	}
	return false
}

func (n *Node) applyQuarantines(ctx context.Context, before, now []string) {
	declared := map[string]bool{}
	for _, text := range now {
		declared[text] = true
		if f, ok := parseFingerprint(text); ok {
			n.owner.Quarantine(f)
		}
	}
	for _, text := range before {
		if f, ok := parseFingerprint(text); ok && !declared[text] {
			n.owner.LiftQuarantine(ctx, f)
		}
	}
}

func parseFingerprint(text string) (suspect.Fingerprint, bool) {
	v, err := strconv.ParseUint(text, 16, 64)
	return suspect.Fingerprint(v), err == nil
}

func (n *Node) applyRevision(ctx context.Context, r core.Revision, drain, drained bool) error {
	d := n.lease.Load()
	if d == nil {
		return core.Fail(core.CodeUnavailable, "not a member yet")
	}
	n.declaredDrain.Store(drain)
	if drain != drained {
		var in ownership.Input = ownership.Undrain{}
		if drain {
			in = ownership.Drain{}
		}
		if err := d.Submit(ctx, in); err != nil {
			return core.Wrap(core.CodeOverloaded, err, "lease duty is behind")
		}
	}
	if err := d.Submit(ctx, ownership.SetRevision{Revision: r}); err != nil {
		return core.Wrap(core.CodeOverloaded, err, "lease duty is behind")
	}
	return nil
}
