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

// singleOwnerTable returns a table that gives all keys to the node at an address.
func singleOwnerTable(address string, version uint64) *core.Table {
	token := core.Token{Term: 1, Sequence: version}
	return &core.Table{Group: core.GroupID{Service: "s"}, Version: token, Members: []core.Member{{Node: core.NodeID(address), Incarnation: 1, Address: address}},
		Entries: []core.Entry{{Range: core.FullRange, Token: token}}}
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
	tables.LearnTable(singleOwnerTable(address, 1))
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

// lateOwner answers for a range that moves from a:1 to b:1. a:1 has released the
// range and names nobody until the table does; b:1 names a:1 until its lease has
// arrived, 50 ms after it was first asked.
type lateOwner struct {
	tables    *Tables
	askedAt   time.Time
	sentTo    []string
	published int
}

func (l *lateOwner) Exchange(_ context.Context, addr string, _ *core.Request) (*core.Response, error) {
	l.sentTo = append(l.sentTo, addr)
	refusal := core.Fail(core.CodeNotOwner, "another node owns the key")
	if addr == "a:1" {
		if l.published == 2 {
			refusal.OwnerPeerAddress = "b:1"
			return nil, refusal
		}
		l.published++
		owner := []string{"a:1", "b:1"}[l.published-1]
		time.AfterFunc(20*time.Millisecond, func() { l.tables.LearnTable(singleOwnerTable(owner, uint64(l.published+1))) })
		return nil, refusal
	}
	if l.askedAt.IsZero() {
		l.askedAt = time.Now()
	}
	if time.Since(l.askedAt) > 50*time.Millisecond {
		return &core.Response{Status: 200, Body: core.NoBody}, nil
	}
	refusal.OwnerPeerAddress = "a:1"
	return nil, refusal
}

// Guards against a refusal during a planned move: the old owner refused a request
// until the table named the new one, which named the old owner again, and the last
// attempt went back there.
func TestRequestDoesNotGoBackToAnOwnerThatRefused(t *testing.T) {
	peers := &lateOwner{tables: tablesWithOwner(t, "a:1")}
	r := NewRouter(Config{Tables: peers.tables, Peers: peers, Clock: clock.NewReal()})
	_, err := r.Serve(t.Context(), &core.Request{Service: "s", Key: "k", Body: core.NoBody})
	must.NoError(t, err, must.Sprint(peers.sentTo))
	must.Eq(t, []string{"a:1", "a:1", "b:1", "b:1"}, peers.sentTo)
}

// Guards against callers that are refused while a range moves in calm: each request
// that the old owner redirected was charged to the retry budget, which was empty
// before the new table arrived.
func TestRedirectsDoNotExhaustTheRetryBudget(t *testing.T) {
	peers := &movingOwner{}
	r := NewRouter(Config{Tables: tablesWithOwner(t, "a:1"), Peers: peers, Clock: clock.NewReal()})
	for i := range 3 * routing.DefaultBurst {
		_, err := r.Serve(t.Context(), &core.Request{Service: "s", Key: "k", Body: core.NoBody})
		must.NoError(t, err, must.Sprintf("request %d", i))
	}
}
