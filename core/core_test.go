package core

import (
	"io"
	"slices"
	"testing"
	"time"
)

// Guards against forwarding hop-by-hop fields to the next connection.
func TestStripHopByHopFields(t *testing.T) {
	got := StripHopByHopFields([]Field{
		{"connection", "keep-alive, x-mine"}, {"X-Mine", "1"}, {"x-app", "2"},
		{"Transfer-Encoding", "chunked"}, {"x-app", "3"}, {"content-length", "5"},
	})
	want := []Field{{"X-App", "2"}, {"X-App", "3"}}
	if !slices.Equal(got, want) {
		t.Fatalf("end-to-end fields: got %v, want %v", got, want)
	}
}

// Guards against reads of a connection that continue after Close, when the
// connection may already carry another request.
func TestBodyCloseEndsRunningRead(t *testing.T) {
	r, w := io.Pipe()
	b := NewBody(r, func() { _ = w.CloseWithError(io.ErrUnexpectedEOF) })
	readErr := make(chan error, 1)
	go func() {
		_, err := b.Read(make([]byte, 1))
		readErr <- err
	}()
	for len(b.readSlot) == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-readErr; err == nil || err == io.EOF {
		t.Fatalf("interrupted read: got error %v, want one other than io.EOF", err)
	}
	if _, err := b.Read(make([]byte, 1)); err != (ClosedBodyError{}) || b.ReachedEOF() {
		t.Fatalf("read after Close: got error %v, want ClosedBodyError and no EOF", err)
	}
}
