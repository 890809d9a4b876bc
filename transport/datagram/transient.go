package datagram

import (
	"errors"
	"syscall"
)

// transient reports whether a failed read says something about a peer and not
// about the socket: an ICMP answer to an earlier send. Anything else ends the
// receiver, because repeating it at once would spin.
func transient(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.EHOSTUNREACH) ||
		errors.Is(err, syscall.ENETUNREACH)
}
