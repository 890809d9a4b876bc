package transport

import (
	"io"
	"net"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/net/http2"
	"marjoramshore.example/core"
)

// rawPeer speaks HTTP/2 frames and answers the first data frame with reply.
func rawPeer(t *testing.T, reply func(fr *http2.Framer, stream uint32)) string {
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
			go serveRaw(c, reply)
		}
	}()
	return ln.Addr().String()
}

func serveRaw(c net.Conn, reply func(fr *http2.Framer, stream uint32)) {
	defer c.Close()
	if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	fr := http2.NewFramer(c, c)
	_ = fr.WriteSettings()
	for {
		f, err := fr.ReadFrame()
		if err != nil {
			return
		}
		switch f := f.(type) {
		case *http2.SettingsFrame:
			if !f.IsAck() {
				_ = fr.WriteSettingsAck()
			}
		case *http2.DataFrame:
			reply(fr, f.StreamID)
		}
	}
}

// Guards against an unknown outcome where HTTP/2 guarantees that the peer did
// not process the stream, and against taking any other reset for such a
// guarantee. It also pins the texts of net/http that the code relies on.
func TestUnprocessedStreams(t *testing.T) {
	c, err := NewClient(ClientConfig{Auth: newAuth(t, testKey)})
	must.NoError(t, err)
	for name, tc := range map[string]struct {
		reply func(*http2.Framer, uint32)
		want  core.Code
	}{
		"refused": {func(fr *http2.Framer, id uint32) { _ = fr.WriteRSTStream(id, http2.ErrCodeRefusedStream) }, core.CodePeerUnreachable},
		"goaway": {func(fr *http2.Framer, id uint32) {
			_ = fr.WriteGoAway(0, http2.ErrCodeNo, nil)
		}, core.CodePeerUnreachable},
		"goaway after it": {func(fr *http2.Framer, id uint32) {
			_ = fr.WriteGoAway(id, http2.ErrCodeNo, nil)
			_ = fr.WriteRSTStream(id, http2.ErrCodeInternal)
		}, core.CodeUnknown},
		"canceled": {func(fr *http2.Framer, id uint32) { _ = fr.WriteRSTStream(id, http2.ErrCodeCancel) }, core.CodeUnknown},
		"no error": {func(fr *http2.Framer, id uint32) { _ = fr.WriteRSTStream(id, http2.ErrCodeNo) }, core.CodeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := c.Exchange(t.Context(), rawPeer(t, tc.reply), newRequest("POST", "pay"))
			must.Eq(t, tc.want, core.CodeOf(err), must.Sprint(err))
		})
	}
}
