package entrance

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/routing"
)

// scriptedPeer fails the first attempts with the given codes and answers the
// later ones. It records the addresses that were sent to.
type scriptedPeer struct {
	failures []core.Code
	sentTo   []string
}

func (s *scriptedPeer) Exchange(_ context.Context, addr string, _ *core.Request) (*core.Response, error) {
	s.sentTo = append(s.sentTo, addr)
	if len(s.failures) == 0 {
		return &core.Response{Status: 200, Body: core.NoBody}, nil
	}
	code := s.failures[0]
	s.failures = s.failures[1:]
	return nil, core.Fail(code, "scripted failure")
}

type failingFetcher struct{}

func (failingFetcher) Fetch(context.Context, core.GroupID, *core.Table) (*core.Table, error) {
	return nil, core.Fail(core.CodeUnavailable, "tables cannot be fetched")
}

// serveOne serves one request through a Router whose table names one remote
// owner, which fails the first attempts with the given codes.
func serveOne(t *testing.T, codes []core.Code, idempotent bool) (*scriptedPeer, error) {
	t.Helper()
	tables, err := NewTables(failingFetcher{})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go tables.Run(ctx)
	g := core.GroupID{Service: "s"}
	tables.SetGroupRanges("s", []routing.GroupRange{{Range: core.FullRange}})
	tables.LearnTable(&core.Table{Group: g, Version: core.Token{Term: 1, Sequence: 1}, Members: []core.Member{{Node: "a", Incarnation: 1, Address: "a:1"}},
		Entries: []core.Entry{{Range: core.FullRange, Token: core.Token{Term: 1, Sequence: 1}}}})
	for tables.View().Table(g) == nil {
		tables.awaitNewView(ctx, tables.current.Load(), refreshInterval)
	}
	peers := &scriptedPeer{failures: codes}
	r := NewRouter(Config{Tables: tables, Peers: peers, Clock: clock.NewReal()})
	_, err = r.Serve(ctx, &core.Request{Service: "s", Key: "k", Idempotent: idempotent, Body: core.NoBody})
	return peers, err
}

// Guards against the outcome "refused, not run" for a request whose earlier
// attempt may have run. It happened to lookups in flight when a node was lost:
// the second attempt was refused.
func TestRefusalAfterPossibleRunIsUnknown(t *testing.T) {
	peer, err := serveOne(t, []core.Code{core.CodeUnknown, core.CodeOverloaded}, true)
	must.Eq(t, 2, len(peer.sentTo))
	must.Eq(t, core.CodeUnknown, core.CodeOf(err))
}

// Guards against a second attempt of a non-idempotent request that may have
// run.
func TestNonIdempotentIsNotRepeated(t *testing.T) {
	peer, err := serveOne(t, []core.Code{core.CodeUnknown}, false)
	must.Eq(t, 1, len(peer.sentTo))
	must.Eq(t, core.CodeUnknown, core.CodeOf(err))
}

// Guards against failing a request that certainly did not run, because the node
// was not the owner, and can be sent again.
func TestNotOwnerIsRetried(t *testing.T) {
	peer, err := serveOne(t, []core.Code{core.CodeNotOwner}, false)
	must.NoError(t, err)
	must.Eq(t, 2, len(peer.sentTo))
}
