package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	keyedService, plainService = "huvo11a", "wuno96b"
	host                       = "ficu95.example"
)

// putConfig writes a configuration like those of a small deployment.
func putConfig(s *store, n int) {
	s.put("config", "main", map[string]any{
		"version": version(n),
		"routes": columns([]string{"name", "host", "path-prefix", "type", "timeout", "target-latency", "priority", "service", "attempts", "weighted-clusters"},
			[]any{"r-read", host, "/lohu930/", "idempotent", "1000ms", "300ms", 2, keyedService, 2, nil},
			[]any{"r-write", host, "/pufi791/", "non_idempotent", "1200ms", "400ms", 1, keyedService, 2, nil},
			[]any{"r-upload", host, "/pule252/", "upload", "2500ms", "400ms", 1, plainService, 2, nil},
			[]any{"r-list", host, "/gono990/", "idempotent", "1000ms", "300ms", 2, plainService, 2, nil},
			[]any{"r-plain", host, "/dupa113/", "non_idempotent", "800ms", "250ms", 2, plainService, 2, nil}),
		"services": columns([]string{"name", "health-path", "max-connections", "protocol", "tls", "sharded", "warmup", "grants"},
			[]any{keyedService, "/health", 130, "h1", false, true, "2s", "heartbeat"},
			[]any{plainService, "/health", 130, "h1", false, nil, nil, nil}),
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms", "idle-timeout": "15000ms"},
	})
}

var lastID atomic.Int64

func nextID() string { return fmt.Sprintf("%016x", uint64(0x9c41d07b00000000)+uint64(lastID.Add(1))) }

// call sends one request and returns its status, or 0 if it got no answer.
func call(client *http.Client, n *node, method, path, body string, timeout time.Duration, header map[string]string) (int, string, http.Header) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.outbound+path, strings.NewReader(body))
	if err != nil {
		cannotRun("request: %v", err)
	}
	req.Host = host
	req.Header.Set(headerTimeout, fmt.Sprint(timeout.Milliseconds()))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	return resp.StatusCode, string(data), resp.Header
}

