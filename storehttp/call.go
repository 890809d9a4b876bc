package storehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"marjoramshore.example/store"
)

// maxResponseBytes has room for a value of the largest size in base64, and for
// the rest of the JSON message.
const maxResponseBytes = store.MaxValueBytes/3*4 + 4096

// operation is one request of the protocol.
type operation struct {
	method, path, key string
	query             url.Values
	body              []byte
	isWrite           bool
	ifVersion         uint64
	maxBytes          int64         // of the response, if above maxResponseBytes
	extraTimeout      time.Duration // added to Config.Timeout
	result            any           // JSON target of the response
	// isAnswer reports whether result is an answer to the operation. It may be
	// nil if result is.
	isAnswer func() bool
	// mayBeEmpty allows status 204.
	mayBeEmpty bool
}

// do sends op and decodes the response into op.result. Every error is a
// *store.Error.
func (c *Client) do(ctx context.Context, op operation) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout+op.extraTimeout)
	defer cancel()
	req, err := c.newRequest(ctx, op)
	if err != nil {
		return &store.Error{Kind: store.KindInvalid, Key: op.key, Cause: eris.Wrap(err, "build store request")}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return op.unavailableError(op.isWrite && !isDialError(err), err)
	}
	defer resp.Body.Close()
	maxBytes := max(op.maxBytes, maxResponseBytes)
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	switch {
	case err != nil:
		return op.unavailableError(op.isWrite, err)
	case int64(len(data)) > maxBytes:
		return &store.Error{Kind: store.KindTooLarge, Key: op.key, MayHaveApplied: op.isWrite}
	case resp.StatusCode == http.StatusNoContent && op.mayBeEmpty:
		return nil
	case resp.StatusCode != http.StatusOK || op.result == nil:
		return op.statusError(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, op.result); err != nil {
		return op.unavailableError(op.isWrite, err)
	}
	if !op.isAnswer() {
		return op.unavailableError(op.isWrite, &OtherAnswerError{})
	}
	return nil
}

// OtherAnswerError is the cause of a failure because of a response that is no
// answer to the operation.
type OtherAnswerError struct{}

// Error implements error.
func (*OtherAnswerError) Error() string { return "response is no answer to the operation" }

func (c *Client) newRequest(ctx context.Context, op operation) (*http.Request, error) {
	target := c.cfg.BaseURL + op.path + "?" + op.query.Encode()
	req, err := http.NewRequestWithContext(ctx, op.method, target, bytes.NewReader(op.body))
	if err != nil {
		return nil, err
	}
	// While GetBody is set, net/http may resend a request on its own.
	req.GetBody = nil
	if op.isWrite && op.ifVersion == 0 {
		req.Header.Set("If-None-Match", "*")
	} else if op.isWrite {
		req.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(op.ifVersion, 10)))
	}
	return req, nil
}

func (op operation) unavailableError(mayHaveApplied bool, err error) error {
	return &store.Error{
		Kind: store.KindUnavailable, Key: op.key,
		MayHaveApplied: mayHaveApplied, Cause: eris.Wrap(err, "store call"),
	}
}

var kindOfStatus = map[int]store.Kind{
	http.StatusNotFound:              store.KindNotFound,
	http.StatusPreconditionFailed:    store.KindConflict,
	http.StatusRequestEntityTooLarge: store.KindTooLarge,
	http.StatusBadRequest:            store.KindInvalid,
}

// statusError returns the error for an HTTP status other than success. Of the
// statuses without a kind, only 503 states that the call had no effect. After
// any other, a write may have taken effect.
func (op operation) statusError(status int, data []byte) error {
	kind, ok := kindOfStatus[status]
	if !ok {
		return &store.Error{
			Kind: store.KindUnavailable, Key: op.key,
			MayHaveApplied: op.isWrite && status != http.StatusServiceUnavailable,
			Cause:          &StatusError{Status: status},
		}
	}
	var body struct {
		Current uint64 `json:"current"`
	}
	// The status alone suffices; Current is 0 if the body does not state it.
	_ = json.Unmarshal(data, &body)
	return &store.Error{Kind: kind, Key: op.key, Current: body.Current}
}

// StatusError is the cause of a failure because of an unexpected HTTP status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "unexpected HTTP status " + strconv.Itoa(e.Status) }

// isDialError reports whether the connection could not be set up, so that no
// byte of the request was sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
