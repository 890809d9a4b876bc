package gate

import (
	"io"
	"net/http"
	"strconv"

	"marjoramshore.example/core"
)

// HeadTooLargeError reports that the head of a response, together with those
// before it, exceeds Config.MaxHeaderBytes.
type HeadTooLargeError struct{}

func (*HeadTooLargeError) Error() string { return "response heads exceed the configured limit" }

// StrayResponseError reports a response after which the response to the request
// cannot be found on the connection.
type StrayResponseError struct{ Status int }

func (e *StrayResponseError) Error() string {
	return "response with status " + strconv.Itoa(e.Status) + " cannot be attributed to the request"
}

// maxDiscardedBody bounds in bytes the bodies of responses to other requests
// that are read to reach the response. 256 KiB takes milliseconds on a local
// link.
const maxDiscardedBody = 256 << 10

// readHead reads the head of the response. It skips interim responses and
// responses to other requests.
func (x *exchange) readHead() (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(x.conn.br, x.httpReq)
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, core.Fail(core.CodeUnknown, "backend server switched protocols")
		case resp.StatusCode < 200:
			continue
		}
		attribution := x.attribution(resp)
		if attribution == Own {
			return resp, nil
		}
		x.gate.counts.strayResponses.Add(1)
		if attribution == Unattributable {
			return nil, &StrayResponseError{resp.StatusCode}
		}
		if err := x.discardResponse(resp); err != nil {
			return nil, err
		}
	}
}

// discardResponse reads and drops a response to another request.
func (x *exchange) discardResponse(resp *http.Response) error {
	x.conn.headBytesLeft = -1
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardedBody+1))
	switch {
	case err != nil:
		return err
	case n > maxDiscardedBody || resp.Close:
		return &StrayResponseError{resp.StatusCode}
	}
	x.conn.headBytesLeft = x.gate.cfg.MaxHeaderBytes
	return nil
}

// attribution says to which request a response on the connection belongs. It
// never returns Unmarked.
func (x *exchange) attribution(resp *http.Response) Attribution {
	a := x.gate.cfg.Dialect.Attribute(x.req, x.httpReq.Header, resp.StatusCode, resp.Header)
	switch {
	case a != Unmarked:
		return a
	case x.conn.reused:
		return Unattributable
	}
	x.unmarked = true
	return Own
}
