package peers

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/shards"
)

// startRawPeer passes each connection to serve, on a goroutine of its own, and
// closes it afterwards. It returns the address.
func startRawPeer(t *testing.T, serve func(net.Conn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return ln.Addr().String()
}

// readCall reads a call and returns the head of its answer, which repeats the
// fields that identify the call, or false at the end of the connection.
func readCall(in *bufio.Reader) (string, bool) {
	r, err := http.ReadRequest(in)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	if id := r.Header.Get("Marjoramshore-Call-Id"); id != "" {
		head += "Marjoramshore-Call-Id: " + id + "\r\n"
	}
	return head, true
}

func encodeAnswer(t *testing.T, v any) string {
	data, err := json.Marshal(v)
	must.NoError(t, err)
	return string(data)
}

func withBody(head, body string) string {
	return head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// Guards against an earlier answer of a node, written once more on a kept
// connection, that extends a lease or confirms that a coordinator stepped down.
func TestEarlierAnswerRepeatedToCall(t *testing.T) {
	answers := make(chan string, 8)
	address := startRawPeer(t, func(c net.Conn) {
		in, earlier := bufio.NewReader(c), ""
		for {
			head, ok := readCall(in)
			if !ok {
				return
			}
			own := withBody(head, <-answers)
			_, _ = io.WriteString(c, earlier+own)
			earlier = own
		}
	})
	c, ctx := NewClient(), context.Background()
	leased := encodeAnswer(t, shards.LeaseAnswer{Term: 5, Coordinator: true, Lease: 3 * time.Second})
	refused := encodeAnswer(t, shards.LeaseAnswer{Term: 5, Coordinator: true})
	for range 3 {
		answers <- leased
		a, err := c.Report(ctx, address, shards.LeaseRequest{})
		must.NoError(t, err)
		must.Eq(t, 3*time.Second, a.Lease)
		answers <- refused
		a, err = c.Report(ctx, address, shards.LeaseRequest{})
		must.True(t, err != nil || a.Lease == 0, must.Sprint(a))
		answers <- encodeAnswer(t, StepDownAnswer{Done: true})
		s, err := c.StepDown(ctx, address, StepDownRequest{Term: 6})
		must.NoError(t, err)
		must.True(t, s.Done)
		answers <- encodeAnswer(t, StepDownAnswer{})
		s, err = c.StepDown(ctx, address, StepDownRequest{Term: 7})
		must.True(t, err != nil || !s.Done)
	}
}

// Guards against calls to a node of an earlier version, whose answers do not
// identify their call, that all fail.
func TestAnswerWithoutCallID(t *testing.T) {
	address := startRawPeer(t, func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			if _, ok := readCall(in); !ok {
				return
			}
			_, _ = io.WriteString(c, withBody("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n", `{"Done":true}`))
		}
	})
	c := NewClient()
	for i := range 4 {
		s, err := c.StepDown(context.Background(), address, StepDownRequest{})
		// The second call finds a connection that has carried one.
		must.Eq(t, i%2 == 0, err == nil && s.Done, must.Sprint(i, err))
	}
}