// load sends requests for random keys to all nodes until ctx ends.
func load(ctx context.Context, targets func() []*node, keys func() []keyRow) *sync.WaitGroup {
	var running sync.WaitGroup
	for range 12 {
		running.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
			for ctx.Err() == nil {
				all := targets()
				rows := keys()
				key := rand.IntN(65536)
				if len(rows) > 0 {
					r := rows[rand.IntN(len(rows))]
					key = r.From + rand.IntN(r.To-r.From+1)
				}
				n := all[rand.IntN(len(all))]
				call(client, n, "POST", "/pufi791/x", "data", 1200*time.Millisecond, map[string]string{headerID: nextID(), headerKey: fmt.Sprint(key)})
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return &running
}

// cluster starts nodes of both services, with a backend server beside each.
type cluster struct {
	store *store
	board *board
	count int
}

func (c *cluster) add(service string, phase time.Duration, first bool, heartbeat time.Duration) (*node, *backend) {
	c.count++
	n := newNode(c.store, workDir, fmt.Sprintf("node-%d", c.count), "fi-south-"+string(rune('a'+(c.count-1)%4)), service, fmt.Sprintf("%s.%d", loopback, 10+c.count), heartbeat)
	nodes = append(nodes, n)
	b := &backend{instance: fmt.Sprintf("i-%d", c.count), node: n, slots: 15, work: 20 * time.Millisecond, phase: phase, sharded: service == keyedService}
	if b.sharded {
		b.board = c.board
	}
	n.start(first)
	b.start()
	return n, b
}

// restartAfterRelease: empty backend servers are added, so that others release keys for
// them. Meanwhile the store hangs. The process beside a server that has released keys is
// killed and starts again. When the store goes on, it executes the write that has waited.
// The outcome depends on when the nodes ask for their leases, so that there are rounds.
func restartAfterRelease() {
	const (
		heartbeat = 870 * time.Millisecond
		maxHang   = 7 * time.Second
		rounds    = 6
	)
	c := &cluster{store: newStore(), board: &board{}}
	putConfig(c.store, 7)
	coordinator, _ := c.add(plainService, 100*time.Millisecond, true, heartbeat)
	c.add(plainService, 300*time.Millisecond, true, heartbeat)
	var servers []*backend
	for i := range 2 {
		_, b := c.add(keyedService, time.Duration(i)*250*time.Millisecond, true, heartbeat)
		servers = append(servers, b)
	}
	waitFor("all keys are held", 20*time.Second, func() bool { return countKeys(servers[0].current())+countKeys(servers[1].current()) == 65536 })
	waitFor("nodes are ready", 20*time.Second, func() bool { return coordinator.isReady() && servers[0].node.isReady() && servers[1].node.isReady() })
	time.Sleep(4 * time.Second)

	watchCtx, endWatch := context.WithCancel(context.Background())
	overlaps := make(chan []*overlap, 1)
	go func() { overlaps <- c.board.watchHolders(watchCtx) }()
	ctx, cancel := context.WithCancel(context.Background())
	var focus atomic.Pointer[[]keyRow]
	focus.Store(&[]keyRow{})
	targets := append([]*node(nil), nodes...)
	clients := load(ctx, func() []*node { return targets }, func() []keyRow { return *focus.Load() })

	for round := 1; round <= rounds && c.board.longest.Load() <= int64(maxOverlap); round++ {
		note("round %d: two empty backend servers are added", round)
		released := map[*backend]int{}
		for _, b := range servers {
			released[b] = len(b.releasedKeys())
		}
		var added []*backend
		for range 2 {
			_, b := c.add(keyedService, 550*time.Millisecond, false, heartbeat)
			added = append(added, b)
			time.Sleep(130 * time.Millisecond)
		}
		waitFor("the new servers' reports are answered", 10*time.Second, func() bool { return added[0].isKnown() && added[1].isKnown() })
		if !withTrouble {
			waitFor("the new servers hold keys", 20*time.Second, func() bool { return countKeys(added[0].current()) > 2000 && countKeys(added[1].current()) > 2000 })
			time.Sleep(5 * time.Second)
			servers = append(servers, added...)
			continue
		}
		c.store.hang()
		hungAt := time.Now()
		note("disruption: the store hangs")
		var victim *backend
		waitUntil(4*time.Second, func() bool {
			for _, b := range servers {
				if len(b.releasedKeys()) > released[b] {
					victim = b
				}
			}
			return victim != nil
		})
		servers = append(servers, added...)
		if victim == nil {
			c.store.goOn()
			note("no keys were released; the store goes on")
			time.Sleep(6 * time.Second)
			continue
		}
		freed := victim.releasedKeys()[released[victim]:]
		focus.Store(&freed)
		// The reports of the new servers follow those of this one by 0.32 s.
		for _, b := range added {
			b.setPhase(victim.phase + 320*time.Millisecond)
		}
		time.Sleep(300 * time.Millisecond) // the coordinator learns of the release
		note("disruption: the process beside %s, which has released %d keys, is killed", victim.instance, countKeys(freed))
		victim.node.kill()
		time.Sleep(500 * time.Millisecond)
		victim.node.start(false)
		again := waitUntil(time.Until(hungAt.Add(maxHang)), func() bool { return covers(victim.current(), freed[0].From) })
		note("%s holds keys again that it has released: %t", victim.instance, again)
		time.Sleep(10 * time.Millisecond)
		c.store.goOn()
		note("the store goes on after %v", time.Since(hungAt))
		time.Sleep(7 * time.Second)
	}
	cancel()
	clients.Wait()
	endWatch()
	judgeHolders(c.board, <-overlaps)
}

// isKnown reports whether a report of the server was answered.
func (b *backend) isKnown() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.answered.IsZero()
}

// releasedKeys returns the rows that the server has told to have released.
func (b *backend) releasedKeys() []keyRow {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]keyRow(nil), b.everFreed...)
}

// maxOverlap is how long two servers may hold the same keys by the rule OWNER.
const maxOverlap = 500 * time.Millisecond

// judgeHolders applies the rule OWNER.
func judgeHolders(bd *board, overlaps []*overlap) {
	longest, both := time.Duration(0), 0
	for _, o := range overlaps {
		longest = max(longest, o.to.Sub(o.from))
		began := map[string]int{}
		for _, s := range bd.began {
			if !s.at.Before(o.from) && !s.at.After(o.to) && covers(o.keys, s.key) && (s.instance == o.a || s.instance == o.b) {
				began[s.instance]++
			}
		}
		if len(began) == 2 {
			both++
		}
		note("overlap of %s and %s: %v, %d keys, requests begun on them: %v", o.a, o.b, o.to.Sub(o.from), countKeys(o.keys), began)
	}
	verdict(longest > maxOverlap || both > 0, "overlaps=%d longest=%v with requests of both=%d", len(overlaps), longest, both)
}
