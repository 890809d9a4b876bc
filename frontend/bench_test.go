package frontend_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/frontend"
	"marjoramshore.example/gate"
)

// BenchmarkPath reports throughput and latency of small requests at three
// levels of concurrency: directly to the stand-in backend server, through the
// node beside it, and through two nodes. Compare within one run only; the machine is shared.
func BenchmarkPath(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(small))
	defer s.Close()
	for _, callers := range []int{1, 64, 512} {
		b.Run("direct/"+strconv.Itoa(callers), func(b *testing.B) { measure(b, s.URL, callers) })
		b.Run("local/"+strconv.Itoa(callers), func(b *testing.B) {
			g, err := gate.New(gate.Config{BackendAddr: s.Listener.Addr().String(), MaxConns: 1024})
			must.NoError(b, err)
			f, err := frontend.New(frontend.Config{Addr: "127.0.0.1:0", Handler: g})
			must.NoError(b, err)
			f.Start()
			defer f.Close()
			measure(b, "http://"+f.Addr(), callers)
		})
		b.Run("path/"+strconv.Itoa(callers), func(b *testing.B) {
			p := newPath(b, http.HandlerFunc(small), nil)
			measure(b, p.url, callers)
		})
	}
}

func small(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 512)) }

// measure sends b.N requests from a number of callers.
func measure(b *testing.B, url string, callers int) {
	tr := &http.Transport{MaxIdleConnsPerHost: callers, MaxConnsPerHost: callers}
	defer tr.CloseIdleConnections()
	c := &http.Client{Transport: tr}
	var left atomic.Int64
	left.Store(int64(b.N))
	times := make([][]time.Duration, callers)
	var wg sync.WaitGroup
	cpu := cpuTime(b)
	b.ResetTimer()
	for i := range callers {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				start := time.Now()
				resp, err := c.Do(request(b, "GET", url, nil))
				if err != nil || resp.StatusCode != 200 {
					b.Errorf("%v %v", resp, err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				times[i] = append(times[i], time.Since(start))
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	// Caller, both nodes and backend server together; steadier than the rates
	// on a shared machine.
	b.ReportMetric(float64((cpuTime(b)-cpu).Microseconds())/float64(b.N), "cpu-us/op")
	all := slices.Concat(times...)
	slices.Sort(all)
	b.ReportMetric(float64(len(all))/b.Elapsed().Seconds(), "req/s")
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	must.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// zeros is a body that takes no memory.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// TestLargeUploadInConstantMemory guards against a stage that buffers a body.
// MARJORAM_UPLOAD_BYTES sets its size. The backend server reads slowly at
// first, so that anything unbounded in between fills up.
func TestLargeUploadInConstantMemory(t *testing.T) {
	size := int64(256 << 20)
	if v := os.Getenv("MARJORAM_UPLOAD_BYTES"); v != "" {
		var err error
		size, err = strconv.ParseInt(v, 10, 64)
		must.NoError(t, err)
	}
	pause := make(chan struct{})
	p := newPath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-pause
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, strconv.FormatInt(n, 10))
	}), func(_ *frontend.Config, g *gate.Config) { g.MaxConns = 4 })
	runtime.GC()
	base := heap()
	stop, peak := make(chan struct{}), make(chan uint64)
	go func() {
		most := uint64(0)
		for {
			most = max(most, heap())
			select {
			case <-stop:
				peak <- most
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	time.AfterFunc(300*time.Millisecond, func() { close(pause) })
	start := time.Now()
	r := request(t, "PUT", p.url+"/", io.LimitReader(zeros{}, size))
	r.ContentLength = size
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
	defer cancel()
	resp, err := http.DefaultClient.Do(r.WithContext(ctx))
	must.NoError(t, err)
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, strconv.FormatInt(size, 10), string(bytes.TrimSpace(got)))
	close(stop)
	grown := int64(<-peak) - int64(base)
	t.Logf("upload of %d MiB: heap grew by at most %d KiB over %d KiB, %.0f MiB/s",
		size>>20, grown>>10, base>>10, float64(size>>20)/time.Since(start).Seconds())
	// A window, a buffer and a garbage cycle for each hop; far below the body.
	must.Less(t, int64(32<<20), grown)
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
