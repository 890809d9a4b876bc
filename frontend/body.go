package frontend

import (
	"errors"
	"io"
	"math"
	"os"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"marjoramshore.example/core"
)

// minRateGracePeriod is the time spent in reads after which Config.MinBodyRate
// applies, so that an upload may start slowly.
const minRateGracePeriod = 10 * time.Second

// SlowBodyError is the error for an upload that is slower than
// Config.MinBodyRate.
type SlowBodyError struct{}

func (SlowBodyError) Error() string { return "request body below the minimum rate" }

// BodyTooLargeError is the error for a request body larger than
// Config.MaxBodyBytes.
type BodyTooLargeError struct{}

func (BodyTooLargeError) Error() string { return "request body too large" }

// uploadReader reads a request body from hertz and enforces the limits of cfg.
type uploadReader struct {
	source    io.Reader
	conn      network.Conn
	caller    *callerConn
	cfg       *Config
	remaining int64 // announced bytes not yet read, or core.UnknownLength
	bytesRead int64
	// cutOff is set once the connection has ended within the body.
	cutOff atomic.Bool
	// readTime is the time spent in reads. The time in which the consumer of
	// the body does not read is not held against the caller.
	readTime    time.Duration
	onEOF       func()
	interrupted atomic.Bool
}

// Read implements io.Reader.
func (u *uploadReader) Read(p []byte) (int, error) {
	if u.remaining >= 0 {
		// hertz reads past the end of the body if p is larger.
		p = p[:min(int64(len(p)), u.remaining)]
	}
	if u.remaining == 0 {
		return u.reachEOF()
	}
	start := time.Now()
	_ = u.conn.SetReadDeadline(start.Add(u.cfg.BodyIdleTimeout))
	if u.interrupted.Load() {
		// interrupt ran before the read deadline was set, which undid its
		// effect.
		return 0, core.ClosedBodyError{}
	}
	n, err := u.readSource(p)
	u.readTime += time.Since(start)
	u.bytesRead += int64(n)
	if u.remaining > 0 {
		u.remaining -= int64(n)
	}
	switch {
	case err == io.EOF && u.remaining > 0:
		u.cutOff.Store(true)
		return n, io.ErrUnexpectedEOF
	case err == io.EOF || u.remaining == 0:
		_, err = u.reachEOF()
		return n, err
	case err != nil:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			u.cutOff.Store(true)
		}
		return n, err
	case u.bytesRead > u.cfg.MaxBodyBytes:
		return 0, BodyTooLargeError{}
	case u.belowMinRate():
		return 0, SlowBodyError{}
	}
	return n, nil
}

// readSource reads from hertz. It returns io.EOF only if the body is whole.
func (u *uploadReader) readSource(p []byte) (int, error) {
	if u.remaining >= 0 {
		return u.source.Read(p)
	}
	// Within one read, hertz collects the framing between chunks, or all
	// trailers, in memory without a limit of its own.
	u.caller.readBudget.Store(int64(len(p) + u.cfg.MaxHeaderBytes))
	defer u.caller.readBudget.Store(math.MaxInt64)
	n, err := u.source.Read(p)
	if err != io.EOF {
		return n, err
	}
	// hertz also returns io.EOF if the connection ends within the trailers, and
	// then reads on at the next call.
	buffered := u.conn.Len()
	if _, err = u.source.Read(make([]byte, 1)); err != io.EOF || u.conn.Len() != buffered {
		return n, io.ErrUnexpectedEOF
	}
	return n, io.EOF
}

func (u *uploadReader) belowMinRate() bool {
	if u.readTime < minRateGracePeriod {
		return false
	}
	return float64(u.bytesRead) < u.readTime.Seconds()*float64(u.cfg.MinBodyRate)
}

func (u *uploadReader) reachEOF() (int, error) {
	if u.onEOF != nil {
		u.onEOF()
		u.onEOF = nil
	}
	return 0, io.EOF
}

// interrupt ends a blocked read and makes later reads fail.
func (u *uploadReader) interrupt() {
	u.interrupted.Store(true)
	_ = u.conn.SetReadDeadline(time.Unix(1, 0))
}
