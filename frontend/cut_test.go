package frontend_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const testTimeout = 10 * time.Second

// receive returns the next value of c and fails the test if event does not
// happen within testTimeout.
func receive[T any](t *testing.T, c <-chan T, event string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("timeout waiting for %s", event)
		panic("unreachable")
	}
}

// forEachFraming runs f for a body of announced length and for a chunked body.
func forEachFraming(t *testing.T, f func(t *testing.T, knownLength bool)) {
	t.Run("length", func(t *testing.T) { f(t, true) })
	t.Run("chunked", func(t *testing.T) { f(t, false) })
}

// Guards against an upload that looks complete to the backend server although
// the caller disconnected in the middle of it.
func TestCallerCutMidUpload(t *testing.T) {
	forEachFraming(t, func(t *testing.T, knownLength bool) {
		started, result := make(chan struct{}), make(chan error, 1)
		p := newTwoNodePath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadFull(r.Body, make([]byte, 1000))
			close(started)
			_, err := io.Copy(io.Discard, r.Body)
			result <- err
		}), nil)
		c, err := net.Dial("tcp", p.frontend.Addr())
		must.NoError(t, err)
		head := "POST /up HTTP/1.1\r\nHost: x\r\nMarjoram-Service: s\r\nMarjoram-Key: k\r\n"
		part := strings.Repeat("a", 50_000)
		if knownLength {
			_, err = io.WriteString(c, head+"Content-Length: 100000\r\n\r\n"+part)
		} else {
			_, err = io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n"+strconv.FormatInt(50_000, 16)+"\r\n"+part+"\r\n")
		}
		must.NoError(t, err)
		receive(t, started, "the upload to reach the backend server")
		must.NoError(t, c.Close())
		must.Error(t, receive(t, result, "the backend server to see the broken upload"))
	})
}

// abortMidResponse sends half a response body, signals sent and aborts the
// connection on a signal of abort or when the request is canceled.
func abortMidResponse(knownLength bool, sent chan<- struct{}, abort <-chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if knownLength {
			w.Header().Set("Content-Length", "100000")
		}
		_, _ = w.Write(make([]byte, 50_000))
		_ = http.NewResponseController(w).Flush()
		sent <- struct{}{}
		select {
		case <-abort:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
}

// Guards against a response that looks complete although the backend server
// broke off. The chunked writer of hertz sends a final chunk in that case.
func TestBackendCutMidResponse(t *testing.T) {
	forEachFraming(t, func(t *testing.T, knownLength bool) {
		sent, abort := make(chan struct{}, 1), make(chan struct{})
		p := newTwoNodePath(t, abortMidResponse(knownLength, sent, abort), nil)
		n, err := download(t, p, func() { receive(t, sent, "half the body"); close(abort) })
		must.Error(t, err)
		must.Eq(t, 50_000, n)
		must.Eq(t, uint64(1), p.frontend.Stats().TruncatedResponses)
	})
}

// download reads a response and returns the length of its body. It calls
// onFirstByte when the first byte has arrived.
func download(t *testing.T, p *twoNodePath, onFirstByte func()) (int64, error) {
	t.Helper()
	resp, err := http.DefaultClient.Do(newRequest(t, "GET", p.url+"/down", nil))
	must.NoError(t, err)
	defer resp.Body.Close()
	first := make([]byte, 1)
	_, err = io.ReadFull(resp.Body, first)
	must.NoError(t, err)
	onFirstByte()
	n, err := io.Copy(io.Discard, resp.Body)
	return n + 1, err
}

// Guards against a response that looks complete although the connection to the
// peer was lost.
func TestPeerCutMidResponse(t *testing.T) {
	forEachFraming(t, func(t *testing.T, knownLength bool) {
		sent := make(chan struct{}, 1)
		p := newTwoNodePath(t, abortMidResponse(knownLength, sent, nil), nil)
		_, err := download(t, p, func() { receive(t, sent, "half the body"); _ = p.peerServer.Close() })
		must.Error(t, err)
	})
}

// Guards against a request that keeps running although its caller disconnected,
// before or after the response began.
func TestCallerDisconnectCancelsBackend(t *testing.T) {
	for _, responseBegun := range []bool{false, true} {
		t.Run(strconv.FormatBool(responseBegun), func(t *testing.T) {
			running, canceled := make(chan struct{}), make(chan struct{})
			p := newTwoNodePath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if responseBegun {
					_, _ = w.Write([]byte("x"))
					_ = http.NewResponseController(w).Flush()
				}
				close(running)
				<-r.Context().Done()
				close(canceled)
			}), nil)
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				resp, err := http.DefaultClient.Do(newRequest(t, "GET", p.url+"/", nil).WithContext(ctx))
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
				}
			}()
			receive(t, running, "the request to run")
			cancel()
			receive(t, canceled, "the request to be canceled at the backend server")
			for end := time.Now().Add(testTimeout); !responseBegun && (p.frontend.Stats().CallerDisconnects == 0 || p.gate.Stats().Abandoned == 0); time.Sleep(time.Millisecond) {
				must.True(t, time.Now().Before(end), must.Sprint(p.frontend.Stats(), p.gate.Stats()))
			}
		})
	}
}

