package transport

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/protobuf/proto"
	"marjoramshore.example/core"
	"marjoramshore.example/transport/peerv1"
)

// firstStream is the ID of the first stream of a connection.
const firstStream = 1

// startCutPeer runs a peer that answers the first request of each connection with
// the bytes that answer returns. It then closes the connection, or leaves it open
// until the client closes it.
func startCutPeer(t *testing.T, closes bool, answer func() []byte) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveCut(c.(*net.TCPConn), closes, answer)
		}
	}()
	return ln.Addr().String()
}

// serveCut serves one connection of startCutPeer.
func serveCut(c *net.TCPConn, closes bool, answer func() []byte) {
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	framer := http2.NewFramer(c, c)
	_ = framer.WriteSettings()
	for answered := false; ; {
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
			if !f.StreamEnded() || answered {
				continue
			}
			answered = true
			_, _ = c.Write(answer())
			if closes {
				// The rest is read, so that the answer arrives before the end.
				_ = c.CloseWrite()
			}
		}
	}
}

// encodedHead returns the header block of a response.
func encodedHead(t *testing.T, contentType string) []byte {
	var block bytes.Buffer
	enc := hpack.NewEncoder(&block)
	for _, f := range []hpack.HeaderField{{Name: ":status", Value: "200"}, {Name: "content-type", Value: contentType}} {
		must.NoError(t, enc.WriteField(f))
	}
	return block.Bytes()
}

// envelope returns a message of a stream.
func envelope(flags byte, message []byte) []byte {
	out := binary.BigEndian.AppendUint32([]byte{flags}, uint32(len(message)))
	return append(out, message...)
}

func mustEncode(t *testing.T, m proto.Message) []byte {
	data, err := proto.Marshal(m)
	must.NoError(t, err)
	return data
}

// cutAnswer is an answer as HTTP/2 frames. An answer that is cut before wholeFrom
// lacks a part of its head or body.
type cutAnswer struct {
	frames    []byte
	wholeFrom int
}

// newCutAnswer returns an answer with its header block in two frames, and data in
// one, which ends the stream if trailer is empty.
func newCutAnswer(t *testing.T, contentType string, data, trailer []byte) cutAnswer {
	var out bytes.Buffer
	framer := http2.NewFramer(&out, nil)
	block := encodedHead(t, contentType)
	must.NoError(t, framer.WriteHeaders(http2.HeadersFrameParam{StreamID: firstStream, BlockFragment: block[:len(block)/2]}))
	must.NoError(t, framer.WriteContinuation(firstStream, true, block[len(block)/2:]))
	must.NoError(t, framer.WriteData(firstStream, len(trailer) == 0, data))
	wholeFrom := out.Len()
	if len(trailer) > 0 {
		must.NoError(t, framer.WriteData(firstStream, true, trailer))
	}
	return cutAnswer{out.Bytes(), wholeFrom}
}

// exchangeBody sends an exchange and reads its response.
func exchangeBody(ctx context.Context, c *Client, address string) (string, error) {
	resp, err := c.Exchange(ctx, address, newRequest("POST", "body"))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// callReply sends a call and returns its reply.
func callReply(ctx context.Context, c *Client, address string) (string, error) {
	reply, err := c.Call(ctx, address, "m", []byte("body"))
	return string(reply), err
}

// Guards against a response of a peer that breaks off at any byte, in its head or
// body, and counts as whole or as the statement that the request did not run.
func TestResponseCutAtEachByte(t *testing.T) {
	response := func(kind string) []byte {
		frame := &peerv1.ExchangeFrame{Head: &peerv1.ExchangeFrame_Response{Response: encodeResponse(newResponse(200, 12, ""))}, Data: []byte("hello, world"), End: true}
		if kind == "refusal" {
			frame = &peerv1.ExchangeFrame{Head: &peerv1.ExchangeFrame_Failure{Failure: encodeFailure(core.Fail(core.CodeQueueFull, "full"))}}
		}
		return envelope(0, mustEncode(t, frame))
	}
	const endStream = 2 // flag of the last message of a stream
	for kind, send := range map[string]func(context.Context, *Client, string) (string, error){
		"response": exchangeBody, "refusal": exchangeBody, "reply": callReply,
	} {
		t.Run(kind, func(t *testing.T) {
			whole := newCutAnswer(t, "application/connect+proto", response(kind), envelope(endStream, []byte("{}")))
			if kind == "reply" {
				whole = newCutAnswer(t, "application/proto", mustEncode(t, &peerv1.CallResponse{Payload: []byte("hello, world")}), nil)
			}
			cut := len(whole.frames)
			address := startCutPeer(t, true, func() []byte { return whole.frames[:cut] })
			for ; cut >= 0; cut-- {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				body, err := send(ctx, newTestClient(t), address)
				cancel()
				switch {
				case cut == len(whole.frames) && kind == "refusal":
					must.Eq(t, core.CodeQueueFull, core.CodeOf(err))
				case cut == len(whole.frames):
					must.NoError(t, err)
					must.Eq(t, "hello, world", body)
				case cut < whole.wholeFrom:
					must.Error(t, err, must.Sprint(cut))
					must.False(t, core.CodeOf(err).NotRun(), must.Sprint(cut))
				}
			}
		})
	}
}

// Guards against a response whose head or body has no end, on a connection that
// stays open, and that counts as whole or holds up the caller past its deadline.
func TestResponseThatStopsOnOpenConnection(t *testing.T) {
	frames := func(write func(framer *http2.Framer)) []byte {
		var out bytes.Buffer
		write(http2.NewFramer(&out, nil))
		return out.Bytes()
	}
	stream, unary := encodedHead(t, "application/connect+proto"), encodedHead(t, "application/proto")
	reply := mustEncode(t, &peerv1.CallResponse{Payload: []byte("hello")})
	for name, tc := range map[string]struct {
		send   func(context.Context, *Client, string) (string, error)
		answer []byte
	}{
		"exchange, head without END_HEADERS": {exchangeBody, frames(func(fr *http2.Framer) {
			_ = fr.WriteHeaders(http2.HeadersFrameParam{StreamID: firstStream, BlockFragment: stream, EndStream: true})
		})},
		"exchange, head without END_STREAM": {exchangeBody, frames(func(fr *http2.Framer) {
			_ = fr.WriteHeaders(http2.HeadersFrameParam{StreamID: firstStream, BlockFragment: stream, EndHeaders: true})
		})},
		"call, head without END_HEADERS": {callReply, frames(func(fr *http2.Framer) {
			_ = fr.WriteHeaders(http2.HeadersFrameParam{StreamID: firstStream, BlockFragment: unary, EndStream: true})
		})},
		"call, data inside the head": {callReply, frames(func(fr *http2.Framer) {
			_ = fr.WriteHeaders(http2.HeadersFrameParam{StreamID: firstStream, BlockFragment: unary})
			_ = fr.WriteData(firstStream, true, reply)
		})},
		"call, body without END_STREAM": {callReply, frames(func(fr *http2.Framer) {
			_ = fr.WriteHeaders(http2.HeadersFrameParam{StreamID: firstStream, BlockFragment: unary, EndHeaders: true})
			_ = fr.WriteData(firstStream, false, reply)
		})},
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			address := startCutPeer(t, false, func() []byte { return tc.answer })
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			start := time.Now()
			_, err := tc.send(ctx, newTestClient(t), address)
			must.Error(t, err)
			must.Less(t, 10*time.Second, time.Since(start))
		})
	}
}
