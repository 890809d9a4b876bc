package keyed

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// exchangeRaw sends requests with the IDs a, b and so on over one connection,
// one each 50 ms, and returns up to a megabyte of what the server sends.
func exchangeRaw(t *testing.T, fault Fault, requests int) (*Server, string) {
	s, err := Start("127.0.0.1:0", Config{Service: "s", Instance: "i", ReportAddress: "127.0.0.1:1", Slots: 4, ReportInterval: time.Hour})
	must.NoError(t, err)
	t.Cleanup(s.Crash)
	s.SetFault(fault)
	conn, err := net.Dial("tcp", s.ln.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	go func() {
		for i := range requests {
			_, _ = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\nX-Marjoramshore-Attempt-Id: "+string(rune('a'+i))+"\r\n\r\n")
			time.Sleep(50 * time.Millisecond)
		}
	}()
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(500*time.Millisecond)))
	var received bytes.Buffer
	_, _ = io.CopyN(&received, conn, 1<<20)
	return s, received.String()
}

// Guards against a fault that sends a well-formed answer, so that a run with it
// shows nothing.
func TestEachFaultIsSeenOnTheWire(t *testing.T) {
	const id = "X-Marjoramshore-Attempt-Id: "
	_, sent := exchangeRaw(t, NoFault, 2)
	must.Eq(t, 2, strings.Count(sent, "HTTP/1.1 200 OK"))
	_, sent = exchangeRaw(t, AnswerTwice, 2)
	must.Eq(t, 2, strings.Count(sent, id+"a"))
	must.Eq(t, 2, strings.Count(sent, id+"b"), must.Sprint("the connection ends after the first fault"))

	s, sent := exchangeRaw(t, RepeatRefusal, 3)
	must.Eq(t, 3, strings.Count(sent, "HTTP/1.1 503"))
	must.Eq(t, 3, strings.Count(sent, id+"a"))
	must.Eq(t, 1, strings.Count(sent, id+"b"))
	must.Eq(t, 0, s.RunCount("a"))
	must.Eq(t, 1, s.RunCount("b"))
	at := func(part string) int { return strings.Index(sent, part) }
	must.Less(t, at(id+"b"), at("503 Service Unavailable\r\n"))
	must.Less(t, at(id+"b"), strings.Index(sent[at(id+"a")+1:], id+"a")+at(id+"a"), must.Sprint("the refusal comes before the answer"))
	must.Greater(t, at(id+"c"), strings.LastIndex(sent, id+"a"), must.Sprint("the refusal comes after the answer"))

	s, sent = exchangeRaw(t, RepeatRefusalWithoutID, 2)
	must.Eq(t, 2, strings.Count(sent, "HTTP/1.1 503"))
	must.Eq(t, 1, strings.Count(sent, id+"a"))
	must.Eq(t, 1, s.RunCount("b"))

	s, sent = exchangeRaw(t, CutHead, 1)
	must.StrHasPrefix(t, "HTTP/1.1", sent)
	must.StrNotContains(t, sent, "\r\n\r\n")
	must.Eq(t, 1, s.RunCount("a"))
	_, sent = exchangeRaw(t, EndlessHead, 1)
	must.StrNotContains(t, sent, "\r\n\r\n")
	must.Greater(t, 500_000, len(sent))
	_, sent = exchangeRaw(t, EndlessBody, 1)
	must.StrContains(t, sent, "\r\n\r\n")
	must.StrNotContains(t, sent, "Content-Length")
	must.Greater(t, 500_000, len(sent))
}

// Guards against a fault that reads the body before it refuses, so that a run with
// it shows nothing.
func TestUnreadBodyHoldsBackTheNextRequest(t *testing.T) {
	s, err := Start("127.0.0.1:0", Config{Service: "s", Instance: "i", ReportAddress: "127.0.0.1:1", Slots: 4, ReportInterval: time.Hour})
	must.NoError(t, err)
	t.Cleanup(s.Crash)
	s.SetFault(RefuseUnread)
	conn, err := net.Dial("tcp", s.ln.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	body := strings.Repeat("x", 20_000)
	began := time.Now()
	_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nX-Marjoramshore-Attempt-Id: a\r\nContent-Length: 20000\r\n\r\n"+body+
		"GET /x HTTP/1.1\r\nHost: h\r\nX-Marjoramshore-Attempt-Id: b\r\nConnection: close\r\n\r\n")
	must.NoError(t, err)
	must.NoError(t, conn.SetReadDeadline(began.Add(5*time.Second)))
	received, err := io.ReadAll(conn)
	must.NoError(t, err)
	must.Eq(t, 1, strings.Count(string(received), "HTTP/1.1 503"))
	must.Eq(t, 1, strings.Count(string(received), "HTTP/1.1 200"))
	must.GreaterEq(t, readOnDelay, time.Since(began))
	must.Eq(t, []int{0, 1}, []int{s.RunCount("a"), s.RunCount("b")})
}
