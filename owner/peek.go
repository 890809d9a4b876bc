package owner

import (
	"bytes"
	"io"

	"marjoramshore.example/core"
)

// peekSize is how much of a body tells requests apart that have the same key,
// method and path.
const peekSize = 512

// peek returns the start of the request's body and leaves it in place. It
// waits for the caller to send that much; nothing has reached the backend
// server yet.
func peek(req *core.Request) ([]byte, error) {
	if req.Length == 0 || req.Body == nil || req.Body == core.NoBody {
		return nil, nil
	}
	buf := make([]byte, peekSize)
	n, err := io.ReadFull(req.Body, buf)
	buf = buf[:n]
	if err != nil && err != io.EOF && err != io.ErrUnexpectedEOF {
		return nil, core.Wrap(core.CodeCanceledNotRun, err, "request body cut before it was sent")
	}
	var rest io.Reader = bytes.NewReader(buf)
	if err == nil {
		rest = io.MultiReader(rest, req.Body)
	}
	req.Body = prefixed{Reader: rest, Closer: req.Body}
	return buf, nil
}

// prefixed is a body whose start was read already.
type prefixed struct {
	io.Reader
	io.Closer
}
