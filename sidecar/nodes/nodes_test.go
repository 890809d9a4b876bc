package nodes

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
	"marjoramshore.example/peers"
	"marjoramshore.example/sidecar/keys"
)

// socket delivers beacons and drops what is sent.
type socket struct{ in chan fleet.Beacon }

func (socket) Send([]byte, string) error { return nil }

func (s socket) Receive([]byte) (fleet.Beacon, error) {
	b, ok := <-s.in
	if !ok {
		return b, &peers.BeaconError{Op: "receive", Cause: context.Canceled}
	}
	return b, nil
}

// keyDuty has a table of one revision.
type keyDuty struct{ revision atomic.Uint64 }

func (k *keyDuty) Status() keys.Status { return keys.Status{Revision: k.revision.Load()} }
func (k *keyDuty) See(keys.Sight)      {}

// Guards against a key table that is fetched late: requests go to the former
// owner until then. Nodes hear of a new table by beacon only.
func TestNewTableIsAskedForAtOnce(t *testing.T) {
	s, duty := socket{make(chan fleet.Beacon)}, &keyDuty{}
	duty.revision.Store(4)
	asked := make(chan Behind, 8)
	d := New(Config{
		Self: fleet.Entry{Node: "me", Incarnation: 1}, Clock: clock.NewReal(), Log: &log.Logger{Handler: discard.Default}, Socket: s,
		Own:    func() Own { return Own{Tables: map[core.Service]uint64{"s": duty.revision.Load()}} },
		Keys:   func() map[core.Service]KeyDuty { return map[core.Service]KeyDuty{"s": duty} },
		Tick:   func(clock.Instant, int) {},
		Behind: func(b Behind) { asked <- b },
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go d.Run(ctx)
	go d.Receive(ctx)
	defer close(s.in)
	beacon := func(serial, table uint64) fleet.Beacon {
		return fleet.Beacon{
			Entry: fleet.Entry{Node: "other", Incarnation: 2, PeerAddress: "there", Serial: serial}, TableVersions: map[core.Service]uint64{"s": table},
		}
	}
	s.in <- beacon(1, 4)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return d.Snapshot().Nodes["other"] != nil }), wait.Timeout(5*time.Second)))
	must.SliceEmpty(t, drain(asked), must.Sprint("nothing newer was announced"))
	s.in <- beacon(2, 5)
	select {
	case b := <-asked:
		must.Eq(t, Behind{Service: "s", Address: "there"}, b)
	case <-time.After(5 * time.Second):
		t.Fatal("not asked")
	}
	duty.revision.Store(5)
	time.Sleep(askAgain + 2*tick)
	must.SliceEmpty(t, drain(asked), must.Sprint("asked again for what is there"))
}

func drain(c chan Behind) (out []Behind) {
	for {
		select {
		case b := <-c:
			out = append(out, b)
		default:
			return out
		}
	}
}
