// Package dispatch decides where a request goes and what follows a failed
// attempt. It chooses among backend servers, decides whether a request may be
// sent again, and limits the retries of this node to its share of the fleet's
// retry budget. It uses no network and no goroutine.
package dispatch
