package frontend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/core"
	"marjoramshore.example/frontend"
)

// requestReader reports that a request has begun, reads its body and reports
// whether it ended as whole.
type requestReader struct {
	begun chan struct{}
	whole chan bool
}

// Serve implements core.Handler.
func (r requestReader) Serve(_ context.Context, req *core.Request) (*core.Response, error) {
	r.begun <- struct{}{}
	_, err := io.Copy(io.Discard, req.Body)
	r.whole <- err == nil
	if err != nil {
		return nil, core.Wrap(core.CodeAborted, err, "read body")
	}
	return &core.Response{Status: 200, Length: 0, Body: core.NoBody}, nil
}

// startReader starts a Frontend that reads request bodies.
func startReader(t *testing.T, cfg frontend.Config) (*frontend.Frontend, requestReader) {
	r := requestReader{make(chan struct{}, 1000), make(chan bool, 1000)}
	cfg.Addr, cfg.Handler = "127.0.0.1:0", r
	f, err := frontend.New(cfg)
	must.NoError(t, err)
	f.Start()
	t.Cleanup(func() { _ = f.Close() })
	return f, r
}

func dialFrontend(t *testing.T, f *frontend.Frontend) *net.TCPConn {
	c, err := net.Dial("tcp", f.Addr())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

// awaitFreed waits until no exchange and no connection is open.
func awaitFreed(t *testing.T, f *frontend.Frontend) {
	t.Helper()
	for end := time.Now().Add(testTimeout); f.Stats().OpenConns > 0 || f.Stats().InFlight > 0; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprint(f.Stats()))
	}
}

const routingFields = "Host: x\r\nMarjoram-Service: s\r\nMarjoram-Key: k\r\n"

// wholeRequests returns requests of each framing.
func wholeRequests() []string {
	large := strings.Repeat("b", 200)
	return []string{
		"GET /a HTTP/1.1\r\n" + routingFields + "\r\n",
		"POST /a HTTP/1.1\r\n" + routingFields + "Content-Length: 5\r\n\r\nabcde",
		"POST /a HTTP/1.1\r\n" + routingFields + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nc8\r\n" + large + "\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\n" + routingFields + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\nX-T: 1\r\n\r\n",
	}
}

// Guards against a request that breaks off in its head or body and is run as
// whole, and against the resources of its connection that are not freed.
func TestRequestCutAtEachByte(t *testing.T) {
	f, reader := startReader(t, frontend.Config{})
	for _, request := range wholeRequests() {
		for _, halfClose := range []bool{true, false} {
			for n := range len(request) {
				c := dialFrontend(t, f)
				_, err := io.WriteString(c, request[:n])
				must.NoError(t, err)
				if strings.Contains(request[:n], "chunked\r\n\r\n") {
					// A request whose caller has left is not begun.
					receive(t, reader.begun, "the request to begin")
				}
				if halfClose {
					must.NoError(t, c.CloseWrite())
					_ = c.SetReadDeadline(time.Now().Add(testTimeout))
					answer, _ := io.ReadAll(c)
					must.StrNotHasPrefix(t, "HTTP/1.1 200", string(answer), must.Sprint(strconv.Quote(request[:n])))
				}
				must.NoError(t, c.Close())
				awaitFreed(t, f)
				select {
				case w := <-reader.whole:
					must.False(t, w, must.Sprint(strconv.Quote(request[:n])))
				default:
				}
			}
		}
		c := dialFrontend(t, f)
		_, err := io.WriteString(c, request)
		must.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		must.NoError(t, err)
		must.Eq(t, 200, resp.StatusCode)
		must.True(t, <-reader.whole)
		<-reader.begun
		must.NoError(t, c.Close())
	}
}

