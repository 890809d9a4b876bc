package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"
)

// keyRow is a span of keys that a backend server holds under a fence number.
type keyRow struct {
	from, to int
	fence    int64
	// until is when the hold of a row that was left out would have run out.
	until time.Time
}

func (r keyRow) contains(key int) bool { return r.from <= key && key <= r.to }

// keyHolder is the part of a backend server that concerns keys. Its fields are guarded
// by the backend's lock.
type keyHolder struct {
	rows []keyRow // of the last grant
	// until is when the hold ends.
	until time.Time
	// working counts the requests that run or wait at the backend server, by key, and
	// leftOut are rows that the last grant left out while there was work on them.
	working map[int]int
	leftOut []keyRow
	freed   []keyRow
	// onGrant is called with the rows that are new in a grant.
	onGrant func([]keyRow)
}

func (h *keyHolder) atWork(r keyRow) bool {
	for key, n := range h.working {
		if n > 0 && r.contains(key) {
			return true
		}
	}
	return false
}

func (h *keyHolder) holds(key int) bool {
	for _, r := range h.rows {
		if r.contains(key) {
			return time.Now().Before(h.until)
		}
	}
	return false
}

// expire drops the rows of a hold that has run out.
func (h *keyHolder) expire() {
	now := time.Now()
	if now.After(h.until) {
		h.rows = nil
	}
	h.leftOut = slices.DeleteFunc(h.leftOut, func(r keyRow) bool { return now.After(r.until) })
}

// settle frees the rows that were left out and on which the work has ended.
func (h *keyHolder) settle() {
	var rest []keyRow
	for _, r := range h.leftOut {
		if h.atWork(r) {
			rest = append(rest, r)
		} else {
			h.freed = append(h.freed, r)
		}
	}
	h.leftOut = rest
}

// report returns the lists of a status report.
func (h *keyHolder) report() (holds, freed [][]any) {
	h.expire()
	h.settle()
	holds, freed = [][]any{}, [][]any{}
	for _, r := range append(append([]keyRow(nil), h.rows...), h.leftOut...) {
		holds = append(holds, []any{r.from, r.to, r.fence})
	}
	for _, r := range h.freed {
		freed = append(freed, []any{r.from, r.to, fmt.Sprintf("%016x", r.from*65536+r.to)})
	}
	return holds, freed
}

// grant takes in the rows of an answer to a report that was sent at sentAt.
func (h *keyHolder) grant(rows []keyRow, until time.Time) {
	var added []keyRow
	for _, r := range rows {
		known := false
		for _, o := range h.rows {
			known = known || o.fence == r.fence && o.from <= r.from && r.to <= o.to
		}
		if !known {
			added = append(added, r)
		}
	}
	for _, o := range h.rows {
		kept := false
		for _, r := range rows {
			kept = kept || r.fence == o.fence && r.from <= o.to && o.from <= r.to
		}
		if !kept {
			o.until = h.until // of the last grant that listed it
			h.leftOut = append(h.leftOut, o)
		}
	}
	h.rows, h.until, h.freed = rows, until, nil
	h.settle()
	if len(added) > 0 && h.onGrant != nil {
		h.onGrant(added)
	}
}

const (
	serverSlots = 15
	// longQueue is the length of the queue from which the server accepts no further
	// connections, until the queue is empty.
	longQueue = 4
)

// limitConnections makes the server reset further connections while its queue is long.
// The server goes on with requests whose connections are closed.
func (b *backend) limitConnections(r *run) {
	addr := b.ln.Addr().String()
	for {
		time.Sleep(2 * time.Millisecond)
		b.mu.Lock()
		waiting := max(0, b.outstanding-serverSlots)
		switch {
		case waiting >= longQueue && !b.full:
			b.full = true
			_ = b.ln.Close()
			r.logf("%s: %d requests wait in its queue; it resets further connections", b.instance, waiting)
		case waiting == 0 && b.full:
			ln, err := net.Listen("tcp", addr)
			if err != nil {
				b.mu.Unlock()
				continue
			}
			b.full, b.ln = false, ln
			go b.serve(ln)
			r.logf("%s: accepts connections again", b.instance)
		}
		b.mu.Unlock()
	}
}

