package core

import (
	"io"
	"slices"
	"testing"
	"time"
)

// Guards against fields of one connection that reach the next one.
func TestEndToEnd(t *testing.T) {
	got := StripHopByHopFields([]Field{
		{"connection", "keep-alive, x-mine"}, {"X-Mine", "1"}, {"x-app", "2"},
		{"Transfer-Encoding", "chunked"}, {"x-app", "3"}, {"content-length", "5"},
	})
	want := []Field{{"X-App", "2"}, {"X-App", "3"}}
	if !slices.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// Guards against a stage that goes on reading a stream which is in use for
// something else after Close.
func TestBodyCloseEndsRunningRead(t *testing.T) {
	r, w := io.Pipe()
	b := NewBody(r, func() { _ = w.CloseWithError(io.ErrUnexpectedEOF) })
	failed := make(chan error, 1)
	go func() {
		_, err := b.Read(make([]byte, 1))
		failed <- err
	}()
	for len(b.turn) == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-failed; err == nil || err == io.EOF {
		t.Fatalf("read ended with %v", err)
	}
	if _, err := b.Read(make([]byte, 1)); err != (ClosedBodyError{}) || b.ReachedEOF() {
		t.Fatalf("read after close: %v", err)
	}
}
