package gate

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"marjoramshore.example/core"
)

// HeadTooLargeError reports that the head of a response, together with those
// before it, exceeds Config.MaxHeaderBytes.
type HeadTooLargeError struct{}

func (*HeadTooLargeError) Error() string { return "response heads exceed the configured limit" }

// MalformedResponseError reports bytes that are no response of HTTP/1.
type MalformedResponseError struct{}

func (*MalformedResponseError) Error() string { return "malformed response head" }

// StrayResponseError reports a response after which the response to the request
// cannot be found on the connection.
type StrayResponseError struct{ Status int }

func (e *StrayResponseError) Error() string {
	return "response with status " + strconv.Itoa(e.Status) + " cannot be attributed to the request"
}

// maxDiscardedBody bounds in bytes the bodies of responses to other requests
// that an exchange reads to reach the response. 256 KiB takes milliseconds on a local
// link.
const maxDiscardedBody = 256 << 10

// readHead reads the head of the response. It skips interim responses and
// responses to other requests.
func (x *exchange) readHead() (*http.Response, error) {
	for {
		if err := x.checkProtocol(); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(x.conn.br, x.httpReq)
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode < 100 || resp.StatusCode > 599 || containsHead(resp):
			return nil, &MalformedResponseError{}
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

// protocolPrefix begins every response.
const protocolPrefix = "HTTP/1."

// checkProtocol reads until it is known whether a response begins. Bytes that are
// no response are not read on, as they may have no end.
func (x *exchange) checkProtocol() error {
	for n := 1; n <= len(protocolPrefix); n++ {
		b, err := x.conn.br.Peek(n)
		if err != nil {
			return err
		}
		if b[n-1] != protocolPrefix[n-1] {
			return &MalformedResponseError{}
		}
	}
	return nil
}

// statusLineLength is the length of a status line without the reason.
const statusLineLength = len("HTTP/1.1 200")

// containsHead reports whether a line of the head of resp contains the start of
// another head, because the server broke off a response and went on with the next.
func containsHead(resp *http.Response) bool {
	if containsStatusLine(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, containsStatusLine) {
			return true
		}
	}
	return false
}

func containsStatusLine(s string) bool {
	for {
		i := strings.Index(s, protocolPrefix)
		if i < 0 || len(s)-i < statusLineLength {
			return false
		}
		if _, err := strconv.ParseUint(s[i+statusLineLength-3:i+statusLineLength], 10, 16); err == nil && s[i+statusLineLength-4] == ' ' {
			return true
		}
		s = s[i+len(protocolPrefix):]
	}
}

// discardResponse reads and drops a response to another request. All of them in
// an exchange share the limits, so that they cannot follow each other without end.
func (x *exchange) discardResponse(resp *http.Response) error {
	if resp.Close {
		return &StrayResponseError{resp.StatusCode} // no other response follows
	}
	headBytesLeft := x.conn.headBytesLeft
	x.conn.headBytesLeft = -1
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, x.discardLeft+1))
	x.conn.headBytesLeft = headBytesLeft
	if x.discardLeft -= n; err == nil && x.discardLeft < 0 {
		err = &StrayResponseError{resp.StatusCode}
	}
	return err
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
