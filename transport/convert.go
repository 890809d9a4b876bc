package transport

import (
	"math"
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/transport/peerv1"
)

// maxDeadline bounds what a peer may ask for; a larger number is malformed.
const maxDeadline = 24 * time.Hour

func encodeRequest(req *core.Request) *peerv1.RequestHead {
	h := &peerv1.RequestHead{
		Id: req.ID, Service: string(req.Service), Key: req.Key,
		Customer: string(req.Customer), Kind: uint32(req.Kind),
		Idempotent: req.Idempotent, IdempotencyKey: req.IdempotencyKey,
		Attempt: uint32(max(0, req.Attempt)), Method: req.Method, Path: req.Path,
		Header: encodeFields(req.Header), Length: req.Length,
	}
	if !req.IssuedAt.IsZero() {
		h.IssuedAtUnixMs = req.IssuedAt.UnixMilli()
	}
	if !req.Deadline.IsZero() {
		// Zero means none, so a deadline that just passed is sent as 1 ms.
		h.DeadlineInMs = max(1, time.Until(req.Deadline).Milliseconds())
	}
	return h
}

// decodeRequest checks what the decision modules rely on. A peer of the same
// fleet sends nothing else, so a violation is a fault and not a caller's error.
func decodeRequest(h *peerv1.RequestHead) (*core.Request, error) {
	switch {
	case h.GetService() == "" || h.GetKey() == "" || h.GetMethod() == "" || h.GetPath() == "":
		return nil, core.Fail(core.CodeInvalid, "request head: empty field")
	case h.GetKind() > uint32(core.KindLong):
		return nil, core.Fail(core.CodeInvalid, "request head: unknown kind")
	case h.GetLength() < core.UnknownLength:
		return nil, core.Fail(core.CodeInvalid, "request head: bad length")
	case h.GetDeadlineInMs() < 0 || h.GetDeadlineInMs() > maxDeadline.Milliseconds():
		return nil, core.Fail(core.CodeInvalid, "request head: bad deadline")
	case h.GetAttempt() > math.MaxInt32:
		return nil, core.Fail(core.CodeInvalid, "request head: bad attempt")
	}
	req := &core.Request{
		ID: h.GetId(), Service: core.Service(h.GetService()), Key: h.GetKey(),
		Customer: core.Customer(h.GetCustomer()), Kind: core.WorkKind(h.GetKind()),
		Idempotent: h.GetIdempotent(), IdempotencyKey: h.GetIdempotencyKey(),
		Attempt: int(h.GetAttempt()), Method: h.GetMethod(), Path: h.GetPath(),
		Header: decodeFields(h.GetHeader()), Length: h.GetLength(),
	}
	if ms := h.GetIssuedAtUnixMs(); ms != 0 {
		req.IssuedAt = time.UnixMilli(ms)
	}
	if ms := h.GetDeadlineInMs(); ms > 0 {
		req.Deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	return req, nil
}

func encodeResponse(resp *core.Response) *peerv1.ResponseHead {
	return &peerv1.ResponseHead{
		Status: uint32(resp.Status), Header: encodeFields(resp.Header),
		Length: resp.Length, Owner: resp.OwnerCallerAddress,
	}
}

func decodeResponse(h *peerv1.ResponseHead) (*core.Response, error) {
	if h.GetStatus() < 200 || h.GetStatus() > 999 || h.GetLength() < core.UnknownLength {
		return nil, core.Fail(core.CodeUnknown, "response head: bad status or length")
	}
	return &core.Response{
		Status: int(h.GetStatus()), Header: decodeFields(h.GetHeader()),
		Length: h.GetLength(), OwnerCallerAddress: h.GetOwner(),
	}, nil
}

func encodeFailure(err error) *peerv1.Failure {
	e := core.AsError(err)
	return &peerv1.Failure{
		Code: uint32(e.Code), Detail: e.Detail,
		RetryAfterMs: e.RetryAfter.Milliseconds(), Owner: e.OwnerPeerAddress,
	}
}

// decodeFailure restores the error of the far side. A code that this build does
// not know proves nothing, so it becomes CodeUnknown.
func decodeFailure(f *peerv1.Failure) *core.Error {
	code := core.Code(min(f.GetCode(), math.MaxUint8))
	if code == 0 || code > core.CodeTooLarge {
		code = core.CodeUnknown
	}
	retry := min(max(0, f.GetRetryAfterMs()), maxDeadline.Milliseconds())
	return &core.Error{
		Code: code, Detail: f.GetDetail(), OwnerPeerAddress: f.GetOwner(),
		RetryAfter: time.Duration(retry) * time.Millisecond,
	}
}

func encodeFields(fields []core.Field) []*peerv1.Field {
	if len(fields) == 0 {
		return nil
	}
	// One backing array instead of one allocation for each field.
	store := make([]peerv1.Field, len(fields))
	out := make([]*peerv1.Field, len(fields))
	for i, f := range fields {
		store[i].Name, store[i].Value = f.Name, f.Value
		out[i] = &store[i]
	}
	return out
}

func decodeFields(fields []*peerv1.Field) []core.Field {
	out := make([]core.Field, len(fields))
	for i, f := range fields {
		out[i] = core.Field{Name: f.GetName(), Value: f.GetValue()}
	}
	return out
}
