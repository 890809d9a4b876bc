package peers

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
)

// startFaultyPeer starts a server that passes each request with its number, from
// 1, to respond, which writes the raw bytes of the answers. It closes the
// connection if respond returns false. It returns a link to it.
func startFaultyPeer(t *testing.T, respond func(c net.Conn, request int64, r *http.Request) bool) *Link {
	l, _ := startMeteredPeer(t, respond)
	return l
}

// startMeteredPeer is startFaultyPeer with the meter of the link.
func startMeteredPeer(t *testing.T, respond func(c net.Conn, request int64, r *http.Request) bool) (*Link, *core.ByteMeter) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	var requests atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if !respond(c, requests.Add(1), r) {
						return
					}
				}
			}()
		}
	}()
	meter := &core.ByteMeter{}
	l, err := NewLink(ln.Addr().String(), newSender(), meter)
	must.NoError(t, err)
	t.Cleanup(l.CloseIdle)
	return l, meter
}

func send(t *testing.T, l *Link) (int, error) {
	resp, err := l.Send(t.Context(), clock.NewReal(), newRequest(time.Now()), &fleet.Load{})
	if err != nil {
		return 0, err
	}
	_, err = io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	return resp.Status, nil
}

// peerAnswer returns the bytes of a node's answer to r with further fields.
func peerAnswer(status int, r *http.Request, fields ...string) string {
	fields = append(fields, hopLoad+": 1,2,3,4", "Content-Length: 0")
	if r != nil {
		fields = append(fields, hopSentAt+": "+r.Header.Get(hopSentAt))
	}
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s\r\n\r\n", status, strings.Join(fields, "\r\n"))
}

// Guards against a node's repeated refusal that is taken for the answer to the
// next request, which then runs although its caller is told that it did not.
func TestRepeatedRefusalOfNodeIsDropped(t *testing.T) {
	refusal := hopCode + fmt.Sprint(": ", uint8(core.CodeQueueFull))
	var first *http.Request
	l := startFaultyPeer(t, func(c net.Conn, request int64, r *http.Request) bool {
		if request == 1 {
			first = r
			_, _ = io.WriteString(c, peerAnswer(503, r, refusal))
			return true
		}
		_, _ = io.WriteString(c, peerAnswer(503, first, refusal)+peerAnswer(200, r))
		return true
	})
	_, err := send(t, l)
	must.Eq(t, core.CodeQueueFull, core.CodeOf(err))
	for range 3 {
		status, err := send(t, l)
		must.NoError(t, err)
		must.Eq(t, 200, status)
	}
	must.Eq(t, 3, l.StrayAnswers())
}

// Guards against answers that are not used during an upgrade: nodes of earlier
// builds do not echo the time of sending.
func TestAnswerOfEarlierBuildCounts(t *testing.T) {
	l := startFaultyPeer(t, func(c net.Conn, _ int64, _ *http.Request) bool {
		_, _ = io.WriteString(c, peerAnswer(200, nil))
		return true
	})
	for range 3 {
		status, err := send(t, l)
		must.NoError(t, err)
		must.Eq(t, 200, status)
	}
	must.Eq(t, 0, l.StrayAnswers())
}

// Guards against an answer that no backend server gave, such as that of an HTTP
// server without the dialect of nodes, being passed to the caller.
func TestAnswerWithoutNodeFieldsLeavesOutcomeUnknown(t *testing.T) {
	for _, status := range []int{200, 400, 429, 503} {
		l := startFaultyPeer(t, func(c net.Conn, _ int64, _ *http.Request) bool {
			_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status))
			return true
		})
		got, err := send(t, l)
		must.Eq(t, core.CodeUnknown, core.CodeOf(err), must.Sprint(status, got))
	}
}

// Guards against a node that does not echo the time of sending in answers,
// refusals, or the refusal of a head that it cannot parse.
func TestEveryAnswerEchoesTheTimeOfSending(t *testing.T) {
	mark := core.Field{Name: hopSentAt, Value: "4711"}
	i := InboundDialect{LoadSource: fixedUsage{}}
	req, err := i.ParseHead(core.RequestHead{Method: "GET", Path: "/", Fields: []core.Field{{Name: hopPriority, Value: "x"}, mark}}, time.Now())
	must.Error(t, err)
	must.SliceContains(t, i.EncodeFailure(req, core.AsError(err)).Fields, mark)
	req, err = i.ParseHead(core.RequestHead{Method: "GET", Path: "/", Fields: []core.Field{{Name: hopService, Value: "s"}, mark}}, time.Now())
	must.NoError(t, err)
	must.SliceContains(t, i.EncodeFailure(req, core.Fail(core.CodeQueueFull, "")).Fields, mark)
	must.SliceContains(t, i.ResponseFields(req, &core.Response{}, nil), mark)
}

// Guards against an answer with another echo than the one that the node sends.
func TestNodesAttributeTheirOwnAnswers(t *testing.T) {
	l := startPeer(t, func(_ context.Context, r *core.Request) (*core.Response, error) {
		if r.Attempt == 0 {
			return nil, core.Fail(core.CodeQueueFull, "")
		}
		return &core.Response{Status: 200, Body: core.NoBody}, nil
	})
	for attempt := range 10 {
		req := newRequest(time.Now())
		req.Attempt = attempt % 2
		resp, err := l.Send(t.Context(), clock.NewReal(), req, &fleet.Load{})
		if attempt%2 == 0 {
			must.Eq(t, core.CodeQueueFull, core.CodeOf(err))
			continue
		}
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
	}
	must.Eq(t, 0, l.StrayAnswers())
	must.Eq(t, 1, l.gate.Stats().Dialed)
}
