package backend

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
	"marjoramshore.example/platform"
)

// Guards against a slot that is never freed because its request was canceled while
// the event loop was behind, and the cancellation, which takes another ring, was
// handled first. Once all slots were lost, every request was refused.
func TestCancellationBeforeItsRequestTakesNoSlot(t *testing.T) {
	const canceled, slots = 40, 50
	p := startProcess(t, nil, false)
	acked := make(chan struct{})
	go func() {
		defer close(acked)
		_, ok := p.HandleReport(t.Context(), platform.StatusReport{Instance: "i", StartedUnixMs: 1, Address: "127.0.0.1:1", Service: "reports", Slots: slots, Sequence: 1})
		must.True(t, ok)
	}()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { _, events := p.RingStats(); return events.Len == 1 }), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{}, canceled)
	for range canceled {
		go func() {
			defer func() { ended <- struct{}{} }()
			_, err := p.admit(ctx, &core.Request{Deadline: time.Now().Add(time.Minute)})
			must.Error(t, err)
		}()
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { requests, _ := p.RingStats(); return requests.Len == canceled }), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
	cancel()
	for range canceled {
		<-ended
	}
	go p.Run(t.Context())
	<-acked
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		requests, events := p.RingStats()
		return requests.Len == 0 && events.Len == 0 && p.Load() == fleet.Usage{MeanServiceTime: p.Load().MeanServiceTime}
	}), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)), must.Sprintf("slots are in use although no request runs: %+v", p.Load()))
	must.Eq(t, 0, p.offer(t))
}
