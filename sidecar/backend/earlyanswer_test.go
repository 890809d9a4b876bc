package backend

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
)

// Guards against a request that waits on a connection on which the backend server
// has refused an upload without reading it: the server reads the rest of that body
// first, and the request reaches it after its caller has left.
func TestRequestDoesNotWaitBehindUnreadBody(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	readOn := make(chan struct{})
	defer func() { close(readOn); _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go refuseUploadsUnread(c, readOn)
		}
	}()
	p := newProxyOf(t, ln.Addr().String(), 1)

	for i := range 3 {
		const size = 20_000
		_, err = p.Serve(t.Context(), newRequest(fmt.Sprint("upload-", i), size, bytes.NewReader(make([]byte, size))))
		must.Eq(t, core.CodeOverloaded, core.CodeOf(err))
		resp, err := p.Serve(t.Context(), newRequest(fmt.Sprint("next-", i), 0, strings.NewReader("")))
		must.NoError(t, err, must.Sprint("the request waited for the body of the one before it"))
		must.NoError(t, resp.Body.Close())
	}
}

// refuseUploadsUnread answers requests without a body at once, and refuses others
// before it reads their bodies, which it does after readOn is closed.
func refuseUploadsUnread(c net.Conn, readOn <-chan struct{}) {
	defer c.Close()
	br := bufio.NewReaderSize(c, 512)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		status, field := "200 OK", "X-Marjoramshore-Response-Signature: s"
		if r.ContentLength > 0 {
			status, field = "503 Full", "X-Marjoramshore-Not-Executed: 1"
		}
		fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s\r\nX-Marjoramshore-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", status, field, r.Header.Get("X-Marjoramshore-Attempt-Id"))
		if r.ContentLength > 0 {
			<-readOn
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
}
