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

const patience = 10 * time.Second

func await[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatalf("timeout: %s", what)
		panic("unreachable")
	}
}

// withLength runs f for a body with a length and for a chunked one.
func withLength(t *testing.T, f func(t *testing.T, known bool)) {
	t.Run("length", func(t *testing.T) { f(t, true) })
	t.Run("chunked", func(t *testing.T) { f(t, false) })
}

// Guards against a half-sent upload that looks complete to the backend server.
func TestCallerCutMidUpload(t *testing.T) {
	withLength(t, func(t *testing.T, known bool) {
		started, result := make(chan struct{}), make(chan error, 1)
		p := newPath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadFull(r.Body, make([]byte, 1000))
			close(started)
			_, err := io.Copy(io.Discard, r.Body)
			result <- err
		}), nil)
		c, err := net.Dial("tcp", p.front.Addr())
		must.NoError(t, err)
		head := "POST /up HTTP/1.1\r\nHost: x\r\nMarjoram-Service: s\r\nMarjoram-Key: k\r\n"
		part := strings.Repeat("a", 50_000)
		if known {
			_, err = io.WriteString(c, head+"Content-Length: 100000\r\n\r\n"+part)
		} else {
			_, err = io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n"+strconv.FormatInt(50_000, 16)+"\r\n"+part+"\r\n")
		}
		must.NoError(t, err)
		await(t, started, "the upload to reach the backend server")
		must.NoError(t, c.Close())
		must.Error(t, await(t, result, "the backend server to see the cut"))
	})
}

// breakOff answers with half a body and then breaks the connection on signal.
func breakOff(known bool, sent chan<- struct{}, cut <-chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if known {
			w.Header().Set("Content-Length", "100000")
		}
		_, _ = w.Write(make([]byte, 50_000))
		_ = http.NewResponseController(w).Flush()
		sent <- struct{}{}
		select {
		case <-cut:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
}

// Guards against a final chunk, or a clean close, after the body's source
// failed: hertz's own chunked writer sends one.
func TestBackendCutMidResponse(t *testing.T) {
	withLength(t, func(t *testing.T, known bool) {
		sent, cut := make(chan struct{}, 1), make(chan struct{})
		p := newPath(t, breakOff(known, sent, cut), nil)
		n, err := download(t, p, func() { await(t, sent, "half the body"); close(cut) })
		must.Error(t, err)
		must.Eq(t, 50_000, n)
		must.Eq(t, uint64(1), p.front.Stats().TruncatedResponses)
	})
}

// download reads an answer; interfere runs once its first byte has arrived.
func download(t *testing.T, p *path, interfere func()) (int64, error) {
	t.Helper()
	resp, err := http.DefaultClient.Do(request(t, "GET", p.url+"/down", nil))
	must.NoError(t, err)
	defer resp.Body.Close()
	first := make([]byte, 1)
	_, err = io.ReadFull(resp.Body, first)
	must.NoError(t, err)
	interfere()
	n, err := io.Copy(io.Discard, resp.Body)
	return n + 1, err
}

// Guards against a lost peer that looks like the end of the answer.
func TestPeerCutMidResponse(t *testing.T) {
	withLength(t, func(t *testing.T, known bool) {
		sent := make(chan struct{}, 1)
		p := newPath(t, breakOff(known, sent, nil), nil)
		_, err := download(t, p, func() { await(t, sent, "half the body"); _ = p.server.Close() })
		must.Error(t, err)
	})
}

// Guards against work that goes on for a caller that is gone, before and after
// the answer began.
func TestCallerGoneCancelsBackend(t *testing.T) {
	for _, begun := range []bool{false, true} {
		t.Run(strconv.FormatBool(begun), func(t *testing.T) {
			running, canceled := make(chan struct{}), make(chan struct{})
			p := newPath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if begun {
					_, _ = w.Write([]byte("x"))
					_ = http.NewResponseController(w).Flush()
				}
				close(running)
				<-r.Context().Done()
				close(canceled)
			}), nil)
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				resp, err := http.DefaultClient.Do(request(t, "GET", p.url+"/", nil).WithContext(ctx))
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
				}
			}()
			await(t, running, "the request to run")
			cancel()
			await(t, canceled, "the backend server to be told")
			for end := time.Now().Add(patience); !begun && (p.front.Stats().Gone == 0 || p.gate.Stats().Abandoned == 0); time.Sleep(time.Millisecond) {
				must.True(t, time.Now().Before(end), must.Sprint(p.front.Stats(), p.gate.Stats()))
			}
		})
	}
}

// Guards against a deadline that only the first node knows.
func TestDeadlineTravels(t *testing.T) {
	canceled, told := make(chan struct{}), make(chan string, 1)
	p := newPath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		told <- r.Header.Get("Marjoram-Deadline-Ms")
		<-r.Context().Done()
		close(canceled)
	}), nil)
	r := request(t, "GET", p.url+"/", nil)
	r.Header.Set("Marjoram-Deadline-Ms", "200")
	resp, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	defer resp.Body.Close()
	must.Eq(t, http.StatusBadGateway, resp.StatusCode)
	must.Eq(t, "outcome-unknown", resp.Header.Get("Marjoram-Outcome"))
	await(t, canceled, "the backend server to be told")
	ms, err := strconv.Atoi(<-told)
	must.NoError(t, err)
	must.Between(t, 1, ms, 200)
}

// Guards against pipelined bytes that end up in the body of the request before
// them, and against a connection that is lost after an upload.
func TestPipelinedRequestsStaySeparate(t *testing.T) {
	p := newPath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, r.URL.Path+" "+strconv.FormatInt(n, 10))
	}), nil)
	var b bytes.Buffer
	for _, path := range []string{"/1", "/2", "/3"} {
		b.WriteString("POST " + path + " HTTP/1.1\r\nHost: x\r\nMarjoram-Service: s\r\nMarjoram-Key: k\r\nContent-Length: 40000\r\n\r\n")
		b.Write(make([]byte, 40_000))
	}
	c, err := net.Dial("tcp", p.front.Addr())
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

// Guards against an upload that is read to its end, or cut, only because the
// answer came early.
func TestEarlyAnswerReachesUploader(t *testing.T) {
	p := newPath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		_, _ = io.WriteString(w, "too large")
	}), nil)
	c, err := net.Dial("tcp", p.front.Addr())
	must.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nMarjoram-Service: s\r\nMarjoram-Key: k\r\nContent-Length: 1000000000\r\n\r\n"+strings.Repeat("a", 70_000))
	must.NoError(t, err)
	must.NoError(t, c.SetReadDeadline(time.Now().Add(patience)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	b, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, "too large", string(b))
	must.Eq(t, 413, resp.StatusCode)
	must.True(t, resp.Close)
}
