package frontend

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"marjoramshore.example/core"
)

// statusClosedRequest is the customary status for a caller that went away.
const statusClosedRequest = 499

// StatusOf returns the HTTP status of an answer that does not come from a
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
		return statusClosedRequest
	case core.CodeInternal:
		return http.StatusInternalServerError
	}
	if code.NotRun() {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// failureBody is the JSON body of an answer that does not come from a backend
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

// retryAfter formats a delay in whole seconds, rounded up.
func retryAfter(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
