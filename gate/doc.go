// Package gate forwards requests to the backend server of the node over
// HTTP/1.1.
//
// A Gate pools connections itself instead of using http.Transport, because it
// must know whether a byte of a request was written, must ask for the permit
// when it holds a connection and before it writes that byte, and must never
// send a request twice. net/http encodes the messages.
//
// The backend server receives the Marjoram-* header fields, rebuilt from the
// request. If the permit has a fencing token, it also receives
// Marjoram-Fencing-Token (term.sequence) and Marjoram-Lease-Remaining-Ms. The
// remaining lease bounds the start of the work, not its end: a long upload may
// take longer than the lease, which is renewed meanwhile. Marjoram-Deadline-Ms
// therefore carries the caller's deadline.
//
// A response that echoes Marjoram-Request-Id with the ID of another request is
// dropped. Backend servers need not echo it.
//
// A connection is used again only if both messages are complete and the response
// shows that the server has read the body of the request. A server may refuse an
// upload unread and read the rest of it before the next request.
//
// A failure before the first byte has a code for which NotRun is true. After
// the first byte the code is CodeUnknown until the response head has arrived,
// and CodeAborted from then on.
package gate
