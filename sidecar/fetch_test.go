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

	"marjoramshore.example/peers"
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
