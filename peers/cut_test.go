package peers

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
)

// Guards against an answer of another node that breaks off in its head or body and
// counts as a whole answer or as a refusal.
func TestAnswerOfNodeCutAtAnyByteIsNoAnswer(t *testing.T) {
	load := hopLoad + ": 1,2,3,4\r\n"
	for name, whole := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\n" + load + "%s\r\nX-Other: a\r\nContent-Length: 12\r\n\r\nhello, world",
		"chunked": "HTTP/1.1 200 OK\r\n%s\r\n" + load + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
		"refusal": "HTTP/1.1 503 X\r\n%s\r\n" + load + fmt.Sprintf("%s: %d\r\nContent-Length: 0\r\n\r\n", hopCode, core.CodeQueueFull),
	} {
		t.Run(name, func(t *testing.T) {
			for _, reset := range []bool{false, true} {
				for cut := 0; ; cut++ {
					whole := whole
					l := startFaultyPeer(t, func(c net.Conn, _ int64, r *http.Request) bool {
						sent := fmt.Sprintf(whole, hopSentAt+": "+r.Header.Get(hopSentAt))
						_, _ = io.WriteString(c, sent[:min(cut, len(sent)-1)])
						if reset {
							_ = c.(*net.TCPConn).SetLinger(0)
						}
						return false
					})
					resp, err := l.Send(t.Context(), clock.NewReal(), newRequest(time.Now()), &fleet.Load{})
					if err != nil {
						must.Eq(t, core.CodeUnknown, core.CodeOf(err), must.Sprintf("after %d bytes: %v", cut, err))
					} else {
						_, err = io.ReadAll(resp.Body)
						must.Eq(t, core.CodeAborted, core.CodeOf(err), must.Sprintf("after %d bytes", cut))
						must.NoError(t, resp.Body.Close())
					}
					if cut > len(whole)+40 { // above the length of the mark
						break
					}
				}
			}
		})
	}
}

// maxHeadBytes is the default limit of the heads of an exchange on a link. The
// bodies of the answers below are not read.
const maxHeadBytes = 64 << 10

// Guards against a node whose answer never becomes one, or whose refusal has a
// body without end: the caller must learn the outcome before its deadline.
func TestEndlessAnswerOfNodeEndsTheRequest(t *testing.T) {
	refusal := fmt.Sprintf("HTTP/1.1 503 X\r\n%s: 1,2,3,4\r\n%s: %d\r\n", hopLoad, hopCode, core.CodeQueueFull)
	stray := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: 1,2,3,4\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", hopLoad, hopSentAt)
	part := strings.Repeat("x", 1000)
	for name, c := range map[string]struct {
		start, part string
		want        core.Code
	}{
		"no answer":                 {"", part, core.CodeUnknown},
		"field":                     {"HTTP/1.1 200 OK\r\nX: ", part, core.CodeUnknown},
		"interim answers":           {"", "HTTP/1.1 102 Processing\r\n\r\n", core.CodeUnknown},
		"stray answers":             {"", stray, core.CodeUnknown},
		"body of a refusal":         {refusal + "\r\n", part, core.CodeQueueFull},
		"chunked body of a refusal": {refusal + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + part + "\r\n", core.CodeQueueFull},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			l, meter := startMeteredPeer(t, func(conn net.Conn, _ int64, _ *http.Request) bool {
				_, err := io.WriteString(conn, c.start)
				for err == nil {
					_, err = io.WriteString(conn, c.part)
				}
				close(closed)
				return false
			})
			req := newRequest(time.Now())
			req.Deadline = time.Now().Add(10 * time.Second)
			start := time.Now()
			_, err := l.Send(t.Context(), clock.NewReal(), req, &fleet.Load{})
			must.Eq(t, c.want, core.CodeOf(err))
			must.Less(t, 5*time.Second, time.Since(start), must.Sprint("the deadline is later"))
			select {
			case <-closed:
			case <-time.After(2 * time.Second):
				t.Fatal("the connection is not closed")
			}
			read, _ := meter.Totals()
			must.LessEq(t, maxHeadBytes+linkBufferBytes, read)
		})
	}
}
