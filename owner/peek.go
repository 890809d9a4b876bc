package owner

import (
	"bytes"
	"io"

	"marjoramshore.example/core"
)

// fingerprintBodyBytes is the length of the start of the body that a request's
// fingerprint covers. It tells apart requests with the same key, method and
// path.
const fingerprintBodyBytes = 512

// peekBody returns the start of the request's body without consuming it. It
// waits for the caller to send up to fingerprintBodyBytes; nothing has been sent
// to the backend server at that point.
func peekBody(req *core.Request) ([]byte, error) {
	if req.Length == 0 || req.Body == nil || req.Body == core.NoBody {
		return nil, nil
	}
	buf := make([]byte, fingerprintBodyBytes)
	n, err := io.ReadFull(req.Body, buf)
	buf = buf[:n]
	if err != nil && err != io.EOF && err != io.ErrUnexpectedEOF {
		return nil, core.Wrap(core.CodeCanceledNotRun, err, "reading the request body failed before the request was sent")
	}
	var rest io.Reader = bytes.NewReader(buf)
	if err == nil {
		rest = io.MultiReader(rest, req.Body)
	}
	req.Body = prefixedBody{Reader: rest, Closer: req.Body}
	return buf, nil
}

// prefixedBody is a body whose start has been read and is read again first.
type prefixedBody struct {
	io.Reader
	io.Closer
}
