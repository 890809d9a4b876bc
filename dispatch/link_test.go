package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
)

// Traffic of the simulation: a service with uploads and small calls on VMs with
// slow links. 240 uploads a second fill them to 64% if they are spread evenly.
const (
	simServers      = 18
	simSenders      = 76
	simSlots        = 18
	simLinkMbps     = 10
	simCallRate     = 1500
	simUploadBytes  = 60_000
	simWindowBytes  = 16 << 10
	simUploadWork   = 380 * time.Millisecond
	simCallWork     = 93 * time.Millisecond
	simUploadTarget = 1500 * time.Millisecond
	simLength       = 20 * time.Second
	simWarmup       = 5 * time.Second
)

var simSpeeds = []float64{0.6, 1, 1.4}

// simServer is a VM: a link that carries one message after the other, and a
// backend server with slots.
type simServer struct {
	speed    float64
	linkFree clock.Instant
	slots    []clock.Instant // when each becomes free
	starts   []clock.Instant // of the requests that wait or run
	ends     []clock.Instant
	mean     time.Duration
	counters fleet.LinkCounters
	monitor  *fleet.LinkMonitor
	unread   int64
}

func (s *simServer) usage(now clock.Instant) fleet.Usage {
	u := fleet.Usage{MeanServiceTime: s.mean, LinkShare: s.monitor.LinkShare(), ReadDelay: s.monitor.ReadDelay(), UnreadBodyBytes: s.unread}
	for i := range s.starts {
		switch {
		case now.Before(s.starts[i]):
			u.Waiting++
		case now.Before(s.ends[i]):
			u.Running++
		}
	}
	keep := 0
	for i := range s.ends {
		if now.Before(s.ends[i]) {
			s.starts[keep], s.ends[keep] = s.starts[i], s.ends[i]
			keep++
		}
	}
	s.starts, s.ends = s.starts[:keep], s.ends[:keep]
	return u
}

type simEvent struct {
	at clock.Instant
	do func(now clock.Instant)
}

