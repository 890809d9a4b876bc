package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/standin/wire"
)

// Guards against answers that leave in another order than the pipelined requests
// of a caller, or that belong to another one of them, through the whole path to
// several owners, and against a request of a route that is not idempotent that runs
// ahead of its turn.
func TestPipelinedRequestsThroughTheNode(t *testing.T) {
	f := startDirectFleet(t, "prices", "prices", "reports")
	conn, err := net.Dial("tcp", f.settings[2].CallerAddress)
	must.NoError(t, err)
	defer conn.Close()
	must.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	reader := bufio.NewReader(conn)
	for round := range 5 {
		var out strings.Builder
		var paths []string
		for i := range 12 {
			path := fmt.Sprintf("/look/%d-%d", round, i)
			if i == 7 {
				path = fmt.Sprintf("/enter/%d-%d", round, i)
			}
			paths = append(paths, path)
			fmt.Fprintf(&out, "GET %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: 2000\r\n%s: %d\r\n\r\n",
				path, wire.HeaderAttemptID, path, wire.HeaderTimeout, wire.HeaderKey, i*5000)
		}
		_, err = io.WriteString(conn, out.String())
		must.NoError(t, err)
		for _, path := range paths {
			resp, err := http.ReadResponse(reader, nil)
			must.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			must.NoError(t, err)
			must.Eq(t, 200, resp.StatusCode, must.Sprint(path))
			must.Eq(t, path, resp.Header.Get(wire.HeaderAttemptID))
			must.Eq(t, "GET "+path+" 0 reports", string(body))
		}
	}
	runs := 0
	for _, b := range f.backends {
		runs += b.RunCount("/enter/0-7")
	}
	must.Eq(t, 1, runs)
}
