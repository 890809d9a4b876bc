package telemetry

import (
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"marjoramshore.example/countconn"
)

// startMetricsServer returns the address of a server, and the bytes that it reads
// by the address of the other end.
func startMetricsServer(t *testing.T) (string, *countconn.Listener) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	read := countconn.NewListener(ln)
	s := NewMetricsServer(read, metrics.NewRegistry())
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { _ = s.Shutdown(t.Context()) })
	return ln.Addr().String(), read
}

// Guards against a request for the metrics that breaks off and is answered.
func TestMetricsRequestCutAtEachByte(t *testing.T) {
	address, _ := startMetricsServer(t)
	request := "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
	for n := range len(request) + 1 {
		c, err := net.Dial("tcp", address)
		must.NoError(t, err)
		_, err = io.WriteString(c, request[:n])
		must.NoError(t, err)
		must.NoError(t, c.(*net.TCPConn).CloseWrite())
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		answer, err := io.ReadAll(c)
		must.NoError(t, err)
		must.NoError(t, c.Close())
		must.Eq(t, n == len(request), strings.HasPrefix(string(answer), "HTTP/1.1 200"), must.Sprint(strconv.Quote(request[:n])))
	}
}

// Guards against a request for the metrics without end, in its head or body,
// that keeps being read or keeps its connection.
func TestMetricsRequestWithoutEnd(t *testing.T) {
	// The limit of a head, to which net/http adds 4 KiB, what net/http reads of a
	// body that its handler left, and one read buffer. Of a chunked body it reads
	// 256 KiB before the response and as much after it; a chunk of 1024 bytes takes
	// 1031.
	const maxBytesRead = 8<<10 + 4<<10 + 2*(256<<10)*1031/1024 + 4<<10
	address, read := startMetricsServer(t)
	head := "GET /metrics HTTP/1.1\r\nHost: x\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	for kind, r := range map[string]struct{ begin, repeat string }{
		"request line":       {"GET /", "x"},
		"header line":        {head + "X-Fill: ", "x"},
		"header fields":      {head, "X-Fill: 0123456789\r\n"},
		"announced body":     {head + "Content-Length: 99999999999\r\n\r\n", "x"},
		"chunks":             {chunked, "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		"white space":        {chunked + "4", " "},
		"trailers":           {chunked + "0\r\n", "X-Fill: 0123456789\r\n"},
		"head that trickles": {head + "X-Fill: ", ""},
		"body that trickles": {head + "Content-Length: 999\r\n\r\n", ""},
	} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			c, err := net.Dial("tcp", address)
			must.NoError(t, err)
			defer c.Close()
			go func() { _, _ = io.Copy(io.Discard, c) }()
			_, _ = io.WriteString(c, r.begin)
			_ = c.SetWriteDeadline(time.Now().Add(30 * time.Second))
			block := strings.Repeat(r.repeat, 4096/max(1, len(r.repeat)))
			start := time.Now()
			for err == nil {
				if block == "" {
					time.Sleep(50 * time.Millisecond)
					_, err = io.WriteString(c, "x")
				} else {
					_, err = io.WriteString(c, block)
				}
			}
			n, ok := read.BytesFrom(c.LocalAddr().String())
			must.True(t, ok)
			must.Less(t, 20*time.Second, time.Since(start))
			must.LessEq(t, maxBytesRead, n)
		})
	}
}
