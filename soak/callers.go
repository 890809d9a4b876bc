package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"marjoramshore.example/standin/wire"
)

const (
	// requestTimeout is the timeout that a caller states in its requests, and
	// clientTimeout how long it actually waits for the complete response.
	requestTimeout = 2 * time.Second
	clientTimeout  = 3 * time.Second
	// uploadBytes is the body size of an upload.
	uploadBytes = 48 << 10
	// One in closeOneIn requests asks the node to close its connection.
	closeOneIn = 16
	// One in leaveOneIn requests is not waited for longer than a random time of
	// at most maxPatience. The caller then closes the connection.
	leaveOneIn  = 8
	maxPatience = time.Second
	// One in pipelineOneIn times a caller sends up to maxPipelined idempotent
	// requests without waiting for responses in between.
	pipelineOneIn = 6
	maxPipelined  = 5
)

// attemptSequence makes the attempt IDs unique within the process.
var attemptSequence atomic.Uint64

// newAttemptID returns a unique attempt ID that starts with the service of the
// caller's VM, from which callerService reads it back.
func (r *run) newAttemptID(v *vm, prefix string) string {
	return fmt.Sprintf("%s-%s%d", v.service, prefix, attemptSequence.Add(1))
}

// startCallers starts the callers of each node. A caller sends one request per
// interval, and none while its previous request is still running.
func (r *run) startCallers(ctx context.Context, callers *sync.WaitGroup) {
	perNode := r.opts.CallersPerNode
	interval := time.Duration(len(r.vms)*perNode) * time.Second / time.Duration(r.opts.PerSecond)
	for index, v := range r.vms {
		for n := range perNode {
			source := rand.NewPCG(r.opts.Seed, uint64(index*perNode+n))
			c := &caller{run: r, vm: v, rng: rand.New(source)}
			callers.Go(func() { c.sendRequests(ctx, interval) })
		}
	}
}

// caller sends requests to the node of its VM. It uses its connection until the
// node closes it or announces that, also while the node stops.
type caller struct {
	*run
	vm   *vm
	rng  *rand.Rand
	conn *callerConn // nil when the caller has no connection
}

func (c *caller) sendRequests(ctx context.Context, interval time.Duration) {
	defer c.closeConn()
	if !c.sleep(ctx, time.Duration(c.rng.Int64N(int64(interval)))) { // so that callers do not send in step
		return
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var notBefore time.Time // set by the Retry-After of a refusal
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			switch {
			case !now.After(notBefore):
			case c.rng.IntN(pipelineOneIn) == 0:
				c.sendPipelined(ctx)
			default:
				notBefore = now.Add(c.sendRequest(ctx))
			}
		}
	}
}

func (c *caller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// requestKinds are the kinds of requests that callers send.
var requestKinds = []struct {
	method, path, service string
	atMostOnce            bool
}{
	{http.MethodGet, "/look/", keyedService, false},
	{http.MethodPost, "/enter/", keyedService, true},
	{http.MethodPost, "/sheet/", plainService, true},
	{http.MethodGet, "/list/", plainService, false},
}

// sendRequest sends one request of a random kind, records its start and end,
// and returns how long the caller must wait before its next request.
func (c *caller) sendRequest(ctx context.Context) time.Duration {
	kind := requestKinds[c.rng.IntN(len(requestKinds))]
	id := c.newAttemptID(c.vm, "r")
	q := nodeRequest{method: kind.method, target: kind.path + id, id: id, timeout: requestTimeout, closeConn: c.rng.IntN(closeOneIn) == 0}
	if kind.path == "/sheet/" {
		q.body = strings.Repeat("x", uploadBytes)
	}
	if kind.service == keyedService {
		q.key = fmt.Sprint(c.rng.IntN(keyCount))
	}
	patience := clientTimeout
	if c.rng.IntN(leaveOneIn) == 0 {
		patience = time.Duration(c.rng.Int64N(int64(maxPatience)))
	}
	c.dropEndedConn()
	c.record(SentRequest{c.elapsed(), id, kind.service, q.target, kind.atMostOnce})
	end := RequestEnd{ID: id, Target: q.target}
	retryAfter := c.roundTrip(ctx, q, patience, &end)
	end.At = c.elapsed()
	if ctx.Err() != nil {
		return 0 // the end of the run cut the request off
	}
	c.record(end)
	return retryAfter
}

// sendPipelined sends idempotent requests behind each other.
func (c *caller) sendPipelined(ctx context.Context) {
	c.dropEndedConn()
	if !c.connect() {
		return
	}
	var requests []nodeRequest
	var ends []*RequestEnd
	for range 2 + c.rng.IntN(maxPipelined-1) {
		id := c.newAttemptID(c.vm, "p")
		q := nodeRequest{method: http.MethodGet, target: "/look/" + id, id: id, key: fmt.Sprint(c.rng.IntN(keyCount)), timeout: requestTimeout}
		requests, ends = append(requests, q), append(ends, &RequestEnd{ID: id, Target: q.target})
		c.record(SentRequest{c.elapsed(), id, keyedService, q.target, false})
	}
	conn := c.conn
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })()
	if !conn.exchangeAll(requests, ends) {
		c.closeConn()
	}
	if ctx.Err() != nil {
		return // the end of the run cut the requests off
	}
	for _, end := range ends {
		end.At = c.elapsed()
		c.record(*end)
	}
}

// connect makes a connection unless one is kept, and reports whether there is one.
func (c *caller) connect() bool {
	if c.conn != nil {
		return true
	}
	conn, err := dialNode(fmt.Sprintf("%s:%d", c.vm.ip, wire.PortOutbound))
	if err != nil {
		return false
	}
	c.conn = conn
	return true
}

// dropEndedConn closes the kept connection if the node has closed it, and
// records bytes that it sent without a request.
func (c *caller) dropEndedConn() {
	if c.conn == nil {
		return
	}
	closed, unsolicited := c.conn.idleState()
	if unsolicited > 0 {
		c.record(UnsolicitedBytes{c.elapsed(), c.vm.name, unsolicited})
	}
	if closed || unsolicited > 0 {
		c.closeConn()
	}
}

// roundTrip sends a request on the kept connection or a new one, waits for the
// response until patience is over, and fills in the outcome. It returns the
// Retry-After of the response, or 0.
func (c *caller) roundTrip(ctx context.Context, q nodeRequest, patience time.Duration, end *RequestEnd) time.Duration {
	if c.conn == nil {
		conn, err := dialNode(fmt.Sprintf("%s:%d", c.vm.ip, wire.PortOutbound))
		if err != nil {
			end.Reason, end.NotConnected = err.Error(), true
			return 0
		}
		c.conn = conn
	}
	deadline := time.Now().Add(patience)
	_ = c.conn.SetDeadline(deadline)
	conn := c.conn
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })()
	resp := c.conn.exchange(q, end)
	if resp == nil || resp.Close || q.closeConn {
		c.closeConn()
	}
	if resp == nil {
		end.Left = patience < clientTimeout && !time.Now().Before(deadline)
		return 0
	}
	retryAfter, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
	if err != nil {
		return 0
	}
	return retryAfter
}
