package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// lateReport plays a backend that deregisters while its last status report is
// held up on its way, and a kill of the node beside it.
func lateReport(record string, trouble bool) (int, error) {
	e, err := newEnv(record)
	if err != nil {
		return exitNoRun, err
	}
	defer e.close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	e.putConfig(7, []routeRow{{"r-1", "/confirm/", "non_idempotent", "reports", "1500ms", "400ms", 1, 2}}, map[string]bool{"reports": false, "prices": false})
	var backends []*backend
	for i := 1; i <= 5; i++ {
		service := "reports"
		if i > 3 {
			service = "prices"
		}
		n, err := e.addNode(i, service)
		if err != nil {
			return exitNoRun, err
		}
		b, err := startBackend(backendConfig{service: service, instance: fmt.Sprintf("i-%d", i), address: n.at(portBackend), control: n.at(portControl), slots: 15, work: 100 * time.Millisecond, heartbeat: heartbeat}, e.rec)
		if err != nil {
			return exitNoRun, err
		}
		defer b.exit()
		backends = append(backends, b)
	}
	if !e.waitReady(ctx) {
		return exitNoRun, errors.New("nodes are not ready")
	}
	time.Sleep(4 * time.Second)
	callers, stopCallers := context.WithCancel(ctx)
	var wait sync.WaitGroup
	for _, n := range e.nodes[3:] {
		e.runCaller(callers, callerConfig{node: n, method: "POST", kind: "non_idempotent", path: "/confirm/", perSecond: 25, bodyBytes: 600, timeout: 1500 * time.Millisecond, fresh: true}, &wait)
	}
	time.Sleep(4 * time.Second)
	leaver, beside := backends[1], e.nodes[1]
	leaver.setSilent(true)
	leaver.sendLateReport(2 * time.Second)
	time.Sleep(300 * time.Millisecond)
	if !leaver.deregister() {
		stopCallers()
		return exitNoRun, errors.New("deregistration was not acknowledged")
	}
	ackAt := e.rec.now()
	time.Sleep(300 * time.Millisecond)
	if trouble {
		beside.signal(syscall.SIGKILL)
	}
	<-leaver.lateDone
	time.Sleep(ackAt + 8*time.Second - e.rec.now())
	leaver.exit()
	exitAt := e.rec.now()
	time.Sleep(2 * time.Second)
	stopCallers()
	wait.Wait()
	return e.judgeLate(leaver, beside, ackAt, exitAt), nil
}

// judgeLate checks the rule DRAIN: no request reaches the backend later than
// drain after the acknowledgement, sent on by machines in touch.
func (e *env) judgeLate(leaver *backend, beside *node, ackAt, exitAt time.Duration) int {
	r := e.rec
	inTouchFrom := time.Duration(beside.startedAt.Load()) + stableWindow
	late, lost := 0, 0
	ids := map[string]bool{}
	r.mu.Lock()
	for _, x := range r.runs {
		if x.instance == leaver.cfg.instance && x.at > ackAt+drainTime && x.at > inTouchFrom {
			late++
			ids[x.id] = true
		}
	}
	for _, a := range r.answers {
		if ids[a.id] && a.status/100 != 2 {
			lost++
		}
	}
	r.mu.Unlock()
	r.add("result", "late_requests", late, "of_these_not_answered_with_success", lost, "ack", ackAt, "in_touch_from", inTouchFrom, "exit", exitAt)
	fmt.Printf("requests that reached the backend later than drain after the ack, sent on by machines in touch: %d; of these without success: %d\n", late, lost)
	for _, b := range r.checkRequests() {
		fmt.Println(b.rule, b.what)
	}
	if late > 0 {
		return exitBroken
	}
	return exitHeld
}
