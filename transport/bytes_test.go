package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"marjoramshore.example/core"
	"marjoramshore.example/countconn"
	"marjoramshore.example/transport/peerv1/peerv1connect"
)

// startEndlessPeer runs a peer that answers each request with begin and then
// with zero bytes until the stream fails. It returns its address and the number
// of bytes that it sent.
func startEndlessPeer(t *testing.T, contentType, begin string) (string, *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	sent := &atomic.Int64{}
	server := &http.Server{Protocols: peerProtocols(nil), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", contentType)
		_, err := io.WriteString(w, begin)
		for block := make([]byte, 4096); err == nil && r.Context().Err() == nil; {
			var n int
			n, err = w.Write(block)
			sent.Add(int64(n))
		}
	})}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String(), sent
}

func newTestClient(t *testing.T) *Client {
	c, err := NewClient(ClientConfig{Auth: newTestAuth(t, testKey)})
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against a reply or a response of a peer without end that keeps being
// read.
func TestReplyWithoutEnd(t *testing.T) {
	const maxBytesSent = 4 << 20 // the limit of a message and the windows of flow control
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	address, sent := startEndlessPeer(t, "application/proto", "")
	start := time.Now()
	_, err := newTestClient(t).Call(ctx, address, "m", nil)
	must.Error(t, err)
	must.Less(t, 5*time.Second, time.Since(start))
	must.Less(t, maxBytesSent, sent.Load())

	for _, begin := range []string{"", "\x00\xff\xff\xff\xff"} { // empty messages, and one of 4 GB
		address, sent = startEndlessPeer(t, "application/connect+proto", begin)
		start = time.Now()
		_, err = newTestClient(t).Exchange(ctx, address, newRequest("GET", ""))
		must.Error(t, err)
		must.False(t, core.CodeOf(err).NotRun())
		must.Less(t, 5*time.Second, time.Since(start))
		must.Less(t, maxBytesSent, sent.Load())
	}
}

// Guards against header fields of a peer without end that keep being read.
func TestResponseHeadWithoutEnd(t *testing.T) {
	// The limit of a head, the other frames of the connection, and one read buffer.
	const maxBytesRead = maxHeadBytes + 1<<10 + 4<<10
	var field strings.Builder
	enc := hpack.NewEncoder(&field)
	must.NoError(t, enc.WriteField(hpack.HeaderField{Name: ":status", Value: "200"}))
	first := field.String()
	field.Reset()
	must.NoError(t, enc.WriteField(hpack.HeaderField{Name: "x-fill", Value: strings.Repeat("x", 1000), Sensitive: true}))
	closed := make(chan struct{})
	address := startRawHTTP2Peer(t, func(fr *http2.Framer, stream uint32) {
		err := fr.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: []byte(first)})
		for err == nil {
			err = fr.WriteContinuation(stream, false, []byte(field.String()))
		}
		close(closed)
	})
	client := newTestClient(t)
	read := &atomic.Int64{}
	client.transport.DialContext = countconn.Dialer(client.transport.DialContext, read)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	start := time.Now()
	_, err := client.Exchange(ctx, address, newRequest("GET", ""))
	must.Error(t, err)
	must.False(t, core.CodeOf(err).NotRun())
	must.Less(t, 5*time.Second, time.Since(start))
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("connection still open")
	}
	must.LessEq(t, maxBytesRead, read.Load())
}

// Guards against a control message or a message of an exchange without end that
// is handled or keeps being read.
func TestMessageWithoutEnd(t *testing.T) {
	handled := &atomic.Int64{}
	s, _ := newTestPair(t, ServerConfig{
		Handler: core.HandlerFunc(func(ctx context.Context, r *core.Request) (*core.Response, error) {
			handled.Add(1)
			return echo(ctx, r)
		}),
		Calls: map[string]CallFunc{"m": func(context.Context, []byte) ([]byte, error) { handled.Add(1); return nil, nil }},
	})
	client := &http.Client{Transport: &http.Transport{Protocols: peerProtocols(nil)}}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for procedure, message := range map[string]struct{ contentType, begin string }{
		peerv1connect.PeerCallProcedure:     {"application/proto", ""},
		peerv1connect.PeerExchangeProcedure: {"application/connect+proto", "\x00\xff\xff\xff\xff"},
	} {
		body := &countingReader{}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Addr()+procedure, io.MultiReader(strings.NewReader(message.begin), body))
		must.NoError(t, err)
		req.Header.Set("Content-Type", message.contentType)
		req.Header.Set("Authorization", newTestAuth(t, testKey).Sign(procedure, time.Now()))
		start := time.Now()
		resp, err := client.Do(req)
		must.NoError(t, err)
		answer, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		must.StrContains(t, string(answer), `"code"`)
		must.Less(t, 5*time.Second, time.Since(start), must.Sprint(procedure))
		must.Less(t, 4<<20, body.n.Load(), must.Sprint(procedure))
		must.Eq(t, 0, handled.Load())
	}
}

// countingReader reads zero bytes without end and counts them.
type countingReader struct{ n atomic.Int64 }

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	clear(p)
	r.n.Add(int64(len(p)))
	return len(p), nil
}
