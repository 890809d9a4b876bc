package frontend_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/gate"
)

// Guards against header fields that an HTTP library on the path adds, merges or
// rewrites, and against a backend server that sets fields reserved for the
// node.
func TestHeadersPassUnchanged(t *testing.T) {
	var got *http.Request
	p := newTwoNodePath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r
		h := w.Header()
		h["Set-Cookie"] = []string{"a=1; Path=/x", "a=2; Path=/y; HttpOnly"}
		h.Set("Date", "Mon, 02 Jan 2006 15:04:05 GMT")
		h.Set("Server", "stand-in")
		h.Set("Content-Encoding", "br")
		h.Set("ETag", `"v1"`)
		h["Vary"] = []string{"A", "B"}
		h.Set("Marjoram-Outcome", "forged")
		h.Set("Marjoram-Owner", "forged")
		w.WriteHeader(http.StatusTeapot)
	}), nil)
	r := newRequest(t, "DELETE", p.url+"//a/%2Fb?x=%20&y", nil)
	r.Host = "tiles.example"
	r.Header["X-Multi"] = []string{"1", "2"}
	r.Header.Set("User-Agent", "ua")
	r.Header.Set("Cookie", "c=1; d=2")
	r.Header.Set("Accept-Encoding", "zstd")
	r.Header.Set("Marjoram-Fencing-Token", "9.9")
	resp, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	_ = resp.Body.Close()
	must.Eq(t, "//a/%2Fb?x=%20&y", got.RequestURI)
	must.Eq(t, "tiles.example", got.Host)
	must.Eq(t, []string{"1", "2"}, got.Header["X-Multi"])
	for name, want := range map[string]string{"User-Agent": "ua", "Cookie": "c=1; d=2", "Accept-Encoding": "zstd", "Marjoram-Fencing-Token": "", gate.HeaderIdempotent: "true"} {
		must.Eq(t, want, got.Header.Get(name), must.Sprint(name))
	}
	must.Eq(t, http.StatusTeapot, resp.StatusCode)
	for name, want := range map[string][]string{
		"Set-Cookie": {"a=1; Path=/x", "a=2; Path=/y; HttpOnly"}, "Date": {"Mon, 02 Jan 2006 15:04:05 GMT"},
		"Server": {"stand-in"}, "Content-Encoding": {"br"}, "Etag": {`"v1"`}, "Vary": {"A", "B"},
		"Marjoram-Outcome": {"answered"}, "Marjoram-Owner": nil, "Content-Type": nil,
	} {
		must.Eq(t, want, resp.Header[name], must.Sprint(name))
	}
}

// Guards against a response without a body, to HEAD or of status 204 or 304,
// that stalls its connection or leaves bytes on it.
func TestBodilessResponsesKeepConnection(t *testing.T) {
	p := newTwoNodePath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/204":
			w.WriteHeader(204)
		case "/304":
			w.WriteHeader(304)
		default:
			w.Header().Set("Content-Length", "100000")
			_, _ = io.WriteString(w, strings.Repeat("x", 100_000))
		}
	}), nil)
	for _, c := range []struct {
		method, path string
		status       int
		length       int64
	}{{"HEAD", "/big", 200, 100_000}, {"GET", "/204", 204, 0}, {"GET", "/304", 304, 0}, {"GET", "/big", 200, 100_000}, {"HEAD", "/big", 200, 100_000}} {
		resp, err := http.DefaultClient.Do(newRequest(t, c.method, p.url+c.path, nil))
		must.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		must.NoError(t, err)
		_ = resp.Body.Close()
		must.Eq(t, c.status, resp.StatusCode)
		must.Eq(t, c.length, resp.ContentLength)
	}
	must.Eq(t, int64(1), p.frontend.Stats().OpenConns)
	must.Eq(t, uint64(0), p.frontend.Stats().TruncatedResponses)
}

// Guards against an upload that waits in vain for 100 (Continue), and against
// chunks sent to an HTTP/1.0 caller.
func TestExpectContinueAndHTTP10Callers(t *testing.T) {
	p := newTwoNodePath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, strconv.FormatInt(n, 10))
		_ = http.NewResponseController(w).Flush() // the response has no Content-Length
	}), nil)
	for _, tc := range []struct{ head, body, want string }{
		{"POST / HTTP/1.1\r\nExpect: 100-continue\r\nConnection: close\r\nContent-Length: 50000\r\n", strings.Repeat("x", 50_000), "50000"},
		{"POST / HTTP/1.0\r\nContent-Length: 3\r\n", "abc", "3"},
		{"GET / HTTP/1.0\r\n", "", "0"},
		{"PUT / HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n", "3\r\nabc\r\n0\r\nX-T: 1\r\n\r\n", "3"},
	} {
		c, err := net.Dial("tcp", p.frontend.Addr())
		must.NoError(t, err)
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		_, err = io.WriteString(c, tc.head+"Host: x\r\nMarjoram-Service: s\r\nMarjoram-Key: k\r\n\r\n")
		must.NoError(t, err)
		br := bufio.NewReader(c)
		if strings.Contains(tc.head, "Expect") {
			resp, err := http.ReadResponse(br, nil)
			must.NoError(t, err)
			must.Eq(t, 100, resp.StatusCode)
		}
		_, err = io.WriteString(c, tc.body)
		must.NoError(t, err)
		resp, err := http.ReadResponse(br, nil)
		must.NoError(t, err, must.Sprint(tc.head))
		must.Eq(t, strings.Contains(tc.head, "1.1"), len(resp.TransferEncoding) > 0)
		b, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.Eq(t, tc.want, string(b))
		_, err = br.ReadByte()
		must.Eq(t, io.EOF, err)
	}
}
