package main

import (
	"context"
	"sync/atomic"
	"time"
)

// leaseOfNoRun: the store hangs, and the process beside a keyed backend server is killed
// and starts again. Its next process gets leases before it takes its server's reports for
// current, while the coordinator lets the lease of that server end and writes that others
// have its keys. When the store goes on, it executes the write that has waited.
func leaseOfNoRun() {
	const (
		heartbeat    = 870 * time.Millisecond
		restartDelay = time.Second
		maxHang      = 4500 * time.Millisecond
		rounds       = 5
	)
	c := &cluster{store: newStore(), board: &board{}}
	putConfig(c.store, 7)
	c.add(plainService, 100*time.Millisecond, true, heartbeat)
	c.add(plainService, 300*time.Millisecond, true, heartbeat)
	var servers []*backend
	for i := range 4 {
		_, b := c.add(keyedService, time.Duration(i)*200*time.Millisecond, true, heartbeat)
		servers = append(servers, b)
	}
	allHeld := func() bool {
		sum := 0
		for _, b := range servers {
			sum += countKeys(b.current())
		}
		return sum == 65536
	}
	watchCtx, endWatch := context.WithCancel(context.Background())
	overlaps := make(chan []*overlap, 1)
	go func() { overlaps <- c.board.watchHolders(watchCtx) }()
	ctx, cancel := context.WithCancel(context.Background())
	var focus atomic.Pointer[[]keyRow]
	focus.Store(&[]keyRow{})
	clients := load(ctx, func() []*node { return nodes }, func() []keyRow { return *focus.Load() })
	for round := 1; round <= rounds && c.board.longest.Load() <= int64(maxOverlap); round++ {
		waitFor("all keys are held", 30*time.Second, allHeld)
		time.Sleep(4 * time.Second)
		victim := servers[round%len(servers)]
		rows := victim.current()
		focus.Store(&rows)
		note("round %d: %s holds %d keys", round, victim.instance, countKeys(rows))
		if withTrouble {
			note("disruption: the store hangs")
			c.store.hang()
		}
		hungAt := time.Now()
		time.Sleep(100 * time.Millisecond)
		note("the process beside %s is killed", victim.instance)
		victim.node.kill()
		time.Sleep(restartDelay)
		victim.node.start(false)
		startedAt := time.Now()
		if !withTrouble {
			time.Sleep(8 * time.Second)
			continue
		}
		for _, b := range servers {
			if b != victim {
				b.setPhase(victim.phase + 320*time.Millisecond)
			}
		}
		again := waitUntil(time.Until(hungAt.Add(maxHang)), func() bool {
			victim.mu.Lock()
			defer victim.mu.Unlock()
			return victim.granted.After(startedAt)
		})
		note("%s is granted keys by the new process: %t, %v after its start", victim.instance, again, time.Since(startedAt))
		time.Sleep(10 * time.Millisecond)
		c.store.goOn()
		note("the store goes on after %v", time.Since(hungAt))
		time.Sleep(5 * time.Second)
	}
	cancel()
	clients.Wait()
	endWatch()
	judgeHolders(c.board, <-overlaps)
}
