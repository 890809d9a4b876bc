// Package dispatch decides where a request goes and what follows a failed
// attempt: the choice among backend servers, whether a request may be sent once
// more, and the share that this node has of the fleet's retry budget. It uses
// no network and no goroutine.
package dispatch