// workOn runs a request for a key for the given time, after a wait for a slot.
func (b *backend) workOn(q *request, work time.Duration) bool {
	key, _ := strconv.Atoi(q.get("X-Marjoramshore-Shard-Key"))
	b.mu.Lock()
	if !b.keys.holds(key) {
		b.mu.Unlock()
		_, err := fmt.Fprintf(q.conn, "HTTP/1.1 421 Misdirected Request\r\nX-Marjoramshore-Not-Executed: 1\r\nX-Marjoramshore-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", q.id())
		return err == nil
	}
	b.keys.working[key]++
	b.outstanding++
	b.mu.Unlock()
	b.slotTokens <- struct{}{}
	time.Sleep(work)
	<-b.slotTokens
	b.mu.Lock()
	b.keys.working[key]--
	b.outstanding--
	b.mu.Unlock()
	return b.answer(q, 200, nil, []byte("ok "+q.id()))
}

// ownerCase lets some callers leave before they are answered. The backend server goes on
// with their requests, and resets further connections while its queue is long.
func ownerCase(r *run) int {
	const (
		work       = 700 * time.Millisecond // site: up to 810 ms
		leaveAfter = 120 * time.Millisecond // within half of the objective
		leaveShare = 0.3
	)
	var backends []*backend
	var mu sync.Mutex
	overlaps := 0
	for i, zone := range []string{"fi-south-a", "fi-south-b"} {
		b, err := newBackend("hintapalvelu", zone, fmt.Sprintf("i-%d", i+1))
		if err != nil {
			return notRun
		}
		b.keys = &keyHolder{working: map[int]int{}}
		b.slotTokens = make(chan struct{}, serverSlots)
		b.handle = func(q *request) bool { return b.workOn(q, work) }
		backends = append(backends, b)
		newNode(r, "sidecar-"+zone+"-1", zone, "hintapalvelu", b)
	}
	first, second := backends[0], backends[1]
	// The stand-ins compare what both hold when the second one is given keys.
	second.keys.onGrant = func(rows []keyRow) {
		go func() {
			first.mu.Lock()
			defer first.mu.Unlock()
			first.keys.expire()
			for _, row := range rows {
				for key, n := range first.keys.working {
					left := first.keys.holdLeft(key)
					if n > 0 && row.contains(key) && left > 0 {
						mu.Lock()
						overlaps++
						mu.Unlock()
						r.logf("i-2 is given keys %d to %d (fence %d); i-1 works on key %d, and its hold has %d ms to go", row.from, row.to, row.fence, key, left.Milliseconds())
					}
				}
			}
		}()
	}
	r.putConfig([][]any{{"r1", "ficu95.example", "/lookup/", "idempotent", "2500ms", "1000ms", 2, "hintapalvelu", 2, nil}},
		[][]any{{"hintapalvelu", "/health", 130, "h1", false, true, "2s", "heartbeat"}})
	if !r.startAll(backends...) {
		return notRun
	}
	time.Sleep(3 * time.Second) // the keys are dealt
	first.mu.Lock()
	var keys []int
	for _, row := range first.keys.rows {
		keys = append(keys, row.from, row.to)
	}
	first.mu.Unlock()
	if len(keys) == 0 {
		r.logf("the first backend server holds no keys")
		return notRun
	}
	r.logf("i-1 holds %d rows", len(keys)/2)
	go first.limitConnections(r)
	n := r.nodes[0]
	lookup := func(id string, wait time.Duration) {
		key := strconv.Itoa(keys[rand.IntN(len(keys))])
		exchange(n.addr("outbound"), requestHead("GET", "/lookup/x", id, 2500, "X-Marjoramshore-Shard-Key: "+key, "Connection: close")+"\r\n", wait)
	}
	for i := range 3 {
		lookup(fmt.Sprintf("warm-%d", i), 3*time.Second) // the node learns how long the work takes
	}
	var callers sync.WaitGroup
	for i := range 100 {
		for j := range 6 {
			id := fmt.Sprintf("c%d-%d", i, j)
			wait := 3 * time.Second
			if r.trouble && rand.Float64() < leaveShare {
				wait = leaveAfter
			}
			callers.Go(func() { lookup(id, wait) })
		}
		time.Sleep(100 * time.Millisecond)
	}
	callers.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	r.logf("%d times a key was given on while its holder worked on it and its hold had not run out", overlaps)
	if overlaps > 0 {
		return broken
	}
	return held
}

// holdLeft returns how long the hold of a key lasts, or would last if its row had not
// been left out of a later grant.
func (h *keyHolder) holdLeft(key int) time.Duration {
	for _, r := range h.rows {
		if r.contains(key) {
			return time.Until(h.until)
		}
	}
	for _, r := range h.leftOut {
		if r.contains(key) {
			return time.Until(r.until)
		}
	}
	return 0
}
