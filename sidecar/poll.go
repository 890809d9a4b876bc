package sidecar

import (
	"context"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/fleet"
	"marjoramshore.example/platform"
	"marjoramshore.example/sidecar/configs"
)

const (
	// configPollers is the number of nodes that poll the configuration in
	// addition to watching it, because a watch delivers nothing for seconds
	// while the store drops its history. The second one replaces the first until
	// the loss of that is detected.
	configPollers = 2
	// configPollInterval is short because a change must be in force after 2 s,
	// and it takes up to 700 ms to reach the other nodes by beacons.
	configPollInterval = 700 * time.Millisecond
)

// pollConfig polls the configuration while this node is a config poller, which
// is decided each time from the nodes that are alive and reach the store. A node
// that does not reach the store polls until it does, and then reports that it
// does.
func (n *Node) pollConfig(ctx context.Context) {
	t := time.NewTicker(configPollInterval)
	defer t.Stop()
	storeUnreachable := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if !storeUnreachable && !n.isConfigPoller() {
			continue
		}
		o, err := n.store.Get(ctx, platform.ConfigKind, platform.ConfigName)
		if unreachable := err != nil && platform.FaultOf(err) != platform.FaultNotFound; unreachable != storeUnreachable {
			storeUnreachable = unreachable
			n.log.WithFields(log.Fields{"cut_off": unreachable, "error": err}).Info("reachability of the platform's store changed while this node polls the configuration")
			n.nodes.UpdateSelf(func(e *fleet.Entry) { e.StoreUnreachable = unreachable })
		}
		if err == nil {
			n.configs.Offer(ctx, configs.Offer{Object: o, Source: "lookout"})
		}
	}
}

// isConfigPoller reports whether this node is one of the first configPollers
// nodes, ordered by ID, that are alive and reach the store.
func (n *Node) isConfigPoller() bool {
	earlier := 0
	for id, p := range n.nodes.Snapshot().Nodes {
		if p.Alive && !p.Stopping && !p.StoreUnreachable && id < n.self.Node {
			earlier++
		}
	}
	return earlier < configPollers
}
