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

// memoryRecords is one group record without faults.
type memoryRecords struct {
	rec     *ownership.GroupRecord
	version uint64
	puts    int
}

func (m *memoryRecords) Get(context.Context) ownership.ReadResult {
	if m.rec == nil {
		return ownership.ReadResult{Status: ownership.ReadMissing}
	}
	return ownership.ReadResult{Status: ownership.ReadFound, Record: m.rec, Version: m.version}
}

func (m *memoryRecords) Put(_ context.Context, rec *ownership.GroupRecord, ifVersion uint64) ownership.PutResult {
	m.puts++
	if ifVersion != m.version {
		return ownership.PutResult{Status: ownership.PutConflict}
	}
	m.rec, m.version = rec, m.version+1
	return ownership.PutResult{Status: ownership.PutOK, Version: m.version}
}

type noPeers struct{}

func (noPeers) Send(core.Member, ownership.Message) {}

func newDuty(t *testing.T, publish func(*ownership.Snapshot)) (*Runner, *memoryRecords) {
	records := &memoryRecords{}
	d, err := New(Config{
		Ownership: ownership.Config{Group: core.GroupID{Service: "s"}, Self: core.Member{Node: "a", Incarnation: 1, Address: "a:1"}, Timing: ownership.DefaultTiming()},
		Clock:     clock.NewReal(), Sender: noPeers{}, Records: records,
		Publish: publish, Journal: func(ownership.Event) {},
	})
	must.NoError(t, err)
	return d, records
}

// Guards against a duty that does not wake by itself: the first node of a group
// creates it and keeps its lease without any input.
func TestFirstNodeKeepsItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, records := newDuty(t, func(*ownership.Snapshot) {})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		go d.Run(ctx)
		for range 50 {
			time.Sleep(time.Second)
			s := d.Snapshot()
			must.NotNil(t, s)
			_, code := s.Check(d.cfg.Clock.Now(), 7)
			must.Eq(t, core.Code(0), code)
		}
		must.Greater(t, 1, records.puts)
	})
}

// Guards against steps after Publish has ended the duty: the node may run the
// duty of another group by then.
func TestPublishMayEndTheDuty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		published := 0
		d, _ := newDuty(t, func(*ownership.Snapshot) {
			published++
			cancel()
		})
		for range 100 {
			must.NoError(t, d.Submit(t.Context(), ownership.Tick{}))
		}
		d.Run(ctx)
		must.Eq(t, 1, published)
	})
}
