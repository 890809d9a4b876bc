package sidecar

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
	"marjoramshore.example/frontend"
	"marjoramshore.example/peers"
	"marjoramshore.example/platform"
	"marjoramshore.example/sidecar/backend"
	"marjoramshore.example/sidecar/keys"
)

// resettingNode is a node that resets each connection of other nodes after the
// head of a request. It passes the request to its backend server before that if
// passOn is set.
type resettingNode struct {
	*Node
	address string
	passOn  atomic.Bool
	runs    atomic.Int64 // of the backend server
	last    atomic.Pointer[core.Request]
}

func startResettingNode(t *testing.T) *resettingNode {
	r := &resettingNode{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.runs.Add(1)
		w.Header().Set("X-Marjoramshore-Attempt-Id", req.Header.Get("X-Marjoramshore-Attempt-Id"))
		w.Header().Set("X-Marjoramshore-Response-Signature", "s")
	}))
	t.Cleanup(server.Close)
	logger := &log.Logger{Handler: discard.Default}
	proxy, err := backend.New(backend.Config{
		Node: "b", Service: "s", Address: server.Listener.Addr().String(), ReportInterval: time.Minute, Clock: clock.NewReal(), Log: logger,
		KeyController: func() *keys.Controller { return nil }, OnRunChange: func(backend.Run) {},
	})
	must.NoError(t, err)
	go proxy.Run(t.Context())
	_, ok := proxy.HandleReport(t.Context(), platform.StatusReport{Instance: "i", StartedUnixMs: 1, Address: server.Listener.Addr().String(), Service: "s", Slots: 1, Sequence: 1})
	must.True(t, ok)
	r.Node = &Node{self: fleet.Entry{Node: "b", Incarnation: 8}, backend: proxy, log: logger}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	r.address = ln.Addr().String()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.serve(t, c)
		}
	}()
	return r
}

