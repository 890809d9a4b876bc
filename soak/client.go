package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"marjoramshore.example/standin/wire"
)

const (
	// maxResponseBytes bounds the response body that a caller reads. A response
	// of a backend server has less than 200 bytes.
	maxResponseBytes = 1 << 20
	// connectTimeout is how long a caller waits for a connection, as the users'
	// callers do.
	connectTimeout = time.Second
)

// callerConn is a connection of a caller to a node. The client of net/http is
// not used, because it repeats a request on its own if a kept connection ends
// without a response, so that the caller would not see the loss.
type callerConn struct {
	*net.TCPConn
	reader *bufio.Reader
}

// dialNode connects to a node.
func dialNode(address string) (*callerConn, error) {
	conn, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &callerConn{conn.(*net.TCPConn), bufio.NewReader(conn)}, nil
}

// control runs f with the file descriptor of the connection.
func (c *callerConn) control(f func(fd int)) {
	raw, err := c.SyscallConn()
	if err != nil {
		return // closed
	}
	_ = raw.Control(func(fd uintptr) { f(int(fd)) })
}

// idleState returns whether the node has closed the idle connection, and how
// many unread bytes it has sent although no request is waiting.
func (c *callerConn) idleState() (closed bool, unsolicited int) {
	unsolicited = c.reader.Buffered()
	c.control(func(fd int) {
		buf := make([]byte, bufferBytes)
		n, _, err := syscall.Recvfrom(fd, buf, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
		unsolicited += max(n, 0)
	})
	return closed, unsolicited
}

// resetWait is how long after an end of stream a reset may arrive, because the
// kernel handles the packets of a busy machine late.
const resetWait = 50 * time.Millisecond

// hasReadAll reports, after an end of stream, whether the node had read all that
// was sent. If it closed the connection before, the kernel answers what arrives
// later with a reset.
func (c *callerConn) hasReadAll() bool {
	<-time.After(resetWait)
	readAll := false
	c.control(func(fd int) {
		code, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ERROR)
		readAll = err == nil && code == 0
	})
	return readAll
}

// nodeRequest is a request of a caller as it is sent.
type nodeRequest struct {
	method, target, id, key, body string
	closeConn                     bool
	timeout                       time.Duration
}

func (q nodeRequest) encode() []byte {
	var out strings.Builder
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", q.method, q.target, routeHost,
		wire.HeaderAttemptID, q.id, wire.HeaderTimeout, q.timeout.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&out, "%s: %s\r\n", wire.HeaderKey, q.key)
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(q.body))
	}
	if q.closeConn {
		out.WriteString("Connection: close\r\n")
	}
	return []byte(out.String() + "\r\n" + q.body)
}

// exchange sends a request and reads its response into end. It returns the
// response without its body, or nil.
func (c *callerConn) exchange(q nodeRequest, end *RequestEnd) *http.Response {
	_, writeErr := c.Write(q.encode())
	return c.receive(q, writeErr, end)
}

// exchangeAll sends requests one behind the other and reads their responses in
// order. Those behind a response that closes the connection count as not sent. It
// reports whether the connection can be used again.
func (c *callerConn) exchangeAll(requests []nodeRequest, ends []*RequestEnd) bool {
	var out []byte
	for _, q := range requests {
		out = append(out, q.encode()...)
	}
	_, writeErr := c.Write(out)
	for i, q := range requests {
		resp := c.receive(q, writeErr, ends[i])
		if resp != nil && !resp.Close {
			continue
		}
		for _, end := range ends[i+1:] {
			end.Reason, end.NotConnected = "sent behind the last response of its connection", true
		}
		return false
	}
	return true
}

// receive reads the response to a request into end. It returns the response
// without its body, or nil.
func (c *callerConn) receive(q nodeRequest, writeErr error, end *RequestEnd) *http.Response {
	// A node may respond before it has read a whole body, so the response is
	// read after a failed write as well.
	if _, err := c.reader.Peek(1); err != nil {
		end.Reason = err.Error()
		end.ReadByNode = writeErr == nil && err == io.EOF && c.hasReadAll()
		return nil
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		end.Reason = err.Error()
		end.ReadByNode = true
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(data) > maxResponseBytes {
		err = &endlessResponseError{}
	}
	if err != nil {
		end.Reason = err.Error()
		end.ReadByNode = true
		return nil
	}
	end.Status, end.Body = resp.StatusCode, string(data)
	end.Signed = resp.Header.Get(wire.HeaderSignature) != ""
	end.AnswerID = resp.Header.Get(wire.HeaderAttemptID)
	return resp
}

// endlessResponseError reports a response body beyond maxResponseBytes.
type endlessResponseError struct{}

func (*endlessResponseError) Error() string {
	return fmt.Sprintf("the response has more than %d bytes", maxResponseBytes)
}
