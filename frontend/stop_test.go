package frontend_test

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a planned stop that aborts an upload in progress: Shutdown of
// the Frontend, the peer's server and the Gate must wait for it.
func TestPlannedStopFinishesHalfSentUpload(t *testing.T) {
	started := make(chan struct{})
	p := newTwoNodePath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadFull(r.Body, make([]byte, 1000))
		close(started)
		n, err := io.Copy(io.Discard, r.Body)
		if err == nil {
			_, _ = io.WriteString(w, strconv.FormatInt(n+1000, 10))
		}
	}), nil)
	bodyReader, bodyWriter := io.Pipe()
	r := newRequest(t, "POST", p.url+"/", bodyReader)
	r.ContentLength = 2_000_000
	type result struct {
		body string
		err  error
	}
	done := make(chan result, 1)
	go func() {
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			done <- result{err: err}
			return
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		done <- result{string(b), err}
	}()
	_, err := bodyWriter.Write(make([]byte, 1_000_000))
	must.NoError(t, err)
	receive(t, started, "the upload to start")
	stopped := make(chan error, 3)
	for _, stop := range []func(context.Context) error{p.frontend.Shutdown, p.peerServer.Shutdown, p.gate.Shutdown} {
		go func() { stopped <- stop(context.Background()) }()
	}
	time.Sleep(100 * time.Millisecond) // Shutdown must wait meanwhile
	must.Eq(t, 0, len(stopped))
	_, err = bodyWriter.Write(make([]byte, 1_000_000))
	must.NoError(t, err)
	got := receive(t, done, "the response")
	must.NoError(t, got.err)
	must.Eq(t, "2000000", got.body)
	for range 3 {
		must.NoError(t, receive(t, stopped, "the components to stop"))
	}
}

// Guards against a component that buffers a whole response for a caller that
// reads slowly.
func TestSlowDownloadInConstantMemory(t *testing.T) {
	const size = 64 << 20
	p := newTwoNodePath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.CopyN(w, zeroReader{}, size)
	}), nil)
	runtime.GC()
	heapBefore := heapBytes()
	resp, err := http.DefaultClient.Do(newRequest(t, "GET", p.url+"/", nil))
	must.NoError(t, err)
	defer resp.Body.Close()
	time.Sleep(300 * time.Millisecond) // lets every buffer on the path fill
	heapGrowth := int64(heapBytes()) - int64(heapBefore)
	t.Logf("stalled download: heap grew by %d KiB", heapGrowth>>10)
	must.Less(t, int64(32<<20), heapGrowth)
	n, err := io.Copy(io.Discard, resp.Body)
	must.NoError(t, err)
	must.Eq(t, int64(size), n)
}
