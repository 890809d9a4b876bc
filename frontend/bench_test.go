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
// levels of concurrency: sent directly to the stand-in backend server, through
// the node beside it, and through two nodes. Compare figures of the same run
// only, since other load on the machine changes them.
func BenchmarkPath(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(smallResponse))
	defer s.Close()
	for _, callers := range []int{1, 64, 512} {
		b.Run("direct/"+strconv.Itoa(callers), func(b *testing.B) { measureLoad(b, s.URL, callers) })
		b.Run("local/"+strconv.Itoa(callers), func(b *testing.B) {
			g, err := gate.New(gate.Config{BackendAddr: s.Listener.Addr().String(), MaxConns: 1024})
			must.NoError(b, err)
			f, err := frontend.New(frontend.Config{Addr: "127.0.0.1:0", Handler: g})
			must.NoError(b, err)
			f.Start()
			defer f.Close()
			measureLoad(b, "http://"+f.Addr(), callers)
		})
		b.Run("path/"+strconv.Itoa(callers), func(b *testing.B) {
			p := newTwoNodePath(b, http.HandlerFunc(smallResponse), nil)
			measureLoad(b, p.url, callers)
		})
	}
}

func smallResponse(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 512)) }

// measureLoad sends b.N requests from concurrent callers and reports CPU time,
// throughput and latencies.
func measureLoad(b *testing.B, url string, callers int) {
	tr := &http.Transport{MaxIdleConnsPerHost: callers, MaxConnsPerHost: callers}
	defer tr.CloseIdleConnections()
	c := &http.Client{Transport: tr}
	var unsent atomic.Int64
	unsent.Store(int64(b.N))
	latencies := make([][]time.Duration, callers)
	var wg sync.WaitGroup
	cpuBefore := cpuTime(b)
	b.ResetTimer()
	for i := range callers {
		wg.Go(func() {
			for unsent.Add(-1) >= 0 {
				start := time.Now()
				resp, err := c.Do(newRequest(b, "GET", url, nil))
				if err != nil || resp.StatusCode != 200 {
					b.Errorf("%v %v", resp, err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				latencies[i] = append(latencies[i], time.Since(start))
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	// The CPU time includes callers, nodes and backend server. It varies less
	// than the rates when the machine is shared.
	b.ReportMetric(float64((cpuTime(b)-cpuBefore).Microseconds())/float64(b.N), "cpu-us/op")
	all := slices.Concat(latencies...)
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

// zeroReader is an endless body of zero bytes that takes no memory.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// TestLargeUploadInConstantMemory guards against a component that buffers a
// whole request body. MARJORAM_UPLOAD_BYTES sets the size of the body. The
// backend server starts to read late, so that an unbounded buffer in between
// would fill.
func TestLargeUploadInConstantMemory(t *testing.T) {
	size := int64(256 << 20)
	if v := os.Getenv("MARJORAM_UPLOAD_BYTES"); v != "" {
		var err error
		size, err = strconv.ParseInt(v, 10, 64)
		must.NoError(t, err)
	}
	startReading := make(chan struct{})
	p := newTwoNodePath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-startReading
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, strconv.FormatInt(n, 10))
	}), func(_ *frontend.Config, g *gate.Config) { g.MaxConns = 4 })
	runtime.GC()
	heapBefore := heapBytes()
	stop, peak := make(chan struct{}), make(chan uint64)
	go func() {
		highest := uint64(0)
		for {
			highest = max(highest, heapBytes())
			select {
			case <-stop:
				peak <- highest
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	time.AfterFunc(300*time.Millisecond, func() { close(startReading) })
	start := time.Now()
	r := newRequest(t, "PUT", p.url+"/", io.LimitReader(zeroReader{}, size))
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
	heapGrowth := int64(<-peak) - int64(heapBefore)
	t.Logf("upload of %d MiB: heap grew by at most %d KiB over %d KiB, %.0f MiB/s",
		size>>20, heapGrowth>>10, heapBefore>>10, float64(size>>20)/time.Since(start).Seconds())
	// Each hop holds a flow-control window, a buffer and the garbage of one
	// collection cycle, which is far less than the body.
	must.Less(t, int64(32<<20), heapGrowth)
}

// heapBytes returns the size of the allocated heap.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
