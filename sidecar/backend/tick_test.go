package backend

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
	"marjoramshore.example/slotqueue"
)

// Guards against a process that is woken for requests to expire although none
// waits, and against waiting requests that expire late.
func TestTicksFollowWaitingRequests(t *testing.T) {
	st := &state{Proxy: &Proxy{}, queue: slotqueue.New()}
	st.queue.Resize(1)
	st.queue.SetOpen(true)
	must.Eq(t, idleInterval, st.tickInterval())
	running, waiting := &slotqueue.Ticket{Class: "c"}, &slotqueue.Ticket{Class: "c"}
	st.queue.Offer(1, running)
	must.Eq(t, idleInterval, st.tickInterval())
	st.queue.Offer(1, waiting)
	must.Eq(t, expireInterval, st.tickInterval())
	st.queue.Cancel(2, waiting)
	must.Eq(t, idleInterval, st.tickInterval())
}

// Guards against a waiting request that gets no answer at its deadline, because
// ticks were rare before it began to wait.
func TestWaitingRequestExpiresAtItsDeadline(t *testing.T) {
	p := startProxy(t)
	slot, err := p.admit(t.Context(), &core.Request{Deadline: time.Now().Add(time.Minute)})
	must.NoError(t, err)
	defer p.completeRequest(t.Context(), slot, &core.Response{}, nil)
	deadline := time.Now().Add(200 * time.Millisecond)
	_, err = p.admit(context.Background(), &core.Request{Deadline: deadline})
	must.Eq(t, core.CodeDeadlineNotRun, core.CodeOf(err))
}

// Guards against ticks that stop while requests begin and cease to wait more
// often than the duty ticks: silent runs and the demand are noticed at ticks.
func TestTicksGoOnWhileWaitingChanges(t *testing.T) {
	p := startProxy(t)
	for end := time.Now().Add(2 * demandInterval); time.Now().Before(end); {
		slot, err := p.admit(t.Context(), &core.Request{Deadline: time.Now().Add(time.Minute)})
		must.NoError(t, err)
		waiting, cancel := context.WithTimeout(t.Context(), expireInterval/4)
		_, err = p.admit(waiting, &core.Request{Deadline: time.Now().Add(time.Minute)})
		cancel()
		must.Error(t, err)
		p.completeRequest(t.Context(), slot, &core.Response{}, nil)
	}
	must.Positive(t, p.Demand(), must.Sprint("the demand was not measured, so the duty did not tick"))
}
