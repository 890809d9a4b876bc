// Package gate forwards exchanges to the backend server beside the node over
// HTTP/1.1.
//
// The gate keeps its own connections instead of an http.Transport, because it
// must know whether a byte of a request was written, must ask for the permit
// after a connection is at hand and before that byte, and must never send a
// request twice. The encoding itself is net/http's.
//
// The backend server receives the caller's Marjoram-* headers, rebuilt from the
// request, and with a permit Marjoram-Fencing-Token (term.sequence) and
// Marjoram-Lease-Remaining-Ms. The latter bounds the start of the work, not its
// end: a long upload outlasts a lease that is renewed meanwhile, so
// Marjoram-Deadline-Ms is the caller's own.
//
// Failures before the first byte carry a code with NotRun. After it they are
// CodeUnknown until the response head has arrived, and CodeAborted from then on.
package gate
