package entrance

import (
	"context"
	"testing"
	"time"

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

// movingOwner answers for a range that has moved from a:1 to b:1. Until b:1 learns
// of the move, each of the two names the other as the owner.
type movingOwner struct {
	learnedAt time.Time
	sentTo    []string
}

func (m *movingOwner) Exchange(_ context.Context, addr string, _ *core.Request) (*core.Response, error) {
	m.sentTo = append(m.sentTo, addr)
	if addr == "b:1" && time.Now().After(m.learnedAt) {
		return &core.Response{Status: 200, Body: core.NoBody}, nil
	}
	refusal := core.Fail(core.CodeNotOwner, "another node owns the key")
	refusal.OwnerPeerAddress = map[string]string{"a:1": "b:1", "b:1": "a:1"}[addr]
	return nil, refusal
}

type failingFetcher struct{}

func (failingFetcher) Fetch(context.Context, core.GroupID, *core.Table) (*core.Table, error) {
	return nil, core.Fail(core.CodeUnavailable, "tables cannot be fetched")
}

// tablesWithOwner returns tables that name one owner of all keys, and that cannot
// be refreshed.
func tablesWithOwner(t *testing.T, address string) *Tables {
	t.Helper()
	tables, err := NewTables(failingFetcher{})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go tables.Run(ctx)
	g := core.GroupID{Service: "s"}
	tables.SetGroupRanges("s", []routing.GroupRange{{Range: core.FullRange}})
	tables.LearnTable(&core.Table{Group: g, Version: core.Token{Term: 1, Sequence: 1}, Members: []core.Member{{Node: "a", Incarnation: 1, Address: address}},
		Entries: []core.Entry{{Range: core.FullRange, Token: core.Token{Term: 1, Sequence: 1}}}})
	for tables.View().Table(g) == nil {
		tables.awaitNewView(ctx, tables.current.Load(), refreshInterval)
	}
	return tables
}

// serveOne serves one request through a Router whose table names one remote
// owner, which fails the first attempts with the given codes.
func serveOne(t *testing.T, codes []core.Code, idempotent bool) (*scriptedPeer, error) {
	t.Helper()
	tables := tablesWithOwner(t, "a:1")
	peers := &scriptedPeer{failures: codes}
	r := NewRouter(Config{Tables: tables, Peers: peers, Clock: clock.NewReal()})
	_, err := r.Serve(t.Context(), &core.Request{Service: "s", Key: "k", Idempotent: idempotent, Body: core.NoBody})
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

// Guards against a refusal during a planned move: the old owner of a range named
// the new one before that had learned of the move, and the request went to and fro
// between them until its attempts were used up.
func TestRequestWaitsForTheNewOwnerOfAMovedKey(t *testing.T) {
	for _, known := range []string{"a:1", "b:1"} {
		peers := &movingOwner{learnedAt: time.Now().Add(50 * time.Millisecond)}
		r := NewRouter(Config{Tables: tablesWithOwner(t, known), Peers: peers, Clock: clock.NewReal()})
		_, err := r.Serve(t.Context(), &core.Request{Service: "s", Key: "k", Body: core.NoBody})
		must.NoError(t, err, must.Sprint(known, peers.sentTo))
	}
}
