package backend

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// maxStreamStall is how long the sender of a body may pause while its request has a slot
// for which others wait. A lossy link sends a lost packet again within that time.
const maxStreamStall = 1500 * time.Millisecond

// bodyStream is a body that is too long to be read before its request gets a slot.
type bodyStream struct {
	io.ReadCloser
	clock clock.Clock
	// waitsSince is the clock.Instant since which a read waits for the sender, or 0.
	waitsSince atomic.Int64
	// end ends the request.
	end context.CancelFunc
}

// Read implements io.Reader.
func (b *bodyStream) Read(p []byte) (int, error) {
	b.waitsSince.Store(int64(b.clock.Now()))
	defer b.waitsSince.Store(0)
	return b.ReadCloser.Read(p)
}

// stalled reports whether the sender has paused for too long.
func (b *bodyStream) stalled(now clock.Instant) bool {
	since := clock.Instant(b.waitsSince.Load())
	return since != 0 && now.Sub(since) >= maxStreamStall
}

// trackStream makes a body that is still to be received visible to the event loop, which
// may end the returned context.
func (p *Proxy) trackStream(ctx context.Context, req *core.Request) context.Context {
	ctx, end := context.WithCancel(ctx)
	req.Body = &bodyStream{ReadCloser: req.Body, clock: p.cfg.Clock, end: end}
	return ctx
}

// endStalledStreams ends the requests whose senders stop short of the end of their
// bodies and keep the slots for which others wait.
func (st *state) endStalledStreams() {
	if st.queue.Stats().Waiting == 0 {
		return
	}
	for r := range st.streams {
		if r.stream.stalled(st.now()) {
			delete(st.streams, r)
			r.stream.end()
			st.cfg.Log.WithFields(log.Fields{"instance": r.instance, "ran_ms": r.ticket.RunTime(st.now()).Milliseconds(), "waiting": st.queue.Stats().Waiting}).
				Warn("request ended: its body stalls while others wait for its slot")
		}
	}
}
