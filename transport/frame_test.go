package transport

import (
	"errors"
	"io"
	"testing"

	"github.com/shoenig/test/must"
	"marjoramshore.example/core"
	"marjoramshore.example/transport/peerv1"
)

// Guards against a read of a body that does not return while a peer sends frames
// without data.
func TestEmptyFramesEndTheBody(t *testing.T) {
	const limit = 1000
	received := 0
	r := newFrameReader(&peerv1.ExchangeFrame{}, core.UnknownLength, func() (*peerv1.ExchangeFrame, error) {
		if received++; received > limit {
			return nil, io.ErrUnexpectedEOF
		}
		return &peerv1.ExchangeFrame{}, nil
	})
	_, err := io.ReadAll(r)
	var truncated *TruncatedError
	must.True(t, errors.As(err, &truncated), must.Sprint(err))
	must.Less(t, limit, received)
}
