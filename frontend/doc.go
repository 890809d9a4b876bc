// Package frontend serves callers over HTTP/1.1 with the hertz server library.
// It checks requests, applies limits on connections, concurrency and sizes, and
// passes each request to a core.Handler, which decides everything else. An
// exchange is one request and its response.
//
// Every response carries Marjoram-Outcome and Marjoram-Request-Id. A response
// that does not come from a backend server has a JSON body with the fields
// outcome, reason, detail, request_id and retry_after_ms, and one of these
// statuses:
//
//	400  bad-request: malformed or missing header
//	401  bad-request: unauthenticated
//	404  bad-request: unknown service; outcome-unknown: not found
//	409  outcome-unknown: duplicate of a known request, or conflict
//	413  bad-request: too large
//	422  quarantined: the request crashed backend servers; do not resend
//	429  refused-not-run: the customer's queue or retry budget is used up
//	499  refused-not-run: the caller disconnected
//	500  outcome-unknown: internal failure
//	502  outcome-unknown: the connection to the backend server or a peer broke
//	     after a byte was sent; aborted: the request body ended early
//	503  refused-not-run: every other reason
//	504  deadline-passed-not-run
//
// hertz itself responds, without these header fields, to input that is not
// HTTP, to a request head above the size limit (431) and to one that does not
// arrive in time (408). No request ran in these cases.
//
// If the response fails after its head was sent, the connection is reset. It
// never ends with a final chunk or an orderly close, so that the caller cannot
// take a truncated response for a complete one.
package frontend
