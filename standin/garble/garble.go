// Package garble makes an HTTP server of a stand-in send bytes that are no
// response to the request: heads that break off, bytes without end, and copies
// of earlier responses.
package garble

import (
	"bytes"
	"context"
	"net"
	"time"
)

// Fault is a way in which the next response is changed.
type Fault int

// Faults.
const (
	NoFault Fault = iota
	// CutHead closes the connection in the middle of the head of the response.
	CutHead
	// EndlessHead sends header fields without end.
	EndlessHead
	// EndlessBody sends a body without end.
	EndlessBody
	// Twice sends the response a second time.
	Twice
)

const (
	// endlessBytes and endlessChunk bound an endless response and the parts in
	// which it is sent, one for each endlessPause.
	endlessBytes = 64 << 20
	endlessChunk = 32 << 10
	endlessPause = 2 * time.Millisecond
	// cutSteps is the number of positions at which heads break off in turn.
	cutSteps = 7
)

// Listener accepts connections as *Conn.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c}, nil
}

// Conn is a connection whose responses can be changed. Only the goroutine that
// serves the connection may use it.
type Conn struct {
	net.Conn
	fault   Fault
	variant int
	after   []byte
	refusal []byte
}

type contextKey struct{}

// ConnContext makes FromContext work for the requests of an http.Server whose
// listener is a Listener.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// FromContext returns the connection of a request.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// Arm sets the fault of the next response. The variant selects the position at
// which a head breaks off, and the framing of an endless body.
func (c *Conn) Arm(f Fault, variant int) { c.fault, c.variant = f, variant }

// Refusal returns the latest complete response of the connection that said that
// its request was not executed, or nil.
func (c *Conn) Refusal() []byte { return c.refusal }

// SendNow sends bytes ahead of the next response.
func (c *Conn) SendNow(b []byte) { _, _ = c.Conn.Write(b) }

// SendAfter sends bytes directly after the next response.
func (c *Conn) SendAfter(b []byte) { c.after = b }

// Write implements net.Conn. The head of a response is in one piece.
func (c *Conn) Write(p []byte) (int, error) {
	head := bytes.Index(p, []byte("\r\n\r\n")) + 2
	if head < 2 || !bytes.HasPrefix(p, []byte("HTTP/1.1 ")) {
		return c.Conn.Write(p)
	}
	fault, out := c.fault, p
	c.fault = NoFault
	switch fault {
	case CutHead:
		_, _ = c.Conn.Write(p[:head*(1+c.variant%cutSteps)/cutSteps])
		_ = c.Conn.Close()
		return 0, net.ErrClosed
	case EndlessHead:
		return c.sendEndless(p[:head], append(bytes.Repeat([]byte("a"), endlessChunk), "\r\nX-Filler: "...), "X-Filler: ")
	case EndlessBody:
		return c.sendEndlessBody(p[:head])
	case Twice:
		out = append(bytes.Clone(p), p...)
	}
	if isRefusal(p) {
		c.refusal = bytes.Clone(p)
	}
	if c.after != nil {
		out, c.after = append(bytes.Clone(out), c.after...), nil
	}
	if n, err := c.Conn.Write(out); err != nil {
		return min(n, len(p)), err
	}
	return len(p), nil
}

// isRefusal reports whether a response has a status that rules out that its
// request was executed.
func isRefusal(response []byte) bool {
	status := string(response[len("HTTP/1.1 "):][:3])
	return status == "421" || status == "429" || status == "503"
}

// sendEndlessBody sends a head without its length, and a body without end: in
// chunks, or with the end of the connection as its end.
func (c *Conn) sendEndlessBody(head []byte) (int, error) {
	head = WithoutField(WithoutField(head, "Content-Length"), "Transfer-Encoding")
	part := bytes.Repeat([]byte("b"), endlessChunk)
	if c.variant%2 == 0 {
		return c.sendEndless(head, part, "\r\n")
	}
	return c.sendEndless(head, append(append([]byte("8000\r\n"), part...), "\r\n"...), "Transfer-Encoding: chunked\r\n\r\n")
}

// sendEndless sends head, start, and then part until the other side closes the
// connection or endlessBytes are sent. It always returns an error.
func (c *Conn) sendEndless(head, part []byte, start string) (int, error) {
	_, err := c.Conn.Write(append(bytes.Clone(head), start...))
	for sent := 0; err == nil && sent < endlessBytes; sent += len(part) {
		<-time.After(endlessPause)
		_, err = c.Conn.Write(part)
	}
	_ = c.Conn.Close()
	return 0, net.ErrClosed
}

// WithoutField returns a copy of a response without a header field.
func WithoutField(response []byte, name string) []byte {
	from := bytes.Index(response, []byte("\r\n"+name+": "))
	if from < 0 {
		return bytes.Clone(response)
	}
	length := bytes.Index(response[from+2:], []byte("\r\n")) + 2
	return append(bytes.Clone(response[:from]), response[from+length:]...)
}
