package transport

import (
	"math"
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/transport/peerv1"
)

// maxWireDuration limits the durations in a peer's message. A longer deadline
// makes the request malformed; a longer retry time is reduced to it.
const maxWireDuration = 24 * time.Hour

func encodeRequest(req *core.Request) *peerv1.RequestHead {
	head := &peerv1.RequestHead{
		Id: req.ID, Service: string(req.Service), Key: req.Key,
		Customer: string(req.Customer), Kind: uint32(req.Kind),
		Idempotent: req.Idempotent, IdempotencyKey: req.IdempotencyKey,
		Attempt: uint32(max(0, req.Attempt)), Method: req.Method, Path: req.Path,
		Header: encodeFields(req.Header), Length: req.Length,
	}
	if !req.IssuedAt.IsZero() {
		head.IssuedAtUnixMs = req.IssuedAt.UnixMilli()
	}
	if !req.Deadline.IsZero() {
		// On the wire 0 means none, so a deadline that has passed is sent as 1.
		head.DeadlineInMs = max(1, time.Until(req.Deadline).Milliseconds())
	}
	return head
}

// decodeRequest converts a request head and checks the invariants that later
// stages rely on. Every node of the fleet keeps them, so a violation is a fault
// of the peer and not of the caller.
func decodeRequest(head *peerv1.RequestHead) (*core.Request, error) {
	switch {
	case head.GetService() == "" || head.GetKey() == "" || head.GetMethod() == "" || head.GetPath() == "":
		return nil, core.Fail(core.CodeInvalid, "request head: empty service, key, method or path")
	case head.GetKind() > uint32(core.KindLong):
		return nil, core.Fail(core.CodeInvalid, "request head: unknown kind of work")
	case head.GetLength() < core.UnknownLength:
		return nil, core.Fail(core.CodeInvalid, "request head: invalid body length")
	case head.GetDeadlineInMs() < 0 || head.GetDeadlineInMs() > maxWireDuration.Milliseconds():
		return nil, core.Fail(core.CodeInvalid, "request head: deadline negative or too far ahead")
	case head.GetAttempt() > math.MaxInt32:
		return nil, core.Fail(core.CodeInvalid, "request head: attempt number too large")
	}
	req := &core.Request{
		ID: head.GetId(), Service: core.Service(head.GetService()), Key: head.GetKey(),
		Customer: core.Customer(head.GetCustomer()), Kind: core.WorkKind(head.GetKind()),
		Idempotent: head.GetIdempotent(), IdempotencyKey: head.GetIdempotencyKey(),
		Attempt: int(head.GetAttempt()), Method: head.GetMethod(), Path: head.GetPath(),
		Header: decodeFields(head.GetHeader()), Length: head.GetLength(),
	}
	if ms := head.GetIssuedAtUnixMs(); ms != 0 {
		req.IssuedAt = time.UnixMilli(ms)
	}
	if ms := head.GetDeadlineInMs(); ms > 0 {
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

func decodeResponse(head *peerv1.ResponseHead) (*core.Response, error) {
	if head.GetStatus() < 200 || head.GetStatus() > 999 || head.GetLength() < core.UnknownLength {
		return nil, core.Fail(core.CodeUnknown, "response head: invalid status or body length")
	}
	return &core.Response{
		Status: int(head.GetStatus()), Header: decodeFields(head.GetHeader()),
		Length: head.GetLength(), OwnerCallerAddress: head.GetOwner(),
	}, nil
}

func encodeFailure(err error) *peerv1.Failure {
	e := core.AsError(err)
	return &peerv1.Failure{
		Code: uint32(e.Code), Detail: e.Detail,
		RetryAfterMs: e.RetryAfter.Milliseconds(), Owner: e.OwnerPeerAddress,
	}
}

// decodeFailure restores an error that the peer sent. A code unknown to this
// build does not prove that the request was not run, so it becomes
// core.CodeUnknown.
func decodeFailure(failure *peerv1.Failure) *core.Error {
	code := core.Code(min(failure.GetCode(), math.MaxUint8))
	if code == 0 || code > core.CodeTooLarge {
		code = core.CodeUnknown
	}
	retryAfterMs := min(max(0, failure.GetRetryAfterMs()), maxWireDuration.Milliseconds())
	return &core.Error{
		Code: code, Detail: failure.GetDetail(), OwnerPeerAddress: failure.GetOwner(),
		RetryAfter: time.Duration(retryAfterMs) * time.Millisecond,
	}
}

func encodeFields(fields []core.Field) []*peerv1.Field {
	if len(fields) == 0 {
		return nil
	}
	// One backing array instead of one allocation for each field.
	backing := make([]peerv1.Field, len(fields))
	out := make([]*peerv1.Field, len(fields))
	for i, f := range fields {
		backing[i].Name, backing[i].Value = f.Name, f.Value
		out[i] = &backing[i]
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
