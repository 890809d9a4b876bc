package backend

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"marjoramshore.example/core"
)

// Header names that the server reads and sets.
const (
	HeaderToken          = "Marjoram-Fencing-Token" // "term.sequence"
	HeaderRange          = "Marjoram-Range"         // "lo-hi" in hexadecimal; default: the key's hash
	HeaderKey            = "Marjoram-Key"
	HeaderCustomer       = "Marjoram-Customer"
	HeaderRequestID      = "Marjoram-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "Marjoram-Deadline-Ms" // milliseconds left
	// HeaderServiceTime overrides the service time of one request, in
	// milliseconds.
	HeaderServiceTime = "Standin-Work-Ms"
	// HeaderDigest is the SHA-256 of the request body as the server read it.
	HeaderDigest = "Standin-Digest"
)

// Echo is the JSON answer to a request that ran. With the query "bytes=N" the
// answer is instead N bytes that repeat the request id.
type Echo struct {
	Service   string `json:"service"`
	Path      string `json:"path"`
	Key       string `json:"key"`
	RequestID string `json:"request_id"`
	Length    int64  `json:"length"`
	Digest    string `json:"sha256"`
}

// execution is the handling of one request by a server.
type execution struct {
	s      *Server
	w      http.ResponseWriter
	r      *http.Request
	runCtx context.Context
	who    identity
}

func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	j := &execution{s: s, w: w, r: r, runCtx: s.awaitResume(), who: identity{
		requestID:      r.Header.Get(HeaderRequestID),
		idempotencyKey: qualifiedKey(r.Header.Get(HeaderCustomer), r.Header.Get(HeaderIdempotencyKey)),
	}}
	s.records.addReceived(j.who)
	if s.isDraining() {
		j.refuse(http.StatusServiceUnavailable, "draining", func(st *Stats) { st.Drained++ })
		return
	}
	if !j.takeSlot() {
		return
	}
	defer j.releaseSlot()
	j.run()
}

func (j *execution) refuse(status int, reason string, count func(*Stats)) {
	j.s.records.updateStats(count)
	http.Error(j.w, reason, status)
}

// takeSlot waits in the server's queue for a slot. When it returns false, the
// request has been answered.
func (j *execution) takeSlot() bool {
	queued := false
	j.s.records.updateStats(func(st *Stats) {
		if queued = st.Queued < j.s.cfg.MaxQueued || len(j.s.slots) < cap(j.s.slots); queued {
			st.Queued++
			st.PeakQueued = max(st.PeakQueued, st.Queued)
		}
	})
	if !queued {
		j.refuse(http.StatusServiceUnavailable, "overloaded", func(st *Stats) { st.Shed++ })
		return false
	}
	defer j.s.records.updateStats(func(st *Stats) { st.Queued-- })
	ctx, cancel := j.withDeadline()
	defer cancel()
	select {
	case j.s.slots <- struct{}{}:
	case <-j.runCtx.Done():
		j.abort()
	case <-ctx.Done():
		j.refuse(http.StatusGatewayTimeout, "deadline passed in queue", func(st *Stats) { st.Expired++ })
		return false
	}
	j.s.records.updateStats(func(st *Stats) {
		st.InFlight++
		st.PeakInFlight = max(st.PeakInFlight, st.InFlight)
	})
	return true
}

func (j *execution) releaseSlot() {
	j.s.records.updateStats(func(st *Stats) { st.InFlight-- })
	<-j.s.slots
}

func (j *execution) withDeadline() (context.Context, context.CancelFunc) {
	ctx := j.r.Context()
	if j.s.cfg.IgnoreCancel {
		ctx = context.WithoutCancel(ctx)
	}
	ms, err := strconv.Atoi(j.r.Header.Get(HeaderDeadline))
	if err != nil {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
}

// abort closes the connection of a request that a crash interrupted.
func (j *execution) abort() {
	j.s.records.updateStats(func(st *Stats) { st.Aborted++ })
	panic(http.ErrAbortHandler)
}

// run does the work of a request that holds a slot, and answers it.
func (j *execution) run() {
	j.s.awaitResume()
	if j.runCtx.Err() != nil {
		j.abort()
	}
	if !j.tokenIsCurrent() {
		j.refuse(http.StatusConflict, "outdated fencing token", func(st *Stats) { st.Fenced++ })
		return
	}
	j.s.records.addStarted(j.who)
	if strings.HasPrefix(j.r.URL.Path, j.s.cfg.PoisonPrefix) {
		j.s.Crash()
		j.abort()
	}
	hash := sha256.New()
	n, err := io.Copy(hash, j.r.Body)
	if err != nil || !j.waitServiceTime(j.serviceTime()) {
		if j.runCtx.Err() != nil {
			j.abort()
		}
		j.s.records.updateStats(func(st *Stats) { st.Canceled++ })
		return
	}
	j.s.records.addCompleted(j.who)
	j.answer(n, hex.EncodeToString(hash.Sum(nil)))
}

// tokenIsCurrent reports whether the request's fencing token is not outdated.
// It accepts requests without a token, because callers that do not use fencing
// send none.
func (j *execution) tokenIsCurrent() bool {
	text := j.r.Header.Get(HeaderToken)
	if !j.s.cfg.ChecksTokens || text == "" {
		return true
	}
	token, ok := parseToken(text)
	if !ok {
		return false
	}
	h := core.HashKey(j.r.Header.Get(HeaderKey))
	r, ok := parseRange(j.r.Header.Get(HeaderRange))
	if !ok {
		r = core.Range{Lo: h, Hi: h}
	}
	return j.s.fence.admit(h, r, token)
}

func (j *execution) serviceTime() time.Duration {
	s := j.s
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.cfg.timeOf(j.r.URL.Path).sample(s.rng)
	if ms, err := strconv.ParseFloat(j.r.Header.Get(HeaderServiceTime), 64); err == nil {
		d = time.Duration(ms * float64(time.Millisecond))
	}
	if left := s.cfg.WarmUpTime - time.Since(s.started); left > 0 && s.cfg.ColdStartFactor > 1 {
		share := float64(left) / float64(s.cfg.WarmUpTime)
		d = time.Duration(float64(d) * (1 + (s.cfg.ColdStartFactor-1)*share))
	}
	return d
}

// waitServiceTime waits for d and reports whether the request may be answered:
// false after a crash, or when the caller closed the connection.
func (j *execution) waitServiceTime(d time.Duration) bool {
	canceled := j.r.Context().Done()
	if j.s.cfg.IgnoreCancel {
		canceled = nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-canceled:
		return false
	case <-j.runCtx.Done():
		return false
	}
	j.s.awaitResume()
	return j.runCtx.Err() == nil
}

func (j *execution) answer(n int64, digest string) {
	j.w.Header().Set(HeaderDigest, digest)
	j.w.Header().Set(HeaderRequestID, j.who.requestID)
	if size, err := strconv.Atoi(j.r.URL.Query().Get("bytes")); err == nil {
		j.w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = io.CopyN(j.w, &repeatReader{text: j.who.requestID + "\n"}, int64(size))
		return
	}
	writeJSON(j.w, Echo{
		Service: j.s.cfg.Service, Path: j.r.URL.Path, Key: j.r.Header.Get(HeaderKey),
		RequestID: j.who.requestID, Length: n, Digest: digest,
	})
}

// repeatReader yields text repeatedly without end.
type repeatReader struct {
	text   string
	offset int
}

func (r *repeatReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = r.text[r.offset]
		r.offset = (r.offset + 1) % len(r.text)
	}
	return len(p), nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
