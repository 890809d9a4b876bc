package sidecar

import (
	"testing"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
	"marjoramshore.example/platform"
	"marjoramshore.example/standin/objects"
)

// Guards against a look at the store before each node's address is written when the
// whole system starts: calls to the store were the largest price of a calm day of
// 195 nodes.
func TestFirstStartWritesTheAddressWithOneCall(t *testing.T) {
	store, err := objects.New()
	must.NoError(t, err)
	defer store.Close()
	announce := func(id core.NodeID, firstStart bool, peer string) int {
		n := &Node{self: fleet.Entry{Node: id, PeerAddress: peer, InboundAddress: "127.0.0.1:1"}, store: platform.NewStoreClient(store.Addr(), platform.BriskTimeouts())}
		n.cfg.Settings.FirstStart = firstStart
		before := store.CallCount()
		must.NoError(t, n.announceAddress(t.Context()))
		must.True(t, store.Has(objectKind, nodePrefix+string(id)))
		return store.CallCount() - before
	}
	must.Eq(t, 1, announce("a", true, "127.0.0.1:2"))
	must.Eq(t, 2, announce("b", false, "127.0.0.1:2"))
	// A process that starts again with the same settings finds its address there.
	must.Eq(t, 2, announce("a", true, "127.0.0.1:2"))
	must.Eq(t, 3, announce("a", true, "127.0.0.1:3"))
}
