package backend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
)

// statingServer is a backend server whose answers have the field that is set.
type statingServer struct {
	address  string
	field    atomic.Pointer[[2]string] // name and value
	held     atomic.Pointer[chan struct{}]
	requests atomic.Int64
}

// ServeHTTP implements http.Handler.
func (s *statingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	_, _ = io.Copy(io.Discard, r.Body)
	if held := s.held.Load(); held != nil {
		<-*held
	}
	if f := s.field.Load(); f != nil {
		w.Header().Set(f[0], f[1])
	}
	w.Header().Set("X-Marjoramshore-Attempt-Id", r.Header.Get("X-Marjoramshore-Attempt-Id"))
	w.Header().Set("X-Marjoramshore-Response-Signature", "s")
}

// startStatingServer returns a backend server with that many slots and the proxy
// in front of it.
func startStatingServer(t *testing.T, slots int) (*statingServer, *Proxy) {
	s := &statingServer{}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	s.address = server.Listener.Addr().String()
	return s, newProxyOf(t, s.address, slots)
}

// sendOne sends a request and returns its failure, if any.
func sendOne(ctx context.Context, p *Proxy, id string, priority int) error {
	req := newRequest(id, 0, strings.NewReader(""))
	req.Priority, req.TargetTime, req.Deadline = priority, time.Now().Add(300*time.Millisecond), time.Now().Add(time.Second)
	resp, err := p.Serve(ctx, req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// sendSteadily sends requests from several callers at once for the time given, and
// returns how many failed with each code.
func sendSteadily(t *testing.T, p *Proxy, duration time.Duration) map[core.Code]int {
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	var mu sync.Mutex
	failed := make(map[core.Code]int)
	var callers sync.WaitGroup
	for caller := range 8 {
		callers.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				if err := sendOne(t.Context(), p, fmt.Sprint(caller, "-", i), 1); err != nil {
					mu.Lock()
					failed[core.CodeOf(err)]++
					mu.Unlock()
					time.Sleep(2 * time.Millisecond)
				}
			}
		})
	}
	callers.Wait()
	return failed
}

// allowed returns how many requests a limit allows within a time: one and a half
// times as many as it names, and five more.
func allowed(perSecond float64, elapsed time.Duration) int64 {
	return int64(1.5*perSecond*elapsed.Seconds()) + 5
}

// Guards against a backend server that names a limit in its answers and gets more
// requests than that, and against callers who wait for a place until their
// deadline instead of being refused at once.
func TestBackendServerGetsNoMoreThanItsLimit(t *testing.T) {
	const limit = 20
	s, p := startStatingServer(t, 12)
	s.field.Store(&[2]string{"Server-Limit", "20.0"})
	must.NoError(t, sendOne(t.Context(), p, "first", 1))
	started, before := time.Now(), s.requests.Load()
	failed := sendSteadily(t, p, 1500*time.Millisecond)
	elapsed, got := time.Since(started), s.requests.Load()-before
	must.LessEq(t, allowed(limit, elapsed), got, must.Sprintf("requests in %v; failures: %v", elapsed, failed))
	must.Positive(t, failed[core.CodeQueueFull])
	must.Positive(t, got)

	s.field.Store(nil) // the backend server has recovered
	for end := time.Now().Add(3 * time.Second); sendOne(t.Context(), p, "ask", 0) != nil; time.Sleep(10 * time.Millisecond) {
		must.True(t, time.Now().Before(end))
	}
	started, before = time.Now(), s.requests.Load()
	sendSteadily(t, p, 500*time.Millisecond)
	must.Greater(t, allowed(limit, time.Since(started)), s.requests.Load()-before, must.Sprint("the limit was not lifted"))
}

// Guards against a node that starts beside a backend server in need and passes on
// all that the other nodes send, until the first answer tells of the limit.
func TestStartedNodeKeepsToTheLimitThatOthersKnow(t *testing.T) {
	const limit, slots = 10, 60
	s, _ := startStatingServer(t, slots)
	answer := make(chan struct{})
	var sent sync.WaitGroup
	defer func() {
		close(answer)
		sent.Wait()
	}()
	s.held.Store(&answer)
	s.field.Store(&[2]string{"Server-Limit", "10"})
	restarted := newProxyOf(t, s.address, slots)
	started := time.Now()
	for i := range slots {
		sent.Go(func() {
			req := newRequest(fmt.Sprint(i), 0, strings.NewReader(""))
			req.RateLimit, req.Deadline = limit, time.Now().Add(300*time.Millisecond)
			if resp, err := restarted.Serve(t.Context(), req); err == nil {
				_ = resp.Body.Close()
			}
		})
	}
	time.Sleep(250 * time.Millisecond)
	must.LessEq(t, allowed(limit, time.Since(started)), s.requests.Load())
}

// Guards against requests to a backend server that says only in its answers that it
// leaves, later than its drain.
func TestServerThatSaysItLeavesGetsNoRequestsAfterItsDrain(t *testing.T) {
	s, p := startStatingServer(t, 12)
	s.field.Store(&[2]string{"Server-Leaving", "1"})
	must.NoError(t, sendOne(t.Context(), p, "first", 1))
	told := time.Now()
	for end := told.Add(p.cfg.DrainPeriod); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		_ = sendOne(t.Context(), p, "within", 1)
	}
	before := s.requests.Load()
	for range 20 {
		must.Error(t, sendOne(t.Context(), p, "late", 1))
	}
	must.Eq(t, before, s.requests.Load())
}
