package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// oddReport plays a status report of another writer, from which fields are
// missing, beside backends that hold keys.
func oddReport(record string, trouble bool) (int, error) {
	e, err := newEnv(record)
	if err != nil {
		return exitNoRun, err
	}
	defer e.close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	e.putConfig(7, []routeRow{
		{"r-1", "/look/", "idempotent", "prices", "1000ms", "300ms", 2, 2},
		{"r-2", "/submit/", "non_idempotent", "prices", "1200ms", "400ms", 1, 2},
	}, map[string]bool{"prices": true})
	var backends []*backend
	for i := 1; i <= 4; i++ {
		n, err := e.addNode(i, "prices")
		if err != nil {
			return exitNoRun, err
		}
		b, err := startBackend(backendConfig{service: "prices", instance: fmt.Sprintf("i-%d", i), address: n.at(portBackend), control: n.at(portControl), sharded: true, slots: 15, work: 60 * time.Millisecond, heartbeat: heartbeat}, e.rec)
		if err != nil {
			return exitNoRun, err
		}
		defer b.exit()
		backends = append(backends, b)
	}
	if !e.waitReady(ctx) {
		return exitNoRun, errors.New("nodes are not ready")
	}
	if !e.waitHeld(ctx, backends) {
		return exitNoRun, errors.New("the keys have no holders")
	}
	time.Sleep(5 * time.Second)
	callers, stopCallers := context.WithCancel(ctx)
	var wait sync.WaitGroup
	for _, n := range e.nodes {
		e.runCaller(callers, callerConfig{node: n, method: "GET", kind: "idempotent", keyed: true, path: "/look/", perSecond: 15, timeout: 2 * time.Second}, &wait)
		e.runCaller(callers, callerConfig{node: n, method: "POST", kind: "non_idempotent", keyed: true, path: "/submit/", perSecond: 10, bodyBytes: 300, timeout: 2500 * time.Millisecond, fresh: true}, &wait)
	}
	time.Sleep(5 * time.Second)
	oddAt := e.rec.now()
	if trouble {
		// There is no address, no version, no zone and no seq.
		body := fmt.Sprintf(`{"born":%d,"info":{"service":"prices","slots":15},"status":{"state":"ready"}}`, time.Now().UnixMilli())
		resp, err := http.Post("http://"+e.nodes[0].at(portControl)+"/instances/i-other/heartbeat", "application/json", bytes.NewReader([]byte(body)))
		if err != nil {
			stopCallers()
			return exitNoRun, err
		}
		resp.Body.Close()
		e.rec.add("odd-report", "node", e.nodes[0].name, "status", resp.StatusCode, "body", body)
	}
	time.Sleep(15 * time.Second)
	stopCallers()
	wait.Wait()
	return e.judgeOdd(oddAt, backends[0]), nil
}

// waitHeld waits until the backends hold all keys.
func (e *env) waitHeld(ctx context.Context, backends []*backend) bool {
	for ctx.Err() == nil {
		total := 0
		for _, b := range backends {
			b.mu.Lock()
			if time.Now().Before(b.heldUntil) {
				for _, r := range b.held {
					total += r.to - r.from + 1
				}
			}
			b.mu.Unlock()
		}
		if total == 65536 {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// judgeOdd checks the rule OWNER.
func (e *env) judgeOdd(oddAt time.Duration, real *backend) int {
	breaches := e.rec.checkHolds()
	for i, b := range breaches {
		e.rec.add("breach", "rule", b.rule, "what", fmt.Sprintf("%q", b.what))
		if i < 3 {
			fmt.Println(b.rule, b.what)
		}
	}
	before, after := 0, 0
	e.rec.mu.Lock()
	for _, x := range e.rec.runs {
		if x.instance == real.cfg.instance && x.at <= oddAt {
			before++
		} else if x.instance == real.cfg.instance {
			after++
		}
	}
	e.rec.mu.Unlock()
	fmt.Printf("sampled keys (of 512) that two backends held for over half a second, or took with a fence that is not above: %d; runs at %s: %d before, %d after\n", len(breaches), real.cfg.instance, before, after)
	if len(breaches) > 0 {
		return exitBroken
	}
	return exitHeld
}
