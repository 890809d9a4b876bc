package entrance

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/routing"
)

// scripted answers attempts with a list of failures.
type scripted struct {
	codes []core.Code
	sent  []string
}

func (s *scripted) Exchange(_ context.Context, addr string, _ *core.Request) (*core.Response, error) {
	s.sent = append(s.sent, addr)
	if len(s.codes) == 0 {
		return &core.Response{Status: 200, Body: core.NoBody}, nil
	}
	code := s.codes[0]
	s.codes = s.codes[1:]
	return nil, core.Fail(code, "scripted")
}

type noFetch struct{}

func (noFetch) Fetch(context.Context, core.GroupID, *core.Table) (*core.Table, error) {
	return nil, core.Fail(core.CodeUnavailable, "no fetch")
}

// route serves one request through a router whose table names one remote owner.
func route(t *testing.T, codes []core.Code, idempotent bool) (*scripted, error) {
	t.Helper()
	tables, err := NewTables(noFetch{})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go tables.Run(ctx)
	g := core.GroupID{Service: "s"}
	tables.SetGroupRanges("s", []routing.GroupRange{{Range: core.FullRange}})
	tables.LearnTable(&core.Table{Group: g, Version: core.Token{Term: 1, Sequence: 1}, Members: []core.Member{{Node: "a", Incarnation: 1, Address: "a:1"}},
		Entries: []core.Entry{{Range: core.FullRange, Token: core.Token{Term: 1, Sequence: 1}}}})
	for tables.View().Table(g) == nil {
		tables.await(ctx, tables.current.Load(), refreshInterval)
	}
	peers := &scripted{codes: codes}
	r := NewRouter(Config{Tables: tables, Peers: peers, Clock: clock.NewReal()})
	_, err = r.Serve(ctx, &core.Request{Service: "s", Key: "k", Idempotent: idempotent, Body: core.NoBody})
	return peers, err
}

// Guards against "refused, not run" for a request whose earlier attempt may
// have run: the demo caught it for lookups in flight at the loss of a node.
func TestEarlierAttemptMayHaveRun(t *testing.T) {
	p, err := route(t, []core.Code{core.CodeUnknown, core.CodeOverloaded}, true)
	must.Eq(t, 2, len(p.sent))
	must.Eq(t, core.CodeUnknown, core.CodeOf(err))
}

// Guards against a second attempt of a non-idempotent request that may have run.
func TestNonIdempotentIsNotRepeated(t *testing.T) {
	p, err := route(t, []core.Code{core.CodeUnknown}, false)
	must.Eq(t, 1, len(p.sent))
	must.Eq(t, core.CodeUnknown, core.CodeOf(err))
}

// Guards against giving up a request that certainly did not run and may be
// sent again.
func TestNotOwnerIsFollowed(t *testing.T) {
	p, err := route(t, []core.Code{core.CodeNotOwner}, false)
	must.NoError(t, err)
	must.Eq(t, 2, len(p.sent))
}
