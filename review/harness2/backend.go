package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// request is what a backend server received.
type request struct {
	method, target string
	header         map[string][]string // lower-case names
	body           []byte
	conn           net.Conn
}

func (r *request) get(name string) string {
	if v := r.header[strings.ToLower(name)]; len(v) > 0 {
		return v[0]
	}
	return ""
}

func (r *request) id() string { return r.get("X-Marjoramshore-Attempt-Id") }

// backend is a stand-in for a backend server.
type backend struct {
	service, zone string
	ln            net.Listener
	mu            sync.Mutex
	instance      string
	born          int64
	seq           int64
	state         string
	slots         int
	nodeControl   string
	arrived       []*request
	// handle answers a request. It returns false if the connection is to be closed.
	handle func(r *request) bool
	// down is set between a crash and the next run.
	down bool
	open map[net.Conn]struct{}
	// keys is nil for a service that is not divided by key.
	keys *keyHolder
	// outstanding counts the requests that run or wait, and full is set while further
	// connections are reset.
	outstanding int
	full        bool
	slotTokens  chan struct{}
}

func newBackend(service, zone, instance string) (*backend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{service: service, zone: zone, ln: ln, instance: instance, born: time.Now().UnixMilli(), state: "ready", slots: 15, open: map[net.Conn]struct{}{}}
	b.handle = func(r *request) bool { return b.answer(r, 200, nil, []byte("ok "+r.id())) }
	go b.serve(ln)
	return b, nil
}

func (b *backend) addr() string { return b.ln.Addr().String() }

func (b *backend) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.open[c] = struct{}{}
		b.mu.Unlock()
		go b.serveConn(c)
	}
}

func (b *backend) serveConn(c net.Conn) {
	defer func() {
		b.mu.Lock()
		delete(b.open, c)
		b.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReaderSize(c, 64<<10)
	for {
		r, err := readRequest(br)
		if err != nil {
			return
		}
		r.conn = c
		b.mu.Lock()
		if r.get("X-Marjoramshore-Expected-Instance") != "" && r.get("X-Marjoramshore-Expected-Instance") != b.instance {
			b.mu.Unlock()
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Marjoramshore-Backend-Id: %s\r\nContent-Length: 0\r\n\r\n", b.instance)
			continue
		}
		b.arrived = append(b.arrived, r)
		handle := b.handle
		b.mu.Unlock()
		if !handle(r) {
			return
		}
	}
}

// readRequest reads a request as a strict server does.
func readRequest(br *bufio.Reader) (*request, error) {
	r := &request{header: map[string][]string{}}
	for first := true; ; first = false {
		line, err := br.ReadString('\n')
		if err != nil {
			return nil, err
		}
		line = strings.TrimRight(line, "\r\n")
		if first {
			parts := strings.SplitN(line, " ", 3)
			if len(parts) != 3 {
				return nil, fmt.Errorf("request line %q", line)
			}
			r.method, r.target = parts[0], parts[1]
			continue
		}
		if line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		name = strings.ToLower(name)
		r.header[name] = append(r.header[name], strings.TrimSpace(value))
	}
	return r, r.readBody(br)
}

func (r *request) readBody(br *bufio.Reader) error {
	if strings.EqualFold(r.get("Transfer-Encoding"), "chunked") {
		for {
			line, err := br.ReadString('\n')
			if err != nil {
				return err
			}
			n, err := strconv.ParseInt(strings.TrimSpace(strings.Split(line, ";")[0]), 16, 64)
			if err != nil {
				return err
			}
			if n == 0 {
				for {
					l, err := br.ReadString('\n')
					if err != nil {
						return err
					}
					if strings.TrimSpace(l) == "" {
						return nil
					}
				}
			}
			part := make([]byte, n+2)
			if _, err := io.ReadFull(br, part); err != nil {
				return err
			}
			r.body = append(r.body, part[:n]...)
		}
	}
	if n, _ := strconv.Atoi(r.get("Content-Length")); n > 0 {
		r.body = make([]byte, n)
		_, err := io.ReadFull(br, r.body)
		return err
	}
	return nil
}

const signature = "3e1b.07.5a2.600.0.c9f2a4d1"

// answer sends a signed answer of known length.
func (b *backend) answer(r *request, status int, fields []string, body []byte) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Marjoramshore-Attempt-Id: %s\r\nX-Marjoramshore-Response-Signature: %s\r\nX-Marjoramshore-Backend-Id: %s\r\n", status, http.StatusText(status), r.id(), signature, b.instance)
	for _, f := range fields {
		head += f + "\r\n"
	}
	head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	if r.method == "HEAD" {
		body = nil
	}
	_, err := r.conn.Write(append([]byte(head), body...))
	return err == nil
}

// requests returns what has arrived.
func (b *backend) requests() []*request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*request(nil), b.arrived...)
}

// startReports sends status reports to a node until endReports is called.
func (b *backend) startReports(control string) {
	b.nodeControl = control
	go func() {
		for {
			b.mu.Lock()
			down := b.down
			b.mu.Unlock()
			if !down {
				_, _ = b.report()
			}
			b.mu.Lock()
			pause := 870 * time.Millisecond
			if b.keys != nil && len(b.keys.leftOut) > 0 {
				pause = 100 * time.Millisecond
			}
			b.mu.Unlock()
			time.Sleep(pause)
		}
	}()
}

// reportBody returns the next status report.
func (b *backend) reportBody() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	m := map[string]any{
		"address": b.addr(), "born": b.born,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": b.slots},
		"status": map[string]any{"state": b.state, "seq": b.seq, "cold-remaining": "0ms"},
	}
	if b.keys != nil {
		m["holds"], m["freed"] = b.keys.report()
	}
	raw, _ := json.Marshal(m)
	return raw
}

// report sends one status report and takes the grant of the answer.
func (b *backend) report() (int, error) {
	sent := time.Now()
	body := b.reportBody()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+b.nodeControl+"/instances/"+b.instance+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var answer struct {
		Holds    [][]any `json:"holds"`
		HoldTime string  `json:"hold_time"`
	}
	raw, _ := io.ReadAll(resp.Body)
	if b.keys == nil || json.Unmarshal(raw, &answer) != nil || answer.HoldTime == "" {
		return resp.StatusCode, nil
	}
	hold, _ := time.ParseDuration(answer.HoldTime)
	var rows []keyRow
	for _, r := range answer.Holds {
		from, _ := r[0].(float64)
		to, _ := r[1].(float64)
		fence, _ := r[2].(float64)
		rows = append(rows, keyRow{from: int(from), to: int(to), fence: int64(fence)})
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keys.grant(rows, sent.Add(hold))
	return resp.StatusCode, nil
}
