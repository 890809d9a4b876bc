package soak

import (
	"context"
	"fmt"
	"io"
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
	// callersPerNode is the number of callers that share the request rate of
	// one node.
	callersPerNode = 4
	// uploadBytes is the body size of an upload.
	uploadBytes = 48 << 10
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
	interval := time.Duration(len(r.vms)*callersPerNode) * time.Second / time.Duration(r.opts.PerSecond)
	for index, v := range r.vms {
		for n := range callersPerNode {
			source := rand.NewPCG(r.opts.Seed, uint64(index*callersPerNode+n))
			c := &caller{r, v, rand.New(source), &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
			callers.Go(func() { c.sendRequests(ctx, interval) })
		}
	}
}

// caller sends requests to the node of its VM. It keeps its connection open,
// except after requests that must be executed at most once.
type caller struct {
	*run
	vm     *vm
	rng    *rand.Rand
	client *http.Client
}

func (c *caller) sendRequests(ctx context.Context, interval time.Duration) {
	defer c.client.CloseIdleConnections()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var notBefore time.Time // set by the Retry-After of a refusal
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if now.After(notBefore) {
				notBefore = now.Add(c.sendRequest(ctx))
			}
		}
	}
}

// sendRequest sends one request of a random kind, records its start and end,
// and returns how long the caller must wait before its next request.
func (c *caller) sendRequest(ctx context.Context) time.Duration {
	requestKinds := []struct {
		method, path, service string
		atMostOnce            bool
	}{
		{http.MethodGet, "/look/", keyedService, false},
		{http.MethodPost, "/enter/", keyedService, true},
		{http.MethodPost, "/sheet/", plainService, true},
		{http.MethodGet, "/list/", plainService, false},
	}
	kind := requestKinds[c.rng.IntN(len(requestKinds))]
	id := c.newAttemptID(c.vm, "r")
	target := kind.path + id
	body := ""
	if kind.path == "/sheet/" {
		body = strings.Repeat("x", uploadBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, kind.method, fmt.Sprintf("http://%s:%d%s", c.vm.ip, wire.PortOutbound, target), strings.NewReader(body))
	if err != nil {
		c.fail(wrapError("build a caller's request", err))
		return 0
	}
	req.Host, req.Close = routeHost, kind.atMostOnce
	req.Header.Set(wire.HeaderAttemptID, id)
	req.Header.Set(wire.HeaderTimeout, fmt.Sprint(requestTimeout.Milliseconds()))
	if kind.service == keyedService {
		req.Header.Set(wire.HeaderKey, fmt.Sprint(c.rng.IntN(keyCount)))
	}
	c.record(SentRequest{c.elapsed(), id, kind.service, target, kind.atMostOnce})
	end := RequestEnd{ID: id, Target: target}
	retryAfter := c.roundTrip(req, &end)
	end.At = c.elapsed()
	if ctx.Err() == context.Canceled {
		return 0 // the end of the run cut the request off
	}
	c.record(end)
	return retryAfter
}

// roundTrip sends a request and fills in the outcome. It returns the Retry-After
// of the response, or 0.
func (c *caller) roundTrip(req *http.Request, end *RequestEnd) time.Duration {
	resp, err := c.client.Do(req)
	if err != nil {
		end.Reason = err.Error()
		end.NotConnected = strings.Contains(end.Reason, "connection refused") || strings.Contains(end.Reason, "dial tcp")
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		end.Reason = err.Error()
		return 0
	}
	end.Status, end.Body = resp.StatusCode, string(data)
	end.Signed = resp.Header.Get(wire.HeaderSignature) != ""
	retryAfter, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
	if err != nil {
		return 0
	}
	return retryAfter
}
