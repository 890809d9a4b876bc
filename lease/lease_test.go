package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/ownership"
)

// memoryStore keeps one group record in memory. Its calls never fail.
type memoryStore struct {
	rec     *ownership.GroupRecord
	version uint64
	puts    int
}

func (m *memoryStore) Get(context.Context) ownership.ReadResult {
	if m.rec == nil {
		return ownership.ReadResult{Status: ownership.ReadMissing}
	}
	return ownership.ReadResult{Status: ownership.ReadFound, Record: m.rec, Version: m.version}
}

func (m *memoryStore) Put(_ context.Context, rec *ownership.GroupRecord, ifVersion uint64) ownership.PutResult {
	m.puts++
	if ifVersion != m.version {
		return ownership.PutResult{Status: ownership.PutConflict}
	}
	m.rec, m.version = rec, m.version+1
	return ownership.PutResult{Status: ownership.PutOK, Version: m.version}
}

// discardingSender drops every message, as in a group without other nodes.
type discardingSender struct{}

func (discardingSender) Send(core.Member, ownership.Message) {}

func newRunner(t *testing.T, publish func(*ownership.Snapshot)) (*Runner, *memoryStore) {
	store := &memoryStore{}
	runner, err := New(Config{
		Ownership: ownership.Config{Group: core.GroupID{Service: "s"}, Self: core.Member{Node: "a", Incarnation: 1, Address: "a:1"}, Timing: ownership.DefaultTiming()},
		Clock:     clock.NewReal(), Sender: discardingSender{}, Records: store,
		Publish: publish, Journal: func(ownership.Event) {},
	})
	must.NoError(t, err)
	return runner, store
}

// Guards against a runner that makes a step only when an input arrives: the
// first node of a group must create the group and keep its lease without any
// input.
func TestSingleNodeKeepsItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runner, store := newRunner(t, func(*ownership.Snapshot) {})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		go runner.Run(ctx)
		for range 50 {
			time.Sleep(time.Second)
			s := runner.Snapshot()
			must.NotNil(t, s)
			_, code := s.Check(runner.cfg.Clock.Now(), 7)
			must.Eq(t, core.Code(0), code)
		}
		must.Greater(t, 1, store.puts)
	})
}

// Guards against steps after Publish has ended the context: the node may run
// the state machine of another group by then.
func TestNoStepAfterPublishEndsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		published := 0
		runner, _ := newRunner(t, func(*ownership.Snapshot) {
			published++
			cancel()
		})
		for range 100 {
			must.NoError(t, runner.Submit(t.Context(), ownership.Tick{}))
		}
		runner.Run(ctx)
		must.Eq(t, 1, published)
	})
}
