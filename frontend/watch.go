package frontend

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
)

// watch notices a caller that goes away while its request runs. It peeks at
// the connection, which keeps bytes of a pipelined request for hertz.
type watch struct {
	conn   network.Conn
	cancel context.CancelFunc
	begun  atomic.Bool
	gone   atomic.Bool
	ended  chan struct{}
}

func newWatch(c network.Conn, cancel context.CancelFunc) *watch {
	return &watch{conn: c, cancel: cancel, ended: make(chan struct{})}
}

// start begins the watch. The body must have been read to its end.
func (f *Frontend) startWatch(w *watch) {
	_ = w.conn.SetReadDeadline(time.Time{})
	w.begun.Store(true)
	if err := f.watchers.Submit(w.run); err != nil {
		w.begun.Store(false) // the deadline of the request bounds it alone
	}
}

func (w *watch) run() {
	defer close(w.ended)
	_, err := w.conn.Peek(1)
	var ne net.Error
	if err == nil || errors.As(err, &ne) && ne.Timeout() {
		return
	}
	w.gone.Store(true)
	w.cancel()
}

// stop ends the watch and returns once nothing reads the connection.
func (w *watch) stop() {
	if !w.begun.Load() {
		return
	}
	_ = w.conn.SetReadDeadline(time.Unix(1, 0))
	<-w.ended
	_ = w.conn.SetReadDeadline(time.Time{})
}