func (r *resettingNode) serve(t *testing.T, c net.Conn) {
	head, err := http.ReadRequest(bufio.NewReader(c))
	if err == nil {
		number, _ := strconv.ParseUint(head.Header.Get("Marjoram-Hop-Number"), 10, 64)
		req := newHop()
		req.SendID = core.SendID{Sender: 7, Number: number}
		r.last.Store(req)
		if r.passOn.Load() {
			_, _ = r.backend.Serve(t.Context(), req)
		}
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func newHop() *core.Request {
	return &core.Request{
		ID: "x", Service: "s", Instance: "i", Method: "POST", Path: "/x", Body: core.NoBody, Deadline: time.Now().Add(2 * time.Second),
		Header: []core.Field{{Name: "Host", Value: "h"}, {Name: "X-Marjoramshore-Attempt-Id", Value: "x"}},
	}
}

// Guards against an answer that forbids the caller to try again (502) for a
// request that is not idempotent and whose connection to another node was reset
// before that node passed it on; and against a promise that it has not run when
// it has, may run later, or nobody can tell.
func TestResetBeforePassingOnIsARefusal(t *testing.T) {
	receiver := startResettingNode(t)
	calls := httptest.NewServer(peers.NewMux(peerHandler{receiver.Node}))
	defer calls.Close()
	sender := &Node{self: fleet.Entry{Node: "a", Incarnation: 7}, clock: clock.NewReal(), log: receiver.log, peerClient: peers.NewClient()}
	sender.peerLinks = newPeerLinks(sender)
	peer := &fleet.Peer{Alive: true, Load: &fleet.Load{}, Entry: fleet.Entry{
		Node: "b", Incarnation: 8, InboundAddress: receiver.address, PeerAddress: strings.TrimPrefix(calls.URL, "http://"),
	}}
	send := func() core.Code {
		_, err := sender.peerLinks.Send(t.Context(), peer, newHop())
		return core.CodeOf(err)
	}
	must.Eq(t, core.CodePeerUnreachable, send())
	_, err := receiver.backend.Serve(t.Context(), receiver.last.Load())
	must.True(t, core.CodeOf(err).NotRun(), must.Sprint("the request arrives after it was withdrawn: ", err))
	must.Eq(t, 0, receiver.runs.Load())

	receiver.passOn.Store(true)
	must.Eq(t, core.CodeUnknown, send())
	must.Eq(t, 1, receiver.runs.Load())

	receiver.passOn.Store(false)
	peer.Incarnation = 9
	must.Eq(t, core.CodeUnknown, send(), must.Sprint("another process is at the address"))
	peer.Incarnation = 8
	calls.Close()
	must.Eq(t, core.CodeUnknown, send(), must.Sprint("the call fails"))
}

// statingNode is a node whose backend server names the field that is set in its
// answers, and the link of another node to it.
type statingNode struct {
	t      *testing.T
	field  atomic.Pointer[core.Field]
	got    atomic.Pointer[core.Request] // last request
	sender *Node
	peer   *fleet.Peer
}

func startStatingNode(t *testing.T) *statingNode {
	s := &statingNode{t: t}
	f, err := frontend.New(frontend.Config{
		Addr: "127.0.0.1:0", Dialect: peers.InboundDialect{LoadSource: noLoad{}},
		Handler: core.HandlerFunc(func(_ context.Context, req *core.Request) (*core.Response, error) {
			s.got.Store(req)
			resp := &core.Response{Status: 200, Body: core.NoBody}
			if field := s.field.Load(); field != nil {
				resp.Header = []core.Field{*field}
			}
			return resp, nil
		})})
	must.NoError(t, err)
	f.Start()
	t.Cleanup(func() { _ = f.Close() })
	s.sender = &Node{self: fleet.Entry{Node: "a", Incarnation: 7}, clock: clock.NewReal(), log: &log.Logger{Handler: discard.Default}}
	s.sender.cfg.Settings.Bounds.DrainPeriod = 500 * time.Millisecond
	s.sender.peerLinks = newPeerLinks(s.sender)
	s.peer = &fleet.Peer{Alive: true, Load: &fleet.Load{}, Entry: fleet.Entry{Node: "b", Incarnation: 8, InboundAddress: f.Addr()}}
	return s
}

// send sends a request to a run whose answer has the field, and returns the failure
// if there is one. An empty value leaves the field out.
func (s *statingNode) send(instance, name, value string) error {
	s.field.Store(nil)
	if value != "" {
		s.field.Store(&core.Field{Name: name, Value: value})
	}
	req := newHop()
	req.Instance = instance
	resp, err := s.sender.peerLinks.Send(s.t.Context(), s.peer, req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Guards against a limit that is forgotten when the node beside the backend server
// starts again: the other nodes do not tell it, or tell it of another run.
func TestNodesTellTheLimitThatTheyKnow(t *testing.T) {
	s := startStatingNode(t)
	s.peer.BornUnixMs = 4
	told := func(instance, names string) float64 {
		must.NoError(t, s.send(instance, "Server-Limit", names))
		return s.got.Load().RateLimit
	}
	must.Eq(t, 0, told("i-1", "12.5"))
	s.peer.Incarnation, s.peer.BornUnixMs = 9, 0 // the node starts again
	must.Eq(t, 12.5, told("i-1", "7"))
	s.peer.BornUnixMs = 4
	must.Eq(t, 12.5, told("i-1", "-3"))
	must.Eq(t, 12.5, told("i-1", "8"), must.Sprint("a malformed limit changes nothing"))
	must.Eq(t, 8, told("i-1", ""))
	must.Eq(t, 0, told("i-1", "9"))
	must.Eq(t, 0, told("i-2", ""), must.Sprint("the limit is that of another run"))
}

// Guards against requests to a backend server that has said that it leaves, later
// than its drain, through a node that has started again and does not know it.
func TestNodesSendNothingAfterTheDrainThatTheyKnow(t *testing.T) {
	s := startStatingNode(t)
	s.peer.BornUnixMs = 4
	must.NoError(t, s.send("i-1", "Server-Leaving", "1"))
	must.NoError(t, s.send("i-1", "Server-Leaving", ""), must.Sprint("within the drain"))
	s.peer.Incarnation, s.peer.BornUnixMs = 9, 0 // has had no status report yet
	time.Sleep(s.sender.cfg.Settings.Bounds.DrainPeriod)
	must.Eq(t, core.CodeDraining, core.CodeOf(s.send("i-1", "", "")))
	must.NoError(t, s.send("i-2", "", ""), must.Sprint("the next instance"))
	s.peer.BornUnixMs = 5
	must.NoError(t, s.send("i-1", "", ""), must.Sprint("a later run of the same instance"))
}

// noLoad reports an idle backend server.
type noLoad struct{}

// Load implements peers.LoadSource.
func (noLoad) Load() fleet.Usage { return fleet.Usage{} }
