package datagram

import (
	"errors"
	"syscall"
)

// isTransient reports whether a failed read is due to a peer, by an ICMP error
// for an earlier datagram, and not to the socket. Any other error ends the
// receiver, because retrying it at once would spin.
func isTransient(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.EHOSTUNREACH) ||
		errors.Is(err, syscall.ENETUNREACH)
}
