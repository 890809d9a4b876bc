package sidecar

import (
	"context"
	"syscall"
	"time"

	"github.com/apex/log"
)

const (
	// loadLogInterval is the time between two lines on the load of the node.
	loadLogInterval = 2 * time.Second
	// loadTick is the interval of the timer whose delay is measured.
	loadTick = 100 * time.Millisecond
)

// loadLogger logs the load of the node: what its process and its backend server
// did since the last line. A process without processor time shows as a late
// timer, a full link as requests that are read late by a process whose timers
// are on time.
type loadLogger struct {
	node      *Node
	maxLate   time.Duration // of the timer, since the last line
	cpu       time.Duration // used by the process until the last line
	offered   int64
	refused   int64
	expired   int64
	lateHops  int64
	exchanges uint64
}

// logLoad logs the load of the node while it serves requests.
func (n *Node) logLoad(ctx context.Context) {
	l := &loadLogger{node: n}
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
		now := time.Now()
		l.maxLate = max(l.maxLate, now.Sub(expected))
		expected = now.Add(loadTick)
		if now.After(nextLine) {
			nextLine = now.Add(loadLogInterval)
			l.logLine()
		}
	}
}

func (l *loadLogger) logLine() {
	n := l.node
	counts, out, in := n.backend.Counts(), n.outbound.Stats(), n.inbound.Stats()
	usage, lateHops, exchanges, cpu := n.backend.Load(), n.delays.LateRequests(), out.Exchanges+in.Exchanges, processTime()
	if exchanges != l.exchanges {
		n.log.WithFields(log.Fields{
			"cpu_ms": (cpu - l.cpu).Milliseconds(), "timer_late_ms": l.maxLate.Milliseconds(), "hops_late": lateHops - l.lateHops,
			"exchanges": exchanges - l.exchanges, "callers": out.InFlight, "hops": in.InFlight,
			"offered": counts.Offered - l.offered, "refused": counts.Refused - l.refused, "expired": counts.Expired - l.expired,
			"running": usage.Running, "waiting": usage.Waiting, "service_ms": usage.MeanServiceTime.Milliseconds(),
			"demand": int(percent * n.backend.Demand()), "failed": int(percent * usage.FailedShare),
		}).Info("load of this node")
	}
	l.maxLate, l.cpu, l.lateHops, l.exchanges = 0, cpu, lateHops, exchanges
	l.offered, l.refused, l.expired = counts.Offered, counts.Refused, counts.Expired
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
