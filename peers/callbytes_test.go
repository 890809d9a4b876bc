package peers

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/countconn"
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

// countReads returns the number of bytes that c reads from its connections.
func countReads(c *Client) *atomic.Int64 {
	read := &atomic.Int64{}
	for _, client := range []httpClient{c.calls, c.fresh, c.documents} {
		transport := client.Transport.(*callTransport).http
		transport.DialContext = countconn.Dialer(transport.DialContext, read)
	}
	return read
}

// readAheadBytes is the size of a read buffer of net/http, in which bytes after
// a limit can lie.
const readAheadBytes = 4 << 10

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
		var other *OtherCallError
		must.True(t, errors.As(err, &other), must.Sprint("the cause is not logged: ", err))
		answers <- encodeAnswer(t, StepDownAnswer{Done: true})
		s, err := c.StepDown(ctx, address, StepDownRequest{Term: 6})
		must.NoError(t, err)
		must.True(t, s.Done)
		answers <- encodeAnswer(t, StepDownAnswer{})
		s, err = c.StepDown(ctx, address, StepDownRequest{Term: 7})
		must.True(t, err != nil || !s.Done)
	}
}

// Guards against an earlier answer that extends a lease because it follows the
// start of the present answer, which breaks off within a field.
func TestEarlierAnswerBehindBrokenOffHead(t *testing.T) {
	address := startRawPeer(t, func(c net.Conn) {
		in, earlier := bufio.NewReader(c), ""
		for {
			head, ok := readCall(in)
			if !ok {
				return
			}
			if earlier == "" {
				earlier = withBody(head, encodeAnswer(t, shards.LeaseAnswer{Term: 5, Coordinator: true, Lease: 3 * time.Second}))
				_, _ = io.WriteString(c, earlier)
				continue
			}
			_, _ = io.WriteString(c, head+"Date: Fri, 04 De"+earlier)
			return
		}
	})
	c := NewClient()
	a, err := c.Report(context.Background(), address, shards.LeaseRequest{})
	must.NoError(t, err)
	must.Eq(t, 3*time.Second, a.Lease)
	a, err = c.Report(context.Background(), address, shards.LeaseRequest{})
	must.Error(t, err, must.Sprint(a))
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

// Guards against an answer that breaks off in its head or body and counts as an
// answer.
func TestAnswerToCallCutAtEachByte(t *testing.T) {
	parts := make(chan func(head string) string, 1)
	address := startRawPeer(t, func(c net.Conn) {
		if head, ok := readCall(bufio.NewReader(c)); ok {
			_, _ = io.WriteString(c, (<-parts)(head))
		}
	})
	c, ctx := NewClient(), context.Background()
	body := encodeAnswer(t, StepDownAnswer{Done: true})
	for _, frame := range []func(head string) string{
		func(head string) string { return withBody(head, body) },
		func(head string) string { return head + "\r\n" + body },
		func(head string) string {
			return head + "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n"
		},
	} {
		cut := true
		for n := 0; cut; n++ {
			sent := make(chan bool, 1)
			parts <- func(head string) string {
				whole := frame(head)
				sent <- n < len(whole)
				return whole[:min(n, len(whole))]
			}
			a, err := c.StepDown(ctx, address, StepDownRequest{Term: 3})
			select {
			case cut = <-sent:
			case <-time.After(5 * time.Second):
				t.Fatal("the other node did not get the call: ", err)
			}
			must.Eq(t, cut, err != nil, must.Sprint(n))
			must.Eq(t, !cut, a.Done)
		}
	}
}

// Guards against a call that fails because the other node closes the kept
// connection while the call is sent, before or after it read the call.
func TestCallOnKeptConnectionThatCloses(t *testing.T) {
	for name, closeWith := range map[string]func(in *bufio.Reader){
		"unread": func(in *bufio.Reader) { _, _ = in.Peek(1) },
		"read":   func(in *bufio.Reader) { _, _ = readCall(in) },
	} {
		t.Run(name, func(t *testing.T) {
			connections := &atomic.Int64{}
			address := startRawPeer(t, func(c net.Conn) {
				connections.Add(1)
				in := bufio.NewReader(c)
				if head, ok := readCall(in); ok {
					_, _ = io.WriteString(c, withBody(head, `{"Done":true}`))
					closeWith(in)
				}
			})
			c := NewClient()
			for i := range 50 {
				a, err := c.StepDown(t.Context(), address, StepDownRequest{Term: 3})
				must.NoError(t, err, must.Sprint(i))
				must.True(t, a.Done)
			}
			must.Eq(t, 50, connections.Load())
		})
	}
}

// Guards against an answer without end, in its head or body, that holds up the
// call or keeps being read.
func TestAnswerToCallWithoutEnd(t *testing.T) {
	for kind, r := range map[string]struct{ begin, repeat string }{
		"header fields":   {"", "X-Fill: 0123456789\r\n"},
		"header line":     {"X-Fill: ", strings.Repeat("x", 1024)},
		"body":            {"\r\n" + `{"Done":true}`, strings.Repeat(" ", 1024)},
		"announced body":  {"Content-Length: 99999999999\r\n\r\n" + `{"Done":true}`, strings.Repeat(" ", 1024)},
		"chunks":          {"Transfer-Encoding: chunked\r\n\r\n", "4\r\n    \r\n"},
		"chunk extension": {"Transfer-Encoding: chunked\r\n\r\n4;", strings.Repeat("x", 1024)},
		"trailers":        {"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Fill: 0123456789\r\n"},
		"1xx":             {"\r\n", "HTTP/1.1 103 X\r\nX-Fill: 0123456789\r\n\r\n"},
	} {
		for _, status := range []string{"200 OK", "503 X"} {
			t.Run(kind+" "+status, func(t *testing.T) {
				closed := make(chan struct{})
				address := startRawPeer(t, func(c net.Conn) {
					head, ok := readCall(bufio.NewReader(c))
					if !ok {
						return
					}
					head = strings.Replace(head, "200 OK", status, 1)
					if kind == "1xx" {
						head = "HTTP/1.1 103 X\r\n"
					}
					_, err := io.WriteString(c, head+r.begin)
					_ = c.SetWriteDeadline(time.Now().Add(20 * time.Second))
					for block := strings.Repeat(r.repeat, 1024/len(r.repeat)); err == nil; {
						_, err = io.WriteString(c, block)
					}
					close(closed)
				})
				client := NewClient()
				read := countReads(client)
				start := time.Now()
				a, err := client.StepDown(context.Background(), address, StepDownRequest{})
				must.Error(t, err)
				must.False(t, a.Done)
				must.Less(t, 4*callTimeout, time.Since(start))
				select {
				case <-closed:
				case <-time.After(5 * time.Second):
					t.Fatal("connection still open")
				}
				maxBytesRead := int64(maxBodyBytes)
				if kind == "chunks" {
					maxBytesRead = maxBytesRead * int64(len(r.repeat)) / 4 // each chunk has 4 bytes of the body
				}
				must.LessEq(t, maxCallHeadBytes+maxBytesRead+readAheadBytes, read.Load())
			})
		}
	}
}

// countingHandler counts the calls.
type countingHandler struct {
	testHandler
	calls *atomic.Int64
}

// StepDown implements Handler.
func (h countingHandler) StepDown(context.Context, StepDownRequest) StepDownAnswer {
	h.calls.Add(1)
	return StepDownAnswer{Done: true}
}

// startCallServer runs a server that counts the StepDown calls, and the bytes
// that it reads by the address of the other end.
func startCallServer(t *testing.T) (string, *atomic.Int64, *countconn.Listener) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	h := countingHandler{calls: &atomic.Int64{}}
	server, read := NewServer(h), countconn.NewListener(ln)
	go func() { _ = server.Serve(read) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String(), h.calls, read
}

const stepDownHead = "POST " + stepDownProcedure + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Type: application/json\r\n"

// Guards against a call that breaks off and is carried out.
func TestCallCutAtEachByte(t *testing.T) {
	address, calls, _ := startCallServer(t)
	body := `{"Service":"s","Term":4}`
	chunked := stepDownHead + "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n"
	for _, request := range []string{withBody(stepDownHead, body), chunked} {
		for n := range len(request) + 1 {
			c, err := net.Dial("tcp", address)
			must.NoError(t, err)
			_, err = io.WriteString(c, request[:n])
			must.NoError(t, err)
			if n < len(request) {
				must.NoError(t, c.(*net.TCPConn).CloseWrite())
			}
			_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
			answer, err := io.ReadAll(c)
			must.NoError(t, err)
			must.NoError(t, c.Close())
			whole := n == len(request)
			must.Eq(t, whole, bytes.Contains(answer, []byte(`{"Done":true}`)), must.Sprint(strconv.Quote(request[:n]), string(answer)))
			must.Eq(t, whole, calls.Swap(0) == 1, must.Sprint(strconv.Quote(request[:n])))
		}
	}
}

// Guards against a call without end, in its head or body, that is carried out or
// keeps being read.
func TestCallWithoutEnd(t *testing.T) {
	// net/http adds 4 KiB to the limit of a head, and reads up to 256 KiB of a
	// body that its handler left. A chunk of 1024 bytes takes 1031.
	const maxBytesRead = maxCallHeadBytes + 4<<10 + (maxBodyBytes+256<<10)*1031/1024 + readAheadBytes
	address, calls, read := startCallServer(t)
	for kind, r := range map[string]struct{ begin, repeat string }{
		"request line":       {"POST /", strings.Repeat("x", 1024)},
		"header fields":      {stepDownHead, "X-Fill: 0123456789\r\n"},
		"header line":        {stepDownHead + "X-Fill: ", strings.Repeat("x", 1024)},
		"announced body":     {stepDownHead + "Content-Length: 99999999999\r\n\r\n" + `{"Term":4}`, strings.Repeat(" ", 1024)},
		"chunks":             {stepDownHead + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat(" ", 1024) + "\r\n"},
		"chunk extension":    {stepDownHead + "Transfer-Encoding: chunked\r\n\r\n4;", strings.Repeat("x", 1024)},
		"trailers":           {stepDownHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Fill: 0123456789\r\n"},
		"body of other path": {strings.Replace(stepDownHead, stepDownProcedure, "/x", 1) + "Content-Length: 99999999999\r\n\r\n", strings.Repeat(" ", 1024)},
		"head that trickles": {stepDownHead + "X-Fill: ", "x"},
		"body that trickles": {stepDownHead + "Content-Length: 999\r\n\r\n", " "},
	} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			c, err := net.Dial("tcp", address)
			must.NoError(t, err)
			defer c.Close()
			go func() { _, _ = io.Copy(io.Discard, c) }()
			_, _ = io.WriteString(c, r.begin)
			_ = c.SetWriteDeadline(time.Now().Add(20 * time.Second))
			for start := time.Now(); ; {
				if _, err := io.WriteString(c, r.repeat); err != nil {
					must.Less(t, 10*time.Second, time.Since(start))
					break
				}
				if len(r.repeat) == 1 {
					time.Sleep(50 * time.Millisecond)
				}
			}
			n, ok := read.BytesFrom(c.LocalAddr().String())
			must.True(t, ok)
			must.LessEq(t, maxBytesRead, n)
			must.Eq(t, 0, calls.Load())
		})
	}
}

// Guards against a document that never arrives over a full link, because each
// call for it ends before the delay of the link has passed.
func TestDocumentArrivesAfterDelayOfFullLink(t *testing.T) {
	const delay = 1500 * time.Millisecond
	want := DocumentAnswer{Revision: 9, Spec: json.RawMessage(`{"version":"1"}`)}
	address := startRawPeer(t, func(c net.Conn) {
		head, ok := readCall(bufio.NewReader(c))
		if !ok {
			return
		}
		answer := withBody(head, encodeAnswer(t, want))
		time.Sleep(delay)
		for _, part := range []string{answer[:len(answer)/2], answer[len(answer)/2:]} {
			_, _ = io.WriteString(c, part)
			time.Sleep(delay / 2)
		}
	})
	a, err := NewClient().Document(context.Background(), address, DocumentRequest{Kind: "config"})
	must.NoError(t, err)
	must.Eq(t, want, a)
}
