package transport

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"marjoramshore.example/core"
	"marjoramshore.example/transport/peerv1"
)

func mustMarshal(f *testing.F, m proto.Message) []byte {
	b, err := proto.Marshal(m)
	must.NoError(f, err)
	return b
}

// FuzzHead guards against a decoded head that violates the invariants that
// later stages rely on.
func FuzzHead(f *testing.F) {
	f.Add(mustMarshal(f, &peerv1.ExchangeFrame{Head: &peerv1.ExchangeFrame_Request{Request: encodeRequest(newRequest("GET", "x"))}}))
	f.Add(mustMarshal(f, &peerv1.ExchangeFrame{Head: &peerv1.ExchangeFrame_Response{Response: &peerv1.ResponseHead{Status: 200, Length: -1}}}))
	f.Add(mustMarshal(f, &peerv1.ExchangeFrame{Head: &peerv1.ExchangeFrame_Failure{Failure: &peerv1.Failure{Code: 300, RetryAfterMs: -1}}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		var frame peerv1.ExchangeFrame
		if proto.Unmarshal(b, &frame) != nil {
			return
		}
		if req, err := decodeRequest(frame.GetRequest()); err == nil {
			must.True(t, req.Service != "" && req.Key != "" && req.Method != "" && req.Path != "")
			must.True(t, req.Length >= core.UnknownLength && req.Attempt >= 0 && req.Kind <= core.KindLong)
			must.True(t, req.Deadline.IsZero() || time.Until(req.Deadline) <= maxWireDuration)
		} else {
			must.Eq(t, core.CodeInvalid, core.CodeOf(err))
		}
		if resp, err := decodeResponse(frame.GetResponse()); err == nil {
			must.True(t, resp.Status >= 200 && resp.Length >= core.UnknownLength)
		}
		e := decodeFailure(frame.GetFailure())
		must.True(t, e.Code >= core.CodeInvalid && e.Code <= core.CodeTooLarge && e.RetryAfter >= 0)
	})
}

// FuzzFrames guards against a truncated stream that is read as a whole body.
// The input is a script of frames: the low seven bits of a byte are the size of
// the data, the top bit is the end flag, and zero is a second head.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{1, 2, 0x83}, int64(6))
	f.Add([]byte{5, 0}, int64(-1))
	f.Add([]byte{5}, int64(5))
	f.Add([]byte{0x80, 7}, int64(0))
	f.Fuzz(func(t *testing.T, script []byte, length int64) {
		length = max(length, core.UnknownLength)
		sent, ended := int64(0), false
		next := 0
		r := newFrameReader(&peerv1.ExchangeFrame{}, length, func() (*peerv1.ExchangeFrame, error) {
			if next == len(script) {
				return nil, io.EOF
			}
			b := script[next]
			next++
			if b == 0 {
				return &peerv1.ExchangeFrame{Head: &peerv1.ExchangeFrame_Failure{}}, nil
			}
			sent += int64(b & 0x7f)
			ended = b&0x80 != 0
			return &peerv1.ExchangeFrame{Data: bytes.Repeat([]byte{'x'}, int(b&0x7f)), End: ended}, nil
		})
		got, err := io.ReadAll(r)
		if err == nil {
			must.True(t, ended && int64(len(got)) == sent && (length < 0 || sent == length))
			return
		}
		var truncated *TruncatedError
		must.True(t, errors.As(err, &truncated))
	})
}
