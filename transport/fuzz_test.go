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

func marshal(f *testing.F, m proto.Message) []byte {
	b, err := proto.Marshal(m)
	must.NoError(f, err)
	return b
}

// FuzzHead guards against heads that break what later stages rely on.
func FuzzHead(f *testing.F) {
	f.Add(marshal(f, &peerv1.ExchangeFrame{Head: &peerv1.ExchangeFrame_Request{Request: encodeRequest(newRequest("GET", "x"))}}))
	f.Add(marshal(f, &peerv1.ExchangeFrame{Head: &peerv1.ExchangeFrame_Response{Response: &peerv1.ResponseHead{Status: 200, Length: -1}}}))
	f.Add(marshal(f, &peerv1.ExchangeFrame{Head: &peerv1.ExchangeFrame_Failure{Failure: &peerv1.Failure{Code: 300, RetryAfterMs: -1}}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		var frame peerv1.ExchangeFrame
		if proto.Unmarshal(b, &frame) != nil {
			return
		}
		if req, err := decodeRequest(frame.GetRequest()); err == nil {
			must.True(t, req.Service != "" && req.Key != "" && req.Method != "" && req.Path != "")
			must.True(t, req.Length >= core.UnknownLength && req.Attempt >= 0 && req.Kind <= core.KindLong)
			must.True(t, req.Deadline.IsZero() || time.Until(req.Deadline) <= maxDeadline)
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

// FuzzFrames guards against a cut stream that reads as whole. The input is a
// script: each byte is a frame of that many bytes, with the end flag in the
// top bit; zero is a second head.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{1, 2, 0x83}, int64(6))
	f.Add([]byte{5, 0}, int64(-1))
	f.Add([]byte{5}, int64(5))
	f.Add([]byte{0x80, 7}, int64(0))
	f.Fuzz(func(t *testing.T, script []byte, length int64) {
		length = max(length, core.UnknownLength)
		total, ended := int64(0), false
		i := 0
		r := newFrameReader(&peerv1.ExchangeFrame{}, length, func() (*peerv1.ExchangeFrame, error) {
			if i == len(script) {
				return nil, io.EOF
			}
			b := script[i]
			i++
			if b == 0 {
				return &peerv1.ExchangeFrame{Head: &peerv1.ExchangeFrame_Failure{}}, nil
			}
			total += int64(b & 0x7f)
			ended = b&0x80 != 0
			return &peerv1.ExchangeFrame{Data: bytes.Repeat([]byte{'x'}, int(b&0x7f)), End: ended}, nil
		})
		got, err := io.ReadAll(r)
		if err == nil {
			must.True(t, ended && int64(len(got)) == total && (length < 0 || total == length))
			return
		}
		var cut *CutError
		must.True(t, errors.As(err, &cut))
	})
}
