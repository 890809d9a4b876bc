// Package owner handles requests at the node that owns their key. It checks the
// lease on the key, keeps the at-most-once records, quarantines requests that
// crash backend servers, and admits requests as far as the backend server
// beside the node can serve them.
//
// One goroutine, the duty, owns all of that state. The goroutines that serve
// requests send it messages through bounded rings and wait for its replies.
package owner
