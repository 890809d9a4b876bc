package frontend

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"marjoramshore.example/core"
)

// rateGrace is the waiting time after which the least rate applies, so that a
// slow start is no reason to cut a caller.
const rateGrace = 10 * time.Second

// SlowBodyError reports an upload below Config.MinBodyRate.
type SlowBodyError struct{}

func (SlowBodyError) Error() string { return "request body too slow" }

// BodyTooLargeError reports a body above Config.MaxBodyBytes.
type BodyTooLargeError struct{}

func (BodyTooLargeError) Error() string { return "request body too large" }

// upload reads a request body from hertz within the limits of its Config.
type upload struct {
	src  io.Reader
	conn network.Conn
	cfg  *Config
	left int64 // bytes still announced, or -1
	read int64
	// waited is the time spent in reads. Time in which a later stage holds the
	// upload back does not count against the caller.
	waited  time.Duration
	onEnd   func()
	stopped atomic.Bool
}

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	if u.left >= 0 {
		// hertz reads past the end of a body when the buffer allows it.
		p = p[:min(int64(len(p)), u.left)]
	}
	if u.left == 0 {
		return u.finish()
	}
	start := time.Now()
	_ = u.conn.SetReadDeadline(start.Add(u.cfg.BodyIdleTimeout))
	if u.stopped.Load() {
		return 0, core.ClosedBodyError{} // interrupt ran before the line above
	}
	n, err := u.src.Read(p)
	u.waited += time.Since(start)
	u.read += int64(n)
	if u.left > 0 {
		u.left -= int64(n)
	}
	switch {
	case err == io.EOF && u.left > 0:
		return n, io.ErrUnexpectedEOF
	case err == io.EOF || u.left == 0:
		_, err = u.finish()
		return n, err
	case err != nil:
		return n, err
	case u.read > u.cfg.MaxBodyBytes:
		return 0, BodyTooLargeError{}
	case u.tooSlow():
		return 0, SlowBodyError{}
	}
	return n, nil
}

func (u *upload) tooSlow() bool {
	if u.waited < rateGrace {
		return false
	}
	return float64(u.read) < u.waited.Seconds()*float64(u.cfg.MinBodyRate)
}

func (u *upload) finish() (int, error) {
	if u.onEnd != nil {
		u.onEnd()
		u.onEnd = nil
	}
	return 0, io.EOF
}

// interrupt ends a blocked read.
func (u *upload) interrupt() {
	u.stopped.Store(true)
	_ = u.conn.SetReadDeadline(time.Unix(1, 0))
}
