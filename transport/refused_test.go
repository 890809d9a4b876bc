package transport

import (
	"io"
	"net"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/net/http2"
	"marjoramshore.example/core"
)

// startRawHTTP2Peer starts a server that reads HTTP/2 frames and calls reply
// for each DATA frame. It returns its address.
func startRawHTTP2Peer(t *testing.T, reply func(framer *http2.Framer, stream uint32)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveRawHTTP2(c, reply)
		}
	}()
	return ln.Addr().String()
}

// serveRawHTTP2 serves one connection of startRawHTTP2Peer.
func serveRawHTTP2(c net.Conn, reply func(fr *http2.Framer, stream uint32)) {
	defer c.Close()
	if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	framer := http2.NewFramer(c, c)
	_ = framer.WriteSettings()
	for {
		f, err := framer.ReadFrame()
		if err != nil {
			return
		}
		switch f := f.(type) {
		case *http2.SettingsFrame:
			if !f.IsAck() {
				_ = framer.WriteSettingsAck()
			}
		case *http2.DataFrame:
			reply(framer, f.StreamID)
		}
	}
}

// Guards against reporting an unknown outcome where HTTP/2 guarantees that the
// peer did not process the stream, and against reading that guarantee into any
// other reset. It fails if the error texts of net/http that isUnprocessed
// matches change.
func TestIsUnprocessed(t *testing.T) {
	c, err := NewClient(ClientConfig{Auth: newTestAuth(t, testKey)})
	must.NoError(t, err)
	for name, tc := range map[string]struct {
		reply func(*http2.Framer, uint32)
		want  core.Code
	}{
		"refused stream": {func(fr *http2.Framer, id uint32) { _ = fr.WriteRSTStream(id, http2.ErrCodeRefusedStream) }, core.CodePeerUnreachable},
		"goaway excluding the stream": {func(fr *http2.Framer, id uint32) {
			_ = fr.WriteGoAway(0, http2.ErrCodeNo, nil)
		}, core.CodePeerUnreachable},
		"goaway including the stream": {func(fr *http2.Framer, id uint32) {
			_ = fr.WriteGoAway(id, http2.ErrCodeNo, nil)
			_ = fr.WriteRSTStream(id, http2.ErrCodeInternal)
		}, core.CodeUnknown},
		"reset with cancel":   {func(fr *http2.Framer, id uint32) { _ = fr.WriteRSTStream(id, http2.ErrCodeCancel) }, core.CodeUnknown},
		"reset without error": {func(fr *http2.Framer, id uint32) { _ = fr.WriteRSTStream(id, http2.ErrCodeNo) }, core.CodeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := c.Exchange(t.Context(), startRawHTTP2Peer(t, tc.reply), newRequest("POST", "pay"))
			must.Eq(t, tc.want, core.CodeOf(err), must.Sprint(err))
		})
	}
}