// Guards against a caller that holds a connection for long by sending the head
// of a request byte by byte, as the first one of a connection or as a later one.
func TestRequestHeadThatTrickles(t *testing.T) {
	f, _ := startReader(t, frontend.Config{HeaderTimeout: 400 * time.Millisecond})
	for _, earlierRequests := range []int{0, 1} {
		c := dialFrontend(t, f)
		in := bufio.NewReader(c)
		for range earlierRequests {
			_, err := io.WriteString(c, wholeRequests()[0])
			must.NoError(t, err)
			_, err = http.ReadResponse(in, nil)
			must.NoError(t, err)
		}
		go func() {
			for range 200 {
				if _, err := io.WriteString(c, "G"); err != nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
		start := time.Now()
		_ = c.SetReadDeadline(time.Now().Add(testTimeout))
		_, _ = io.Copy(io.Discard, in)
		must.Less(t, 4*time.Second, time.Since(start), must.Sprint(earlierRequests))
	}
	awaitFreed(t, f)
}

// Guards against a request without end, in its head or body, that is run as
// whole, keeps being read, or keeps its connection.
func TestRequestWithoutEnd(t *testing.T) {
	const (
		maxHeadBytes = 32 << 10 // also bounds what lies between the chunks of one read
		maxBodyBytes = 64 << 10
		// readBufferBytes is the size of the reads of a body.
		readBufferBytes = 32 << 10
		// maxLingerBytes is read after the response so that the caller gets it.
		maxLingerBytes = 256<<10 + 8<<10
	)
	chunked := "POST /a HTTP/1.1\r\n" + routingFields + "Transfer-Encoding: chunked\r\n\r\n"
	for kind, r := range map[string]struct{ begin, repeat string }{
		"request line":    {"GET /", "x"},
		"method":          {"", "x"},
		"empty lines":     {"", "\r\n"},
		"header line":     {"GET / HTTP/1.1\r\n" + routingFields + "X-Fill: ", "x"},
		"header name":     {"GET / HTTP/1.1\r\n" + routingFields, "x"},
		"header fields":   {"GET / HTTP/1.1\r\n" + routingFields, "X-Fill: 0123456789\r\n"},
		"announced body":  {"POST /a HTTP/1.1\r\n" + routingFields + "Content-Length: 99999999999\r\n\r\n", "x"},
		"chunks":          {chunked, "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		"small chunks":    {chunked, "1\r\nx\r\n"},
		"large chunk":     {chunked + "7fffffff\r\n", "x"},
		"chunk size":      {chunked, "0"},
		"chunk extension": {chunked + "4;", "x"},
		"white space":     {chunked + "4", " "},
		"last chunk":      {chunked + "0;", "x"},
		"trailers":        {chunked + "0\r\n", "X-Fill: 0123456789\r\n"},
		"trailer":         {chunked + "0\r\nX-Fill: ", "x"},
	} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			// The buffer of hertz doubles until it holds more than the largest head.
			maxBytesRead := int64(2 * maxHeadBytes)
			if strings.HasPrefix(r.begin, "POST") {
				framing := int64(2) // more than the chunks below need, except for the smallest
				if kind == "small chunks" {
					framing = int64(len(r.repeat))
				}
				maxBytesRead += framing*maxBodyBytes + maxHeadBytes + readBufferBytes + maxLingerBytes
			}
			meter := &core.ByteMeter{}
			f, reader := startReader(t, frontend.Config{MaxHeaderBytes: maxHeadBytes, MaxBodyBytes: maxBodyBytes, HeaderTimeout: 2 * time.Second, BodyIdleTimeout: 2 * time.Second, Meter: meter})
			c := dialFrontend(t, f)
			go func() { _, _ = io.Copy(io.Discard, c) }()
			_, err := io.WriteString(c, r.begin)
			_ = c.SetWriteDeadline(time.Now().Add(20 * time.Second))
			start := time.Now()
			for block := strings.Repeat(r.repeat, max(1, 4096/len(r.repeat))); err == nil; {
				_, err = io.WriteString(c, block)
			}
			must.Less(t, testTimeout, time.Since(start))
			awaitFreed(t, f)
			read, _ := meter.Totals()
			must.LessEq(t, maxBytesRead, read)
			select {
			case w := <-reader.whole:
				must.False(t, w)
			default:
			}
		})
	}
}
