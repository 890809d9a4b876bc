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

// methodConfig is the control method that returns the configuration in force on
// a node.
const methodConfig = "config"

// customerWeights holds the declared weights of the customers of the node's
// service.
type customerWeights map[core.Customer]float32

// customerWeight returns the declared weight of a customer, or 0 when there is
// none.
func (n *Node) customerWeight(c core.Customer) float32 {
	if w := n.customerWeights.Load(); w != nil {
		return (*w)[c]
	}
	return 0
}

// fetchConfig asks another node for its configuration.
func (n *Node) fetchConfig(ctx context.Context, from core.Member) (intent.Config, error) {
	b, err := n.peerClient.Call(ctx, from.Address, methodConfig, nil)
	if err != nil {
		return intent.Config{}, err
	}
	return intent.DecodeConfig(b)
}

func (n *Node) handleConfig(context.Context, []byte) ([]byte, error) {
	return configsync.EncodeForMembers(*n.configSync.Current())
}

// applyConfig puts a configuration in force on this node. The lease duty gets
// the revision last, so that no lease is granted for a revision that has not
// been applied completely.
func (n *Node) applyConfig(ctx context.Context, config intent.Config) error {
	previous := n.configSync.Current().Declaration
	for _, service := range config.Declaration.Services {
		if service.Region == n.cfg.Region {
			n.routingTables.SetGroupRanges(service.Name, splitKeySpace(uint32(service.Groups)))
		}
	}
	for _, service := range previous.Services {
		current, declared := config.Declaration.Service(service.Name)
		if (!declared || current.Region != n.cfg.Region) && service.Name != n.cfg.Service {
			n.routingTables.RemoveService(service.Name)
		}
	}
	own, _ := config.Declaration.Service(n.cfg.Service)
	ownBefore, _ := previous.Service(n.cfg.Service)
	weights := make(customerWeights, len(own.Customers))
	for _, customer := range own.Customers {
		weights[customer.Name] = float32(customer.Weight)
	}
	n.customerWeights.Store(&weights)
	n.burn.enqueue(burnMessage{objectives: burnObjectives(config.Declaration)})
	n.applyQuarantines(ctx, ownBefore.Quarantines, own.Quarantines)
	if err := n.applyRevision(ctx, config.Revision, declaresDrain(own, n.cfg.Node), declaresDrain(ownBefore, n.cfg.Node)); err != nil {
		return err
	}
	n.recordEvent(events.Event{Type: events.Configuration, Revision: config.Revision, Cause: "revision " + strconv.FormatUint(uint64(config.Revision), 10) + " in force"})
	return nil
}

func declaresDrain(service intent.Service, node core.NodeID) bool {
	for _, drained := range service.Drains {
		if drained == node {
			return true
		}
	}
	return false
}

// applyQuarantines imposes the quarantines in current and lifts those that are
// only in previous.
func (n *Node) applyQuarantines(ctx context.Context, previous, current []string) {
	declared := map[string]bool{}
	for _, fingerprintText := range current {
		declared[fingerprintText] = true
		if f, ok := parseFingerprint(fingerprintText); ok {
			n.owner.Quarantine(f)
		}
	}
	for _, text := range previous {
		if f, ok := parseFingerprint(text); ok && !declared[text] {
			n.owner.LiftQuarantine(ctx, f)
		}
	}
}

func parseFingerprint(text string) (suspect.Fingerprint, bool) {
	v, err := strconv.ParseUint(text, 16, 64)
	return suspect.Fingerprint(v), err == nil
}

// applyRevision starts or ends a declared drain and then sets the revision in
// the lease duty.
func (n *Node) applyRevision(ctx context.Context, revision core.Revision, drain, drainedBefore bool) error {
	runner := n.leaseRunner.Load()
	if runner == nil {
		return core.Fail(core.CodeUnavailable, "this node has not joined a group yet")
	}
	n.operatorDrain.Store(drain)
	if drain != drainedBefore {
		var input ownership.Input = ownership.Undrain{}
		if drain {
			input = ownership.Drain{}
		}
		if err := runner.Submit(ctx, input); err != nil {
			return core.Wrap(core.CodeOverloaded, err, "queue of the lease duty is full")
		}
	}
	if err := runner.Submit(ctx, ownership.SetRevision{Revision: revision}); err != nil {
		return core.Wrap(core.CodeOverloaded, err, "queue of the lease duty is full")
	}
	return nil
}
