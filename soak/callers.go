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
	// callerTime is the time that a caller states, and callerPatience how long
	// it really waits for an answer.
	callerTime     = 2 * time.Second
	callerPatience = 3 * time.Second
	// callersPerNode share the requests of one node.
	callersPerNode = 4
	// sheetBytes is the size of an upload.
	sheetBytes = 48 << 10
)

var sequence atomic.Uint64

// nextID returns an attempt id that names the service of the caller's VM.
func (r *run) nextID(v *vm, what string) string {
	return fmt.Sprintf("%s-%s%d", v.service, what, sequence.Add(1))
}

// call starts the callers of each node. A caller sends its next request when the
// present one has ended, or after its interval.
func (r *run) call(ctx context.Context, all *sync.WaitGroup) {
	every := time.Duration(len(r.vms)*callersPerNode) * time.Second / time.Duration(r.opts.PerSecond)
	for i, v := range r.vms {
		for k := range callersPerNode {
			seed := rand.NewPCG(r.opts.Seed, uint64(i*callersPerNode+k))
			c := &caller{r, v, rand.New(seed), &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
			all.Go(func() { c.loop(ctx, every) })
		}
	}
}

// caller sends requests to the node of its VM and keeps its connection open.
type caller struct {
	*run
	v    *vm
	rand *rand.Rand
	http *http.Client
}

func (c *caller) loop(ctx context.Context, every time.Duration) {
	defer c.http.CloseIdleConnections()
	t := time.NewTicker(every)
	defer t.Stop()
	var back time.Time // a refused caller stays away until then
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			if now.After(back) {
				back = now.Add(c.once(ctx))
			}
		}
	}
}

// once sends a request and returns after which time the caller may come back.
func (c *caller) once(ctx context.Context) time.Duration {
	kinds := []struct {
		method, path, service string
		once                  bool
	}{
		{http.MethodGet, "/look/", keyedService, false},
		{http.MethodPost, "/enter/", keyedService, true},
		{http.MethodPost, "/sheet/", plainService, true},
		{http.MethodGet, "/list/", plainService, false},
	}
	k := kinds[c.rand.IntN(len(kinds))]
	id := c.nextID(c.v, "r")
	target := k.path + id
	body := ""
	if k.path == "/sheet/" {
		body = strings.Repeat("x", sheetBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, callerPatience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, k.method, fmt.Sprintf("http://%s:%d%s", c.v.ip, wire.PortOutbound, target), strings.NewReader(body))
	if err != nil {
		c.fail(fault("request", err))
		return 0
	}
	req.Host, req.Close = hostName, k.once
	req.Header.Set(wire.HeaderAttemptID, id)
	req.Header.Set(wire.HeaderTimeout, fmt.Sprint(callerTime.Milliseconds()))
	if k.service == keyedService {
		req.Header.Set(wire.HeaderKey, fmt.Sprint(c.rand.IntN(keys)))
	}
	c.record(Sent{c.now(), id, k.service, target, k.once})
	end := Ended{ID: id, Target: target}
	after := c.send(req, &end)
	end.At = c.now()
	if ctx.Err() == context.Canceled {
		return 0 // the run ends
	}
	c.record(end)
	return after
}

func (c *caller) send(req *http.Request, end *Ended) time.Duration {
	resp, err := c.http.Do(req)
	if err != nil {
		end.Why = err.Error()
		end.Refused = strings.Contains(end.Why, "connection refused") || strings.Contains(end.Why, "dial tcp")
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		end.Why = err.Error()
		return 0
	}
	end.Status, end.Body = resp.StatusCode, string(data)
	end.Signed = resp.Header.Get(wire.HeaderSignature) != ""
	after, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
	if err != nil {
		return 0
	}
	return after
}
