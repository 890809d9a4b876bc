package sidecar

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/panjf2000/ants/v2"
	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
	"marjoramshore.example/peers"
	"marjoramshore.example/shards"
	"marjoramshore.example/shards/record"
	"marjoramshore.example/sidecar/keys"
	"marjoramshore.example/sidecar/nodes"
)

// Guards against calls for a document that pile up while another node does not
// answer, until no worker is left to renew leases.
func TestFetchesOfDocumentAreBounded(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	pool, err := ants.NewPool(maxConcurrentCalls, ants.WithNonblocking(true))
	must.NoError(t, err)
	defer pool.Release()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	n := &Node{log: &log.Logger{Handler: discard.Default}, pool: pool, peerClient: peers.NewClient(), ctx: ctx}
	for range 4 * maxConcurrentCalls {
		n.fetchDocument(nodes.NewerDocument{Address: ln.Addr().String()})
		n.fetchDocument(nodes.NewerDocument{Service: "s", Address: ln.Addr().String()})
	}
	must.Eq(t, 2*maxDocumentFetches, pool.Running())
	cancel()
	for deadline := time.Now().Add(5 * time.Second); pool.Running() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	must.Eq(t, 0, pool.Running(), must.Sprint("calls go on after the node's end"))
	n.documentFetches.Range(func(service, inProgress any) bool {
		must.Eq(t, 0, inProgress.(*atomic.Int64).Load(), must.Sprint("calls that have ended leave no room for others: ", service))
		return true
	})
}

// Guards against a key table that is in force late on all nodes, because the
// coordinator's node encodes it anew for each of them.
func TestTableIsEncodedOnceForAllNodes(t *testing.T) {
	tableOf := func(service core.Service, fence int64) *keys.Table {
		row := shards.Row{Span: shards.Span{From: 0, To: shards.KeyCount - 1}, Holder: shards.Holder{Node: "n", Instance: "i"}, Fence: fence}
		return &keys.Table{Assignment: shards.Assignment{Service: service, NextFence: fence + 1, Rows: []shards.Row{row}}}
	}
	var e tableEncoder
	first, other, next := tableOf("s", 1), tableOf("o", 7), tableOf("s", 2)
	for _, table := range []*keys.Table{first, other, first, next, other, next, first} {
		spec, err := e.encode(table)
		must.NoError(t, err)
		decoded, err := record.Decode(spec)
		must.NoError(t, err)
		must.Eq(t, table.Assignment, decoded)
		again, err := e.encode(table)
		must.NoError(t, err)
		must.True(t, &spec[0] == &again[0], must.Sprint("encoded twice"))
	}
}
