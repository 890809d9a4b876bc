package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// recoveryTime is the bound recovery of the settings.
	recoveryTime = 15 * time.Second
	// impatientShare and impatientWithin are the dose of give_up: that share of
	// the requests is left within half of the objective of 100 ms.
	impatientShare  = 0.3
	impatientWithin = 50 * time.Millisecond
	// give_up comes impatientTurns times, for impatientTime each.
	impatientTime  = 6500 * time.Millisecond
	impatientPause = 500 * time.Millisecond
	impatientTurns = 7
	clientsPerNode = 400
	// maxRetryPause is a third of the time budget; callers wait no longer before they
	// come back after a refusal.
	maxRetryPause = time.Second / 3
	quietTime     = 10 * time.Second
	// quietWork is how long a request of the last part of the day runs.
	quietWork = 80 * time.Millisecond
)

// giveUp plays a final fault (all processes are killed) under load, after which a
// share of the callers leaves early for some seconds. Then there is little load, and
// nobody leaves.
func giveUp(record string, trouble bool) (int, error) {
	e, err := newEnv(record)
	if err != nil {
		return exitNoRun, err
	}
	defer e.close()
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	e.putConfig(7, []routeRow{{"r-1", "/fetch/", "idempotent", "reports", "1000ms", "100ms", 2, 2}}, map[string]bool{"reports": false})
	for i := 1; i <= 2; i++ {
		n, err := e.addNode(i, "reports")
		if err != nil {
			return exitNoRun, err
		}
		b, err := startBackend(backendConfig{service: "reports", instance: fmt.Sprintf("i-%d", i), address: n.at(portBackend), control: n.at(portControl), slots: 8, work: 2 * time.Millisecond, heartbeat: heartbeat}, e.rec)
		if err != nil {
			return exitNoRun, err
		}
		defer b.exit()
	}
	if !e.waitReady(ctx) {
		return exitNoRun, errors.New("nodes are not ready")
	}
	time.Sleep(3 * time.Second)
	callers, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var wait sync.WaitGroup
	var impatient atomic.Bool
	e.runClients(callers, &impatient, &wait)
	time.Sleep(8 * time.Second)
	faultAt := e.rec.now()
	for _, n := range e.nodes {
		n.signal(syscall.SIGKILL)
	}
	time.Sleep(restartDelay + 100*time.Millisecond)
	if !e.waitReady(ctx) {
		return exitNoRun, errors.New("nodes are not ready after the final fault")
	}
	backAt := e.rec.now()
	e.rec.add("machines-back")
	for range impatientTurns {
		impatient.Store(trouble)
		e.rec.add("callers-leave-early", "on", trouble)
		time.Sleep(impatientTime)
		impatient.Store(false)
		e.rec.add("callers-leave-early", "on", false)
		time.Sleep(impatientPause)
	}
	stopCallers()
	wait.Wait()
	quiet, stopQuiet := context.WithCancel(ctx)
	defer stopQuiet()
	for _, n := range e.nodes {
		e.runCaller(quiet, callerConfig{node: n, method: "GET", kind: "idempotent", path: "/fetch/", perSecond: 50, timeout: time.Second, fresh: true, workMs: int(quietWork.Milliseconds())}, &wait)
	}
	time.Sleep(quietTime)
	stopQuiet()
	wait.Wait()
	return e.judgeRecovery(faultAt, backAt+recoveryTime), nil
}

// runClients starts the callers. Each has one request at a time, on a connection of
// its own, and comes back after a refusal when the node says.
func (e *env) runClients(ctx context.Context, impatient *atomic.Bool, wait *sync.WaitGroup) {
	for _, n := range e.nodes {
		for range clientsPerNode {
			wait.Go(func() {
				for ctx.Err() == nil {
					c := callerConfig{node: n, method: "GET", kind: "idempotent", path: "/fetch/", timeout: time.Second, fresh: true}
					if impatient.Load() && rand.Float64() < impatientShare {
						c.leaveAfter = time.Duration(rand.Float64() * float64(impatientWithin))
					}
					a := e.send(c, nil)
					pause := time.Duration(0)
					if seconds, err := strconv.ParseFloat(a.retry, 64); err == nil {
						pause = min(time.Duration(seconds*float64(time.Second)), maxRetryPause)
					} else if a.status != 200 && c.leaveAfter == 0 {
						pause = 100 * time.Millisecond
					}
					select {
					case <-time.After(pause):
					case <-ctx.Done():
					}
				}
			})
		}
	}
}

// judgeRecovery checks the rule RECOVER. What callers left early is not owed.
func (e *env) judgeRecovery(faultAt, from time.Duration) int {
	var before, beforeServed, after, afterServed, early int
	e.rec.mu.Lock()
	for _, a := range e.rec.answers {
		served := a.status == 200 && a.bodyOK
		switch {
		case a.early && a.status == 0:
			early++
		case a.sentAt < faultAt-time.Second:
			before++
			if served {
				beforeServed++
			}
		case a.sentAt > from:
			after++
			if served {
				afterServed++
			}
		}
	}
	e.rec.mu.Unlock()
	e.rec.add("result", "before", before, "served", beforeServed, "later_than_recovery", after, "served", afterServed, "left_early", early)
	fmt.Printf("before the final fault %d of %d served; sent later than recovery after the machines were back: %d of %d served; left early before that: %d\n",
		beforeServed, before, afterServed, after, early)
	if before == 0 || after == 0 || beforeServed*4 < before {
		return exitNoRun
	}
	if afterServed*4 < after {
		return exitBroken
	}
	return exitHeld
}
