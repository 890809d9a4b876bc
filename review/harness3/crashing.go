package main

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// crashesAcrossRestarts: a request that crashes the backend servers that run it comes
// again and again. Between, the node beside the owner of its key is stopped and started.
func crashesAcrossRestarts() {
	const (
		heartbeat    = 870 * time.Millisecond
		stableWindow = 3 * time.Second
		backAfter    = 2 * time.Second
	)
	c := &cluster{store: newStore(), board: &board{}}
	putConfig(c.store, 7)
	var mu sync.Mutex
	var owner *node
	var crashes, arrivals []time.Time
	ready := func() {
		waitFor("all nodes are ready", 15*time.Second, func() bool {
			for _, n := range nodes {
				if !n.isReady() {
					return false
				}
			}
			return true
		})
		time.Sleep(stableWindow + 1200*time.Millisecond) // all are in touch
	}
	var follow func(b *backend)
	follow = func(b *backend) {
		b.onRun = func(b *backend, r *http.Request) {
			if !strings.HasPrefix(r.URL.Path, "/pufi791/poison") {
				return
			}
			mu.Lock()
			owner = b.node
			arrivals = append(arrivals, time.Now())
			crashes = append(crashes, time.Now())
			note("%s: request %s begins to run, crash %d", b.instance, r.Header.Get(headerID), len(crashes))
			mu.Unlock()
			go func() {
				b.crash()
				time.Sleep(backAfter)
				next := &backend{instance: b.instance + "n", node: b.node, slots: b.slots, work: b.work, phase: b.phase, sharded: true, board: c.board}
				follow(next)
				next.start()
			}()
			<-r.Context().Done()
		}
	}
	for i := range 3 {
		_, b := c.add(keyedService, time.Duration(i)*200*time.Millisecond, true, heartbeat)
		follow(b)
	}
	origin, _ := c.add(plainService, 700*time.Millisecond, true, heartbeat)
	ready()
	const key = "4711"

	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	// send sends the request until a server has crashed by it, which is times more often,
	// or has refused it three times.
	send := func(times int) {
		for range times {
			for range 3 {
				mu.Lock()
				before := len(crashes)
				mu.Unlock()
				status, _, _ := call(client, origin, "POST", "/pufi791/poison", "the same body", 800*time.Millisecond, map[string]string{headerID: nextID(), headerKey: key})
				mu.Lock()
				after := len(crashes)
				mu.Unlock()
				note("the caller gets %d", status)
				if after > before {
					time.Sleep(backAfter + 2500*time.Millisecond)
					break
				}
				time.Sleep(time.Second)
			}
		}
	}
	restart := func() {
		if !withTrouble {
			return
		}
		note("planned work: %s is stopped and started", owner.name)
		owner.signal(syscall.SIGTERM)
		<-owner.ended
		time.Sleep(300 * time.Millisecond)
		owner.start(false)
		ready()
	}
	for range 3 {
		send(2)
		restart()
	}
	send(3)
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range arrivals {
		if len(crashes) >= 3 && at.Sub(crashes[2]) > stableWindow {
			late++
		}
	}
	verdict(late > 3, "crashes=%d, retries that arrived later than the stable window after the third=%d", len(crashes), late)
}
