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
	HeaderToken     = "Marjoram-Fencing-Token" // "term.sequence"
	HeaderRange     = "Marjoram-Range"         // "lo-hi" in hexadecimal; default: the key's hash
	HeaderKey       = "Marjoram-Key"
	HeaderCustomer  = "Marjoram-Customer"
	HeaderRequestID = "Marjoram-Request-Id"
	HeaderIdemKey   = "Idempotency-Key"
	HeaderDeadline  = "Marjoram-Deadline-Ms" // milliseconds left
	// HeaderWork overrides the service time of one request, in milliseconds.
	HeaderWork = "Standin-Work-Ms"
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

type job struct {
	s    *Server
	w    http.ResponseWriter
	r    *http.Request
	life context.Context
	who  identity
}

func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	j := &job{s: s, w: w, r: r, life: s.awaitThaw(), who: identity{
		id:   r.Header.Get(HeaderRequestID),
		idem: idemKey(r.Header.Get(HeaderCustomer), r.Header.Get(HeaderIdemKey)),
	}}
	s.rec.received(j.who)
	if s.isDraining() {
		j.refuse(http.StatusServiceUnavailable, "draining", func(st *Stats) { st.Drained++ })
		return
	}
	if !j.takeSlot() {
		return
	}
	defer j.leaveSlot()
	j.run()
}

func (j *job) refuse(status int, reason string, count func(*Stats)) {
	j.s.rec.count(count)
	http.Error(j.w, reason, status)
}

// takeSlot waits for a slot in the inner queue. When it returns false, the
// request has been answered.
func (j *job) takeSlot() bool {
	queued := false
	j.s.rec.count(func(st *Stats) {
		if queued = st.Queued < j.s.cfg.Queue || len(j.s.slots) < cap(j.s.slots); queued {
			st.Queued++
			st.PeakQueued = max(st.PeakQueued, st.Queued)
		}
	})
	if !queued {
		j.refuse(http.StatusServiceUnavailable, "overloaded", func(st *Stats) { st.Shed++ })
		return false
	}
	defer j.s.rec.count(func(st *Stats) { st.Queued-- })
	ctx, cancel := j.deadline()
	defer cancel()
	select {
	case j.s.slots <- struct{}{}:
	case <-j.life.Done():
		j.abort()
	case <-ctx.Done():
		j.refuse(http.StatusGatewayTimeout, "deadline passed in queue", func(st *Stats) { st.Expired++ })
		return false
	}
	j.s.rec.count(func(st *Stats) {
		st.InFlight++
		st.PeakInFlight = max(st.PeakInFlight, st.InFlight)
	})
	return true
}

func (j *job) leaveSlot() {
	j.s.rec.count(func(st *Stats) { st.InFlight-- })
	<-j.s.slots
}

func (j *job) deadline() (context.Context, context.CancelFunc) {
	ctx := j.r.Context()
	if j.s.cfg.IgnoresCancel {
		ctx = context.WithoutCancel(ctx)
	}
	ms, err := strconv.Atoi(j.r.Header.Get(HeaderDeadline))
	if err != nil {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
}

func (j *job) abort() {
	j.s.rec.count(func(st *Stats) { st.Aborted++ })
	panic(http.ErrAbortHandler)
}

// run does the work while it holds a slot.
func (j *job) run() {
	j.s.awaitThaw()
	if j.life.Err() != nil {
		j.abort()
	}
	if !j.tokenIsCurrent() {
		j.refuse(http.StatusConflict, "outdated fencing token", func(st *Stats) { st.Fenced++ })
		return
	}
	j.s.rec.started(j.who)
	if strings.HasPrefix(j.r.URL.Path, j.s.cfg.PoisonPrefix) {
		j.s.Crash()
		j.abort()
	}
	hash := sha256.New()
	n, err := io.Copy(hash, j.r.Body)
	if err != nil || !j.spend(j.serviceTime()) {
		if j.life.Err() != nil {
			j.abort()
		}
		j.s.rec.count(func(st *Stats) { st.Canceled++ })
		return
	}
	j.s.rec.completed(j.who)
	j.answer(n, hex.EncodeToString(hash.Sum(nil)))
}

// tokenIsCurrent also accepts requests without a token, because callers that
// know nothing of fencing send none.
func (j *job) tokenIsCurrent() bool {
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

func (j *job) serviceTime() time.Duration {
	s := j.s
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.cfg.timeOf(j.r.URL.Path).sample(s.rng)
	if ms, err := strconv.ParseFloat(j.r.Header.Get(HeaderWork), 64); err == nil {
		d = time.Duration(ms * float64(time.Millisecond))
	}
	if left := s.cfg.ColdFor - time.Since(s.started); left > 0 && s.cfg.ColdFactor > 1 {
		share := float64(left) / float64(s.cfg.ColdFor)
		d = time.Duration(float64(d) * (1 + (s.cfg.ColdFactor-1)*share))
	}
	return d
}

// spend waits for d and reports whether the work may be answered.
func (j *job) spend(d time.Duration) bool {
	gone := j.r.Context().Done()
	if j.s.cfg.IgnoresCancel {
		gone = nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-gone:
		return false
	case <-j.life.Done():
		return false
	}
	j.s.awaitThaw()
	return j.life.Err() == nil
}

func (j *job) answer(n int64, digest string) {
	j.w.Header().Set(HeaderDigest, digest)
	j.w.Header().Set(HeaderRequestID, j.who.id)
	if size, err := strconv.Atoi(j.r.URL.Query().Get("bytes")); err == nil {
		j.w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = io.CopyN(j.w, &repeat{text: j.who.id + "\n"}, int64(size))
		return
	}
	writeJSON(j.w, Echo{
		Service: j.s.cfg.Service, Path: j.r.URL.Path, Key: j.r.Header.Get(HeaderKey),
		RequestID: j.who.id, Length: n, Digest: digest,
	})
}

// repeat yields text over and over.
type repeat struct {
	text string
	at   int
}

func (r *repeat) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = r.text[r.at]
		r.at = (r.at + 1) % len(r.text)
	}
	return len(p), nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
