package frontend_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/core"
	"marjoramshore.example/frontend"
	"marjoramshore.example/gate"
)

// eventCounts counts events by name. It is safe for concurrent use.
type eventCounts struct{ counts sync.Map }

func (c *eventCounts) add(name string) {
	n, _ := c.counts.LoadOrStore(name, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
}

func (c *eventCounts) count(name string) int64 {
	if n, ok := c.counts.Load(name); ok {
		return n.(*atomic.Int64).Load()
	}
	return 0
}

// serveWithFault is the handler of a backend server. It counts the request by
// its ID and fails in the way that the field X-Fault says.
func (c *eventCounts) serveWithFault(w http.ResponseWriter, r *http.Request) {
	c.add(r.Header.Get("Marjoram-Request-Id"))
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	switch r.Header.Get("X-Fault") {
	case "abort":
		panic(http.ErrAbortHandler)
	case "cut":
		_, _ = w.Write(make([]byte, 40_000))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "slow":
		time.Sleep(20 * time.Millisecond)
	}
	_, _ = io.WriteString(w, strconv.FormatInt(n, 10)+strings.Repeat("x", 50_000))
}

// Checks on the whole request path, under random faults, that a response is
// complete or visibly broken, that a refused request has not run, and that no
// request runs twice.
func TestOutcomesMatchRuns(t *testing.T) {
	const seed, callers, requestsEach = 20261204, 16, 60
	runs, outcomeCounts := &eventCounts{}, &eventCounts{}
	var permitCalls atomic.Int64
	p := newTwoNodePath(t, http.HandlerFunc(runs.serveWithFault), func(f *frontend.Config, g *gate.Config) {
		f.MaxExchanges, g.MaxConns, g.ConnWait = 14, 8, 20*time.Millisecond
		g.Permit = func(*core.Request) (gate.Permit, error) {
			if permitCalls.Add(1)%10 == 0 {
				return gate.Permit{}, core.Fail(core.CodeLeaseExpired, "no")
			}
			return gate.Permit{LeaseLeft: time.Second}, nil
		}
	})
	outcomes := make([][requestsEach]string, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			for j := range requestsEach {
				outcomes[i][j] = sendWithFault(t, p, random, strconv.Itoa(i)+"-"+strconv.Itoa(j))
				outcomeCounts.add(outcomes[i][j])
			}
		})
	}
	wg.Wait()
	// The counts of runs are final only when the gate has ended every exchange.
	must.NoError(t, p.gate.Shutdown(t.Context()))
	p.backend.Close()
	for i := range callers {
		for j, outcome := range outcomes[i] {
			id := strconv.Itoa(i) + "-" + strconv.Itoa(j)
			n := runs.count(id)
			notRun := outcome == "refused-not-run" || outcome == "deadline-passed-not-run"
			if n > 1 || notRun && n != 0 || outcome == "answered" && n != 1 {
				t.Errorf("request %s: outcome %q after %d runs", id, outcome, n)
			}
		}
	}
	for _, outcome := range []string{"answered", "refused-not-run", "outcome-unknown", "broken", "deadline-passed-not-run"} {
		t.Logf("%-24s %d", outcome, outcomeCounts.count(outcome))
	}
	must.Positive(t, outcomeCounts.count("answered"))
	must.Positive(t, outcomeCounts.count("refused-not-run"))
	must.Positive(t, outcomeCounts.count("outcome-unknown"))
}

// sendWithFault sends one request with a random size, fault and deadline. It
// returns its outcome, or "broken" if the response is missing or incomplete.
func sendWithFault(t *testing.T, p *twoNodePath, random *rand.Rand, id string) string {
	size := []int{0, 100, 10_000, 200_000}[random.IntN(4)]
	r := newRequest(t, "POST", p.url+"/", io.LimitReader(zeroReader{}, int64(size)))
	if r.ContentLength = int64(size); random.IntN(2) == 0 && size > 0 {
		r.ContentLength = -1
	} else if size == 0 {
		r.Body = http.NoBody
	}
	r.Header.Set(frontend.HeaderRequestID, id)
	r.Header.Set("X-Fault", []string{"", "", "", "abort", "cut", "slow"}[random.IntN(6)])
	ctx := context.Background()
	switch random.IntN(6) {
	case 0:
		r.Header.Set(frontend.HeaderDeadline, strconv.Itoa(1+random.IntN(15)))
	case 1:
		c, cancel := context.WithTimeout(ctx, time.Duration(random.IntN(10_000))*time.Microsecond)
		defer cancel()
		ctx = c
	}
	resp, err := http.DefaultClient.Do(r.WithContext(ctx))
	if err != nil {
		return "broken"
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return "broken"
	}
	outcome := resp.Header.Get(frontend.HeaderOutcome)
	if outcome == "answered" && string(b) != strconv.Itoa(size)+strings.Repeat("x", 50_000) {
		t.Errorf("request %s: incomplete response of %d bytes", id, len(b))
	}
	return outcome
}
