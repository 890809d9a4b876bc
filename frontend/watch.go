package frontend

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
)

// disconnectWatch detects that a caller disconnects while its request runs, and
// calls cancel then. It peeks at the connection, so that bytes of a pipelined
// request stay there for hertz. done is closed when the watch has ended.
type disconnectWatch struct {
	conn         network.Conn
	cancel       context.CancelFunc
	started      atomic.Bool
	disconnected atomic.Bool
	done         chan struct{}
}

func newDisconnectWatch(c network.Conn, cancel context.CancelFunc) *disconnectWatch {
	return &disconnectWatch{conn: c, cancel: cancel, done: make(chan struct{})}
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
	_, err := w.conn.Peek(1)
	var netErr net.Error
	if err == nil || errors.As(err, &netErr) && netErr.Timeout() {
		return
	}
	w.reportClosed()
}

// reportClosed records that the caller has closed the connection and cancels its
// request.
func (w *disconnectWatch) reportClosed() {
	w.disconnected.Store(true)
	w.cancel()
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
