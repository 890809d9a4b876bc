// Package frontend serves callers over HTTP/1.1 with hertz and turns their
// requests into exchanges. It decides nothing beyond the validity of a request
// and its own limits.
//
// Every answer carries Marjoram-Outcome and Marjoram-Request-Id. An answer that
// does not come from a backend server has a JSON body with the fields outcome,
// reason, detail, request_id and retry_after_ms, and one of these statuses:
//
//	400  bad-request: malformed or missing header
//	401  bad-request: unauthenticated
//	404  bad-request: unknown service; outcome-unknown: not found
//	409  outcome-unknown: duplicate of a known request, or conflict
//	413  bad-request: too large
//	422  quarantined: the request crashed backend servers; do not resend
//	429  refused-not-run: the customer's queue or retry budget is used up
//	499  refused-not-run: the caller went away
//	500  outcome-unknown: internal failure
//	502  outcome-unknown: the connection to the backend server or a peer broke
//	     after a byte was sent; aborted: the request body was cut
//	503  refused-not-run: every other reason
//	504  deadline-passed-not-run
//
// Input that is not HTTP, a head above the limit (431) and a head that does not
// arrive in time (408) are answered by hertz without these headers; nothing ran.
//
// An exchange that breaks off after the response head was sent ends with a TCP
// reset, never with a final chunk or a clean close.
package frontend
