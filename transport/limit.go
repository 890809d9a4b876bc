package transport

import (
	"encoding/binary"
	"io"
	"net/http"
	"strconv"

	"marjoramshore.example/transport/peerv1/peerv1connect"
)

// MessageTooLargeError reports a message that exceeds the limit of a message.
type MessageTooLargeError struct{ Bytes uint32 }

// Error implements error.
func (e *MessageTooLargeError) Error() string {
	return "message of " + strconv.FormatUint(uint64(e.Bytes), 10) + " bytes exceeds the limit"
}

// limitBody makes the body of an RPC fail at a message that exceeds
// maxMessageBytes. connect-go fails too, but first reads the message to its
// end. w is nil for the body of a response.
func limitBody(w http.ResponseWriter, path string, body io.ReadCloser) io.ReadCloser {
	if path == peerv1connect.PeerCallProcedure {
		// The body is the message. It may exceed the limit by one byte, by which
		// connect-go detects that it is too large.
		return http.MaxBytesReader(w, body, maxMessageBytes+1)
	}
	return &envelopeLimiter{ReadCloser: body}
}

// envelopeLimiter reads the body of a stream, in which each message follows a
// prefix of five bytes: flags and the length of the message.
type envelopeLimiter struct {
	io.ReadCloser
	prefix      [5]byte
	prefixBytes int
	unread      uint32 // bytes of the message that follow
}

// Read implements io.Reader.
func (l *envelopeLimiter) Read(p []byte) (int, error) {
	n, err := l.ReadCloser.Read(p)
	for data := p[:n]; len(data) > 0; {
		if l.unread > 0 {
			skipped := min(uint64(l.unread), uint64(len(data)))
			l.unread -= uint32(skipped)
			data = data[skipped:]
			continue
		}
		copied := copy(l.prefix[l.prefixBytes:], data)
		l.prefixBytes += copied
		data = data[copied:]
		if l.prefixBytes < len(l.prefix) {
			break
		}
		l.prefixBytes, l.unread = 0, binary.BigEndian.Uint32(l.prefix[1:])
		if l.unread > maxMessageBytes {
			return 0, &MessageTooLargeError{l.unread}
		}
	}
	return n, err
}
