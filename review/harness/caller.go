package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// callerConfig describes a stream of requests to one node.
type callerConfig struct {
	node      *node
	method    string
	kind      string // idempotent or non_idempotent
	path      string
	perSecond float64
	keyed     bool
	bodyBytes int
	timeout   time.Duration
	fresh     bool // a connection for each request
	workMs    int
	// leaveAfter makes the caller close its connection after that time.
	leaveAfter time.Duration
}

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), lastID.Add(1)) }

// runCallers sends requests at a steady rate until ctx ends. Each request is an
// attempt of its own; nothing is repeated.
func (e *env) runCaller(ctx context.Context, c callerConfig, wait *sync.WaitGroup) {
	wait.Go(func() {
		pool := make(chan net.Conn, 64)
		defer func() {
			for {
				select {
				case conn := <-pool:
					_ = conn.Close()
				default:
					return
				}
			}
		}()
		t := time.NewTicker(time.Duration(float64(time.Second) / c.perSecond))
		defer t.Stop()
		var running sync.WaitGroup
		defer running.Wait()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			running.Go(func() { e.send(c, pool) })
		}
	})
}

// send sends one request and records the answer.
func (e *env) send(c callerConfig, pool chan net.Conn) answerEntry {
	id := newID()
	path := c.path + id
	a := answerEntry{id: id, node: c.node.name, kind: c.kind, sentAt: e.rec.now(), method: c.method, path: path, early: c.leaveAfter > 0}
	body := bytes.Repeat([]byte(id), c.bodyBytes/len(id)+1)[:c.bodyBytes]
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", c.method, path, e.host, headerID, id, headerTimeout, c.timeout.Milliseconds())
	if c.keyed {
		fmt.Fprintf(&head, "%s: %d\r\n", headerKey, rand.IntN(65536))
	}
	if c.workMs > 0 {
		fmt.Fprintf(&head, "X-Work-Ms: %d\r\n", c.workMs)
	}
	if c.method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n")
	var conn net.Conn
	if !c.fresh {
		select {
		case conn = <-pool:
		default:
		}
	}
	var err error
	if conn == nil {
		if conn, err = net.DialTimeout("tcp", c.node.at(portOutbound), time.Second); err != nil {
			return a // nothing was sent
		}
	}
	e.rec.sending(a)
	patience := c.timeout
	if c.leaveAfter > 0 {
		patience = c.leaveAfter
	}
	_ = conn.SetDeadline(time.Now().Add(patience))
	if _, err = conn.Write(append([]byte(head.String()), body...)); err != nil {
		a.err = "write: " + err.Error()
		e.rec.answered(a)
		_ = conn.Close()
		return a
	}
	req := &http.Request{Method: c.method}
	br := bufio.NewReader(conn)
	resp, err := http.ReadResponse(br, req)
	if err != nil {
		a.err = "read: " + err.Error()
		e.rec.answered(a)
		_ = conn.Close()
		return a
	}
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = "body: " + err.Error()
		e.rec.answered(a)
		_ = conn.Close()
		return a
	}
	a.status, a.signature, a.retry = resp.StatusCode, resp.Header.Get(headerSignature), resp.Header.Get("Retry-After")
	want := fmt.Sprintf("%s %s %s %x", id, c.method, path, sha256.Sum256(body))
	a.bodyOK = a.status/100 != 2 || string(answer) == want && a.signature == signature(strings.SplitN(a.signature, ".", 2)[0], id, answer)
	e.rec.answered(a)
	if resp.Close || c.fresh || br.Buffered() > 0 {
		_ = conn.Close()
		return a
	}
	select {
	case pool <- conn:
	default:
		_ = conn.Close()
	}
	return a
}
