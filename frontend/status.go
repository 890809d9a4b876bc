package frontend

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"marjoramshore.example/core"
)

// statusClientClosedRequest is the status, in common use but in no standard,
// for a caller that disconnected before its response.
const statusClientClosedRequest = 499

// StatusOf returns the HTTP status of a response that does not come from a
// backend server.
func StatusOf(code core.Code) int {
	switch code {
	case core.CodeInvalid:
		return http.StatusBadRequest
	case core.CodeUnauthenticated:
		return http.StatusUnauthorized
	case core.CodeUnknownService, core.CodeNotFound:
		return http.StatusNotFound
	case core.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case core.CodeDuplicate, core.CodeConflict:
		return http.StatusConflict
	case core.CodeQuarantined:
		return http.StatusUnprocessableEntity
	case core.CodeQueueFull, core.CodeBudgetExhausted:
		return http.StatusTooManyRequests
	case core.CodeDeadlineNotRun:
		return http.StatusGatewayTimeout
	case core.CodeCanceledNotRun:
		return statusClientClosedRequest
	case core.CodeInternal:
		return http.StatusInternalServerError
	}
	if code.NotRun() {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// failureBody is the JSON body of a response that does not come from a backend
// server.
type failureBody struct {
	Outcome      core.Outcome `json:"outcome"`
	Reason       string       `json:"reason"`
	Detail       string       `json:"detail"`
	RequestID    string       `json:"request_id"`
	RetryAfterMs int64        `json:"retry_after_ms"`
}

func encodeFailure(e *core.Error, id string) []byte {
	out, err := json.Marshal(failureBody{
		Outcome: e.Code.Outcome(), Reason: e.Code.String(), Detail: e.Detail,
		RequestID: id, RetryAfterMs: e.RetryAfter.Milliseconds(),
	})
	if err != nil {
		// Marshal of these types cannot fail.
		return []byte("{}")
	}
	return out
}

// formatRetryAfter returns the value of a Retry-After field: d in whole
// seconds, rounded up.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
