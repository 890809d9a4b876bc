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

// tally counts events by name.
type tally struct{ counts sync.Map }

func (l *tally) add(name string) {
	n, _ := l.counts.LoadOrStore(name, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
}

func (l *tally) count(name string) int64 {
	if n, ok := l.counts.Load(name); ok {
		return n.(*atomic.Int64).Load()
	}
	return 0
}

// faulty behaves as its request asks.
func (l *tally) faulty(w http.ResponseWriter, r *http.Request) {
	l.add(r.Header.Get("Marjoram-Request-Id"))
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

// Guards I3, I4 and I5 on the I/O path under random faults: an answer is whole,
// a refused request has not run, and no request runs twice.
func TestOutcomesMatchRuns(t *testing.T) {
	const seed, callers, each = 20261204, 16, 60
	runs, seen := &tally{}, &tally{}
	var asked atomic.Int64
	p := newPath(t, http.HandlerFunc(runs.faulty), func(f *frontend.Config, g *gate.Config) {
		f.MaxExchanges, g.MaxConns, g.ConnWait = 14, 8, 20*time.Millisecond
		g.Permit = func(*core.Request) (gate.Permit, error) {
			if asked.Add(1)%10 == 0 {
				return gate.Permit{}, core.Fail(core.CodeLeaseExpired, "no")
			}
			return gate.Permit{LeaseLeft: time.Second}, nil
		}
	})
	outcomes := make([][each]string, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, uint64(i)))
			for j := range each {
				outcomes[i][j] = oneFaulty(t, p, rnd, strconv.Itoa(i)+"-"+strconv.Itoa(j))
				seen.add(outcomes[i][j])
			}
		})
	}
	wg.Wait()
	// Runs are complete only once the gate has ended every exchange.
	must.NoError(t, p.gate.Shutdown(t.Context()))
	p.backend.Close()
	for i := range callers {
		for j, o := range outcomes[i] {
			id := strconv.Itoa(i) + "-" + strconv.Itoa(j)
			n := runs.count(id)
			notRun := o == "refused-not-run" || o == "deadline-passed-not-run"
			if n > 1 || notRun && n != 0 || o == "answered" && n != 1 {
				t.Errorf("request %s: outcome %q after %d runs", id, o, n)
			}
		}
	}
	for _, o := range []string{"answered", "refused-not-run", "outcome-unknown", "broken", "deadline-passed-not-run"} {
		t.Logf("%-24s %d", o, seen.count(o))
	}
	must.Positive(t, seen.count("answered"))
	must.Positive(t, seen.count("refused-not-run"))
	must.Positive(t, seen.count("outcome-unknown"))
}

// oneFaulty sends one request and returns its outcome, or "broken" when the
// caller sees none.
func oneFaulty(t *testing.T, p *path, rnd *rand.Rand, id string) string {
	size := []int{0, 100, 10_000, 200_000}[rnd.IntN(4)]
	r := request(t, "POST", p.url+"/", io.LimitReader(zeros{}, int64(size)))
	if r.ContentLength = int64(size); rnd.IntN(2) == 0 && size > 0 {
		r.ContentLength = -1
	} else if size == 0 {
		r.Body = http.NoBody
	}
	r.Header.Set(frontend.HeaderRequestID, id)
	r.Header.Set("X-Fault", []string{"", "", "", "abort", "cut", "slow"}[rnd.IntN(6)])
	ctx := context.Background()
	switch rnd.IntN(6) {
	case 0:
		r.Header.Set(frontend.HeaderDeadline, strconv.Itoa(1+rnd.IntN(15)))
	case 1:
		c, cancel := context.WithTimeout(ctx, time.Duration(rnd.IntN(10_000))*time.Microsecond)
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
	o := resp.Header.Get(frontend.HeaderOutcome)
	if o == "answered" && string(b) != strconv.Itoa(size)+strings.Repeat("x", 50_000) {
		t.Errorf("request %s: incomplete answer of %d bytes", id, len(b))
	}
	return o
}
