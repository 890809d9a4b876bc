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

// maxAnswer leaves room for a value of the largest size in base64.
const maxAnswer = store.MaxValueBytes/3*4 + 4096

// call is one request of the protocol.
type call struct {
	method, path, key string
	query             url.Values
	body              []byte
	write             bool
	ifVersion         uint64
	limit             int64         // of the answer, default maxAnswer
	extra             time.Duration // added to the timeout
	out               any
}

func (c *Client) do(ctx context.Context, in call) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout+in.extra)
	defer cancel()
	req, err := c.request(ctx, in)
	if err != nil {
		return &store.Error{Kind: store.KindInvalid, Key: in.key, Cause: eris.Wrap(err, "build request")}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return in.unavailable(in.write && !neverConnected(err), err)
	}
	defer resp.Body.Close()
	limit := max(in.limit, maxAnswer)
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	switch {
	case err != nil:
		return in.unavailable(in.write, err)
	case int64(len(data)) > limit:
		return &store.Error{Kind: store.KindTooLarge, Key: in.key, MayHaveApplied: in.write}
	case resp.StatusCode == http.StatusNoContent:
		return nil
	case resp.StatusCode != http.StatusOK:
		return in.refusal(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, in.out); err != nil {
		return in.unavailable(in.write, err)
	}
	return nil
}

func (c *Client) request(ctx context.Context, in call) (*http.Request, error) {
	target := c.cfg.BaseURL + in.path + "?" + in.query.Encode()
	req, err := http.NewRequestWithContext(ctx, in.method, target, bytes.NewReader(in.body))
	if err != nil {
		return nil, err
	}
	if in.write && in.ifVersion == 0 {
		req.Header.Set("If-None-Match", "*")
	} else if in.write {
		req.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(in.ifVersion, 10)))
	}
	return req, nil
}

func (in call) unavailable(mayHaveApplied bool, err error) error {
	return &store.Error{
		Kind: store.KindUnavailable, Key: in.key,
		MayHaveApplied: mayHaveApplied, Cause: eris.Wrap(err, "store call"),
	}
}

var kindOf = map[int]store.Kind{
	http.StatusNotFound:              store.KindNotFound,
	http.StatusPreconditionFailed:    store.KindConflict,
	http.StatusRequestEntityTooLarge: store.KindTooLarge,
	http.StatusBadRequest:            store.KindInvalid,
}

// refusal maps a status. Only 503 states that the call had no effect; any
// other status outside the protocol leaves a write in doubt.
func (in call) refusal(status int, data []byte) error {
	kind, known := kindOf[status]
	if !known {
		return &store.Error{
			Kind: store.KindUnavailable, Key: in.key,
			MayHaveApplied: in.write && status != http.StatusServiceUnavailable,
			Cause:          &StatusError{Status: status},
		}
	}
	var body struct {
		Current uint64 `json:"current"`
	}
	// An answer without the current version is still a refusal.
	_ = json.Unmarshal(data, &body)
	return &store.Error{Kind: kind, Key: in.key, Current: body.Current}
}

// StatusError is the cause of a failure with an unexpected HTTP status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "http status " + strconv.Itoa(e.Status) }

// neverConnected reports whether no byte of the request can have been sent.
func neverConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
