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

// Guards I7: a planned stop of every stage lets a half-sent upload finish.
func TestPlannedStopFinishesHalfSentUpload(t *testing.T) {
	started := make(chan struct{})
	p := newPath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadFull(r.Body, make([]byte, 1000))
		close(started)
		n, err := io.Copy(io.Discard, r.Body)
		if err == nil {
			_, _ = io.WriteString(w, strconv.FormatInt(n+1000, 10))
		}
	}), nil)
	pr, pw := io.Pipe()
	r := request(t, "POST", p.url+"/", pr)
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
	_, err := pw.Write(make([]byte, 1_000_000))
	must.NoError(t, err)
	await(t, started, "the upload to start")
	stopped := make(chan error, 3)
	for _, stop := range []func(context.Context) error{p.front.Shutdown, p.server.Shutdown, p.gate.Shutdown} {
		go func() { stopped <- stop(context.Background()) }()
	}
	time.Sleep(100 * time.Millisecond) // the stop must wait, not cut
	must.Eq(t, 0, len(stopped))
	_, err = pw.Write(make([]byte, 1_000_000))
	must.NoError(t, err)
	got := await(t, done, "the answer")
	must.NoError(t, got.err)
	must.Eq(t, "2000000", got.body)
	for range 3 {
		must.NoError(t, await(t, stopped, "the stages to stop"))
	}
}

// Guards against a stage that buffers an answer for a caller that reads slowly.
func TestSlowDownloadInConstantMemory(t *testing.T) {
	const size = 64 << 20
	p := newPath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.CopyN(w, zeros{}, size)
	}), nil)
	runtime.GC()
	base := heap()
	resp, err := http.DefaultClient.Do(request(t, "GET", p.url+"/", nil))
	must.NoError(t, err)
	defer resp.Body.Close()
	time.Sleep(300 * time.Millisecond) // everything on the way fills up
	grown := int64(heap()) - int64(base)
	t.Logf("stalled download: heap grew by %d KiB", grown>>10)
	must.Less(t, int64(32<<20), grown)
	n, err := io.Copy(io.Discard, resp.Body)
	must.NoError(t, err)
	must.Eq(t, int64(size), n)
}