type simQueue []simEvent

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(e any)        { *q = append(*q, e.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simFleet is the simulation. Each sender has a view of its own, as old as the
// last answer or beacon of a server.
type simFleet struct {
	rnd     *rand.Rand
	events  simQueue
	servers []*simServer
	views   []*fleet.Snapshot
	delays  []time.Duration // of calls, before they are read
	// uploadRate is the number of uploads a second.
	uploadRate float64
	// silentLinks counts the servers, from the last one, whose nodes report
	// nothing about their links.
	silentLinks int
	// uploads counts the uploads, refused those of them for which no link had
	// room.
	uploads, refused int
}

func newSimFleet(seed uint64, uploadRate float64) *simFleet {
	f := &simFleet{rnd: rand.New(rand.NewPCG(seed, seed)), uploadRate: uploadRate}
	for i := range simServers {
		f.servers = append(f.servers, &simServer{
			speed: simSpeeds[i%len(simSpeeds)], slots: make([]clock.Instant, simSlots), mean: simCallWork,
			monitor: fleet.NewLinkMonitor(start, simLinkMbps),
		})
	}
	for range simSenders {
		var peers []*fleet.Peer
		for i := range simServers {
			p := newPeer(fmt.Sprint("n", i), core.DataCentre(fmt.Sprint("dc", i%4)))
			p.Slots, p.LinkMbps = simSlots, simLinkMbps
			peers = append(peers, p)
		}
		f.views = append(f.views, &fleet.Snapshot{ByService: map[core.Service][]*fleet.Peer{"s": peers}})
	}
	return f
}

func (f *simFleet) at(t clock.Instant, do func(now clock.Instant)) {
	heap.Push(&f.events, simEvent{t, do})
}

// reportsLink reports whether the node beside a server reports its link.
func (f *simFleet) reportsLink(server int) bool { return server < len(f.servers)-f.silentLinks }

// silenceLinks makes the nodes beside the last n servers report nothing about
// their links, as earlier versions do.
func (f *simFleet) silenceLinks(n int) {
	f.silentLinks = n
	for _, v := range f.views {
		for i, p := range v.ByService["s"] {
			if !f.reportsLink(i) {
				p.LinkMbps = 0
			}
		}
	}
}

// report returns what the node beside a server reports of its usage.
func (f *simFleet) report(now clock.Instant, server int) fleet.Usage {
	u := f.servers[server].usage(now)
	if !f.reportsLink(server) {
		u.LinkShare, u.ReadDelay, u.UnreadBodyBytes = 0, 0, 0
	}
	return u
}

// every calls do at each interval until the end.
func (f *simFleet) every(interval func() time.Duration, do func(now clock.Instant)) {
	var tick func(now clock.Instant)
	tick = func(now clock.Instant) {
		do(now)
		f.at(now.Add(interval()), tick)
	}
	f.at(start.Add(interval()), tick)
}

func (f *simFleet) run() {
	poisson := func(rate float64) func() time.Duration {
		return func() time.Duration { return time.Duration(f.rnd.ExpFloat64() / rate * float64(time.Second)) }
	}
	f.every(poisson(f.uploadRate), func(now clock.Instant) {
		f.send(now, int64(simUploadBytes*(0.3+0.7*f.rnd.ExpFloat64())), simUploadWork)
	})
	f.every(poisson(simCallRate), func(now clock.Instant) { f.send(now, 0, simCallWork) })
	f.every(func() time.Duration { return 100 * time.Millisecond }, func(now clock.Instant) {
		for _, s := range f.servers {
			s.monitor.Update(now, s.counters)
		}
	})
	f.every(func() time.Duration { return 500 * time.Millisecond }, func(now clock.Instant) {
		for i := range f.servers {
			u := f.report(now, i)
			for _, v := range f.views {
				v.ByService["s"][i].Load.SetUsage(u)
			}
		}
	})
	for {
		e := heap.Pop(&f.events).(simEvent)
		if e.at.Sub(start) > simLength {
			return
		}
		e.do(e.at)
	}
}

// send sends a request from a random sender. The first simServers senders are
// the VMs of the servers.
func (f *simFleet) send(now clock.Instant, body int64, work time.Duration) {
	const headBytes = 600
	sender := f.rnd.IntN(simSenders)
	peers := f.views[sender].ByService["s"]
	own := core.NodeID(fmt.Sprint("n", sender))
	req := RequestInfo{Node: own, Service: "s", DataCentre: core.DataCentre(fmt.Sprint("dc", sender%4)), BodyBytes: body}
	if body > 0 {
		f.uploads++
		req.TargetLeft = simUploadTarget
	}
	p := ChoosePeer(now, f.views[sender], req, f.rnd.Uint64())
	if _, refuse := LinkWait(p, req); refuse {
		f.refused++
		return
	}
	index := slices.Index(peers, p)
	s := f.servers[index]
	p.Load.InFlight.Add(1)
	if p.Node == own {
		f.serve(now, index, p, work)
		return
	}
	headRead := s.transfer(now, headBytes)
	if body == 0 && now.Sub(start) > simWarmup {
		f.delays = append(f.delays, headRead.Sub(now))
	}
	f.at(headRead, func(at clock.Instant) {
		s.counters.BytesRead += headBytes
		s.counters.Hops++
		s.unread += body
		s.counters.HopDelay += headRead.Sub(now)
		f.sendBody(at, s, body, func(at clock.Instant) { f.serve(at, index, p, work) })
	})
}

// transfer puts bytes on the server's link and returns when they are through.
func (s *simServer) transfer(now clock.Instant, bytes int64) clock.Instant {
	s.linkFree = max(now, s.linkFree).Add(time.Duration(float64(bytes) * 8 / (simLinkMbps * 1e6) * float64(time.Second)))
	return s.linkFree
}

// sendBody sends a body window by window, so that several connections share the
// link, and calls then at its end.
func (f *simFleet) sendBody(now clock.Instant, s *simServer, left int64, then func(clock.Instant)) {
	if left <= 0 {
		then(now)
		return
	}
	window := min(left, simWindowBytes)
	f.at(s.transfer(now, window), func(at clock.Instant) {
		s.counters.BytesRead += window
		s.unread -= window
		f.sendBody(at, s, left-window, then)
	})
}

func (f *simFleet) serve(now clock.Instant, index int, p *fleet.Peer, work time.Duration) {
	s := f.servers[index]
	took := time.Duration(float64(work) / s.speed * (0.5 + f.rnd.Float64()))
	slot := slices.Index(s.slots, slices.Min(s.slots))
	begins := max(now, s.slots[slot])
	ends := begins.Add(took)
	s.slots[slot] = ends
	s.starts, s.ends = append(s.starts, begins), append(s.ends, ends)
	f.at(ends, func(now clock.Instant) {
		s.mean += (took - s.mean) / 20
		p.Load.InFlight.Add(-1)
		p.Load.SetUsage(f.report(now, index))
	})
}

// Guards against uploads that fill the links of the fastest backend servers,
// where small calls then wait longer than their latency target of 400 ms, while
// other links are half empty.
func TestUploadsKeepLinksFreeForCalls(t *testing.T) {
	for _, uploadRate := range []float64{240, 340} {
		for seed := range uint64(5) {
			f := newSimFleet(seed, uploadRate)
			f.run()
			slices.Sort(f.delays)
			p99 := f.delays[len(f.delays)*99/100]
			t.Logf("%v uploads a second, seed %d: %d calls, delay before they are read p50 %v p99 %v", uploadRate, seed, len(f.delays), f.delays[len(f.delays)/2], p99)
			must.Less(t, 400*time.Millisecond-simCallWork, p99, must.Sprint("seed ", seed))
		}
	}
}

// Guards against uploads that all go to the nodes which report nothing about
// their links, as nodes of earlier versions during an upgrade.
func TestUnreportedLinksDoNotAttractUploads(t *testing.T) {
	for _, silent := range []int{2, simServers / 2} {
		for seed := range uint64(2) {
			f := newSimFleet(seed, 240)
			f.silenceLinks(silent)
			f.run()
			slices.Sort(f.delays)
			p99 := f.delays[len(f.delays)*99/100]
			t.Logf("%d silent, seed %d: delay of calls before they are read p50 %v p99 %v", silent, seed, f.delays[len(f.delays)/2], p99)
			must.Less(t, 400*time.Millisecond-simCallWork, p99, must.Sprint(silent, " silent, seed ", seed))
		}
	}
}

// Guards against uploads that are sent although the links cannot carry them:
// small calls then wait for seconds, and most uploads are late themselves.
func TestFullLinksTakeNoBodies(t *testing.T) {
	for seed := range uint64(5) {
		f := newSimFleet(seed, 450)
		f.run()
		slices.Sort(f.delays)
		p95 := f.delays[len(f.delays)*95/100]
		t.Logf("seed %d: %d of %d uploads refused, delay of calls before they are read p50 %v p95 %v", seed, f.refused, f.uploads, f.delays[len(f.delays)/2], p95)
		must.Less(t, 400*time.Millisecond-simCallWork, p95, must.Sprint("seed ", seed))
		must.Less(t, f.uploads/4, f.refused, must.Sprint("seed ", seed))
	}
}
