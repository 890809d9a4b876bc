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
	"marjoramshore.example/quota"
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
	maxBytes  int64 // limit of the body
	remaining int64 // announced bytes not yet read, or core.UnknownLength
	bytesRead int64
	// holding is what is held of the body, held bytes of it so far.
	holding *quota.Holding
	held    int64
	// cutOff is set once the connection has ended within the body.
	cutOff atomic.Bool
	// readTime is the time spent in reads. The time in which the consumer of
	// the body does not read is not held against the caller.
	readTime    time.Duration
	onEOF       func()
	interrupted atomic.Bool
}

// newUploadReader returns a reader of a body of the given length, for which the quota of
// cfg has to make room.
func newUploadReader(source io.Reader, conn network.Conn, caller *callerConn, cfg *Config, length int64) *uploadReader {
	u := &uploadReader{source: source, conn: conn, caller: caller, cfg: cfg, maxBytes: cfg.maxBody(), remaining: length}
	u.holding = cfg.Quota.Open(u.interrupt)
	u.holding.Complete() // until the body is read
	return u
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
	u.holding.Progress()
	u.caller.head.inBody = true
	n, err := u.readSource(p)
	u.caller.head.inBody = false
	u.holding.Complete() // the sender is not waited for
	u.readTime += time.Since(start)
	u.bytesRead += int64(n)
	if !u.hold(u.bytesRead) {
		return 0, QuotaError{}
	}
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
	case u.bytesRead > u.maxBytes:
		return 0, BodyTooLargeError{}
	case u.belowMinRate():
		return 0, SlowBodyError{}
	}
	return n, nil
}

const (
	// maxHeldBody is how much of one body a handler keeps at most. Longer ones are
	// passed on as they arrive.
	maxHeldBody = 512 << 10
	// maxChunkRead bounds one read of a body in chunks, for which hertz makes a buffer
	// of that size.
	maxChunkRead = 16 << 10
)

// hold makes the holding cover the given length of the body, as far as it is kept. It
// returns false if there is no room.
func (u *uploadReader) hold(length int64) bool {
	more := min(length, maxHeldBody) - u.held
	if more <= 0 {
		return true
	}
	if !u.holding.Take(more) {
		return false
	}
	u.held += more
	return true
}

// readSource reads from hertz. It returns io.EOF only if the body is whole.
func (u *uploadReader) readSource(p []byte) (int, error) {
	if u.remaining >= 0 {
		return u.source.Read(p)
	}
	// Within one read, hertz collects the framing between chunks, or all
	// trailers, in memory without a limit of its own.
	p = p[:min(len(p), maxChunkRead)]
	defer u.caller.readBudget.Store(math.MaxInt64)
	var n int
	var err error
	for n < len(p) && err == nil {
		u.caller.readBudget.Store(int64(len(p) + u.cfg.MaxHeaderBytes))
		var m int
		m, err = u.source.Read(p[n:])
		n += m
		if u.conn.Len() == 0 {
			break // a further chunk would have to be waited for
		}
	}
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
