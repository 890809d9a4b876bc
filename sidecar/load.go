package sidecar

import (
	"context"
	"math"
	"syscall"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/fleet"
	"marjoramshore.example/frontend"
)

const (
	// loadLogInterval is the time between two lines on the load of the node.
	loadLogInterval = 2 * time.Second
	// loadTick is the interval at which the link is measured, and of the timer
	// whose delay is logged.
	loadTick = 100 * time.Millisecond
)

// linkUsage is the published measurement of the link.
type linkUsage struct {
	share     float64
	readDelay time.Duration
}

// Load returns the load of the node and of its backend server. It implements
// peers.LoadSource.
func (n *Node) Load() fleet.Usage {
	u := n.backend.Load()
	link := n.linkUsage.Load()
	u.LinkShare, u.ReadDelay = link.share, link.readDelay
	u.UnreadBodyBytes = max(n.backend.UnreadBodyBytes(), n.linkSchedule.Backlog(n.clock.Now()))
	return u
}

// loadMeter measures the link and logs the load of the node: what its process
// and its backend server did since the last line. A process without processor
// time shows as a late timer, a full link as requests that are read late by a
// process whose timers are on time.
type loadMeter struct {
	node      *Node
	link      *fleet.LinkMonitor
	maxLate   time.Duration // of the timer, since the last line
	cpu       time.Duration // used by the process until the last line
	offered   int64
	refused   int64
	expired   int64
	abandoned int64
	lateHops  int64
	exchanges uint64
}

// measureLoad publishes the usage of the link, and logs the load of the node
// while it serves requests.
func (n *Node) measureLoad(ctx context.Context) {
	l := &loadMeter{node: n, link: fleet.NewLinkMonitor(n.clock.Now(), n.self.LinkMbps)}
	t := time.NewTicker(loadTick)
	defer t.Stop()
	expected := time.Now().Add(loadTick)
	nextLine := time.Now().Add(loadLogInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		l.publishLink()
		now := time.Now()
		l.maxLate = max(l.maxLate, now.Sub(expected))
		expected = now.Add(loadTick)
		if now.After(nextLine) {
			nextLine = now.Add(loadLogInterval)
			l.logLine()
		}
	}
}

func (l *loadMeter) publishLink() {
	var c fleet.LinkCounters
	c.BytesRead, c.BytesWritten = l.node.linkMeter.Totals()
	c.Hops, c.HopDelay = l.node.delays.Totals()
	l.link.Update(l.node.clock.Now(), c)
	// Two decimals keep the beacons short.
	u := linkUsage{math.Round(percent*l.link.LinkShare()) / percent, l.link.ReadDelay()}
	if *l.node.linkUsage.Load() != u {
		l.node.linkUsage.Store(&u)
	}
}

func (l *loadMeter) logLine() {
	n := l.node
	counts, out, in := n.backend.Counts(), n.outbound.Stats(), n.inbound.Stats()
	usage, lateHops, exchanges, cpu := n.Load(), n.delays.LateRequests(), out.Exchanges+in.Exchanges, processTime()
	if exchanges != l.exchanges {
		n.log.WithFields(log.Fields{
			"cpu_ms": (cpu - l.cpu).Milliseconds(), "timer_late_ms": l.maxLate.Milliseconds(),
			"hops_late": lateHops - l.lateHops, "read_delay_ms": usage.ReadDelay.Milliseconds(), "link": int(percent * usage.LinkShare), "unread_kb": usage.UnreadBodyBytes >> 10,
			"exchanges": exchanges - l.exchanges, "callers": out.InFlight, "hops": in.InFlight,
			"offered": counts.Offered - l.offered, "refused": counts.Refused - l.refused, "expired": counts.Expired - l.expired,
			"abandoned": counts.Abandoned - l.abandoned, "backend_busy": n.backend.TakeMaxReportedLoad(),
			"running": usage.Running, "waiting": usage.Waiting, "service_ms": usage.MeanServiceTime.Milliseconds(),
			"demand": int(percent * n.backend.Demand()), "failed": int(percent * usage.FailedShare),
		}).Info("load of this node")
	}
	l.maxLate, l.cpu, l.lateHops, l.exchanges = 0, cpu, lateHops, exchanges
	l.offered, l.refused, l.expired, l.abandoned = counts.Offered, counts.Refused, counts.Expired, counts.Abandoned
}

// logDisconnect returns a function that logs requests of the given kind of sender
// which closed its connection before the answer.
func (n *Node) logDisconnect(sender string) func(frontend.Disconnect) {
	return func(d frontend.Disconnect) {
		n.log.WithFields(log.Fields{
			"id": d.Request.ID, "sender": sender, "noticed": string(d.Stage), "after_ms": d.After.Milliseconds(),
			"late_ms": d.Request.ReadDelay.Milliseconds(), "body": d.Request.Length, "body_read": d.BodyRead,
		}).Info("sender closed its connection before its request was answered")
	}
}

// percent converts a share for the log.
const percent = 100

// processTime returns the processor time that the process has used, or 0 if the
// system does not tell.
func processTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
