package frontend

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
)

// disconnectWatch detects that a caller disconnects while its requests run, and
// cancels them then. It peeks at the connection; when bytes of a pipelined request
// arrive, the pipeline reads the request or leaves it to hertz. done is closed when
// the watch has ended.
type disconnectWatch struct {
	conn         network.Conn
	pipeline     *pipeline
	started      atomic.Bool
	disconnected atomic.Bool
	done         chan struct{}
}

// aheadResult says how a watch goes on after bytes have arrived.
type aheadResult uint8

const (
	// leaveAhead ends the watch, because hertz is to read what has arrived.
	leaveAhead aheadResult = iota
	// watchAhead goes on.
	watchAhead
	// closedAhead means that the caller has closed the connection.
	closedAhead
)

func newDisconnectWatch(p *pipeline) *disconnectWatch {
	return &disconnectWatch{conn: p.first.rc.GetConn(), pipeline: p, done: make(chan struct{})}
}

// startWatch starts w on a goroutine of the pool. The request body must have
// been read to its end.
func (f *Frontend) startWatch(w *disconnectWatch) {
	_ = w.conn.SetReadDeadline(time.Time{})
	w.started.Store(true)
	if err := f.watchPool.Submit(w.run); err != nil {
		// Without a watch only the deadline ends a request whose caller is
		// gone.
		f.counts.unwatched.Add(1)
		w.started.Store(false)
	}
}

func (w *disconnectWatch) run() {
	defer close(w.done)
	for {
		_, err := w.conn.Peek(1)
		if isTimeout(err) {
			return
		}
		ahead := closedAhead
		if err == nil {
			ahead = w.pipeline.readAhead()
		}
		switch ahead {
		case leaveAhead:
			return
		case closedAhead:
			w.reportClosed()
			return
		}
	}
}

// isTimeout reports whether a read ended at its deadline.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// reportClosed records that the caller has closed the connection and cancels its
// requests.
func (w *disconnectWatch) reportClosed() {
	w.disconnected.Store(true)
	w.pipeline.cancelAll()
}

// stop ends the watch. The connection is not read by it after stop has
// returned.
func (w *disconnectWatch) stop() {
	if !w.started.Load() {
		return
	}
	_ = w.conn.SetReadDeadline(time.Unix(1, 0))
	<-w.done
	_ = w.conn.SetReadDeadline(time.Time{})
}