// Guards against a deadline that only the first node enforces.
func TestDeadlineReachesBackend(t *testing.T) {
	canceled, deadlines := make(chan struct{}), make(chan string, 1)
	p := newTwoNodePath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		deadlines <- r.Header.Get("Marjoram-Deadline-Ms")
		<-r.Context().Done()
		close(canceled)
	}), nil)
	r := newRequest(t, "GET", p.url+"/", nil)
	r.Header.Set("Marjoram-Deadline-Ms", "200")
	resp, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	defer resp.Body.Close()
	must.Eq(t, http.StatusBadGateway, resp.StatusCode)
	must.Eq(t, "outcome-unknown", resp.Header.Get("Marjoram-Outcome"))
	receive(t, canceled, "the request to be canceled at the backend server")
	ms, err := strconv.Atoi(<-deadlines)
	must.NoError(t, err)
	must.Between(t, 1, ms, 200)
}

// Guards against bytes of a pipelined request that are read as part of the body
// before them, and against closing the connection after an upload.
func TestPipelinedRequestsStaySeparate(t *testing.T) {
	p := newTwoNodePath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, r.URL.Path+" "+strconv.FormatInt(n, 10))
	}), nil)
	var b bytes.Buffer
	for _, path := range []string{"/1", "/2", "/3"} {
		b.WriteString("POST " + path + " HTTP/1.1\r\nHost: x\r\nMarjoram-Service: s\r\nMarjoram-Key: k\r\nContent-Length: 40000\r\n\r\n")
		b.Write(make([]byte, 40_000))
	}
	c, err := net.Dial("tcp", p.frontend.Addr())
	must.NoError(t, err)
	defer c.Close()
	go func() { _, _ = c.Write(b.Bytes()) }()
	br := bufio.NewReader(c)
	for _, want := range []string{"/1 40000", "/2 40000", "/3 40000"} {
		resp, err := http.ReadResponse(br, nil)
		must.NoError(t, err)
		got, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.Eq(t, want, string(got))
	}
}

// Guards against reading an upload to its end, or resetting it, when the
// response comes before the end of the upload.
func TestEarlyResponseReachesUploader(t *testing.T) {
	p := newTwoNodePath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		_, _ = io.WriteString(w, "too large")
	}), nil)
	c, err := net.Dial("tcp", p.frontend.Addr())
	must.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nMarjoram-Service: s\r\nMarjoram-Key: k\r\nContent-Length: 1000000000\r\n\r\n"+strings.Repeat("a", 70_000))
	must.NoError(t, err)
	must.NoError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	b, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, "too large", string(b))
	must.Eq(t, 413, resp.StatusCode)
	must.True(t, resp.Close)
}
