package load

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"marjoramshore.example/core"
)

// Outcomes that only the generator knows.
const (
	outcomeDropped   = "dropped"    // no worker was free
	outcomeConnLost  = "connection" // the connection broke before an answer
	outcomeCut       = "cut"        // the answer broke off, and was seen to
	outcomeCorrupted = "corrupted"  // a whole answer that is not the request's own
)

// fire sends one request, and resends it as its class allows.
func (r *Runner) fire(ctx context.Context, s shot) {
	id := string(r.cfg.Service) + "-" + r.run + "-" + strconv.FormatUint(s.seq, 36)
	var last sample
	attempts := 1
	if s.class.AtMostOnce {
		attempts += r.cfg.Resends
	}
	for i := range attempts {
		last = r.send(ctx, s, id, i)
		last.attempts = i + 1
		if ctx.Err() != nil || !resend(last.outcome) {
			break
		}
	}
	last.latency = time.Since(s.at)
	_ = r.results.Push(context.Background(), last)
}

func resend(outcome string) bool {
	return outcome == outcomeConnLost || outcome == outcomeCut ||
		outcome == string(core.OutcomeUnknown) || outcome == string(core.OutcomeRefusedNotRun)
}

func (r *Runner) send(ctx context.Context, s shot, id string, attempt int) sample {
	out := sample{class: s.class.Name, id: id + "-" + strconv.Itoa(attempt)}
	deadline := s.class.Deadline
	if deadline <= 0 {
		deadline = 5 * time.Second
	}
	ctx, cancel := context.WithTimeout(ctx, deadline+time.Second)
	defer cancel()
	target := r.cfg.Targets[(s.target+attempt)%len(r.cfg.Targets)]
	direct := target
	if r.cfg.SendToOwner && attempt == 0 {
		direct = r.hints.get(s.key, target)
	}
	resp, digest, err := r.exchange(ctx, s, direct, out.id, deadline)
	if direct != target && notSent(err) {
		resp, digest, err = r.exchange(ctx, s, target, out.id, deadline)
	}
	if err != nil {
		out.outcome = outcomeConnLost
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	out.outcome, out.reason = resp.Header.Get("Marjoram-Outcome"), resp.Header.Get("Marjoram-Reason")
	if owner := resp.Header.Get("Marjoram-Owner"); owner != "" {
		r.hints.put(s.key, owner)
	}
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		out.outcome = outcomeCut
	case out.outcome == string(core.OutcomeAnswered) && resp.StatusCode < 300 && !whole(body, out.id, digest):
		out.outcome = outcomeCorrupted
	}
	return out
}

func (r *Runner) exchange(ctx context.Context, s shot, target, id string, deadline time.Duration) (*http.Response, string, error) {
	req, digest, err := r.request(ctx, s, target, id, deadline)
	if err != nil {
		return nil, "", err
	}
	resp, err := r.client.Do(req)
	return resp, digest, err
}

// notSent reports whether the connection could not be opened, as when a
// remembered owner has stopped.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (r *Runner) request(ctx context.Context, s shot, target, id string, deadline time.Duration) (*http.Request, string, error) {
	c := s.class
	var body io.Reader
	digest := hex.EncodeToString(sha256.New().Sum(nil))
	if c.BodyBytes > 0 {
		body = newPattern(s.seq, c.BodyBytes)
		digest = patternDigest(s.seq, c.BodyBytes)
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+target+c.Path, body)
	if err != nil {
		return nil, "", core.Wrap(core.CodeInvalid, err, "load: request")
	}
	if c.BodyBytes > 0 {
		req.ContentLength = c.BodyBytes
	}
	h := req.Header
	h.Set("Marjoram-Service", string(r.cfg.Service))
	h.Set("Marjoram-Key", s.key)
	h.Set("Marjoram-Customer", s.customer)
	h.Set("Marjoram-Request-Id", id)
	h.Set("Marjoram-Idempotent", strconv.FormatBool(c.Idempotent))
	h.Set("Marjoram-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if c.Kind != "" {
		h.Set("Marjoram-Kind", c.Kind)
	}
	if c.AtMostOnce {
		h.Set("Idempotency-Key", string(r.cfg.Service)+"-"+r.run+"-"+strconv.FormatUint(s.seq, 36))
		h.Set("Marjoram-Issued-At", strconv.FormatInt(s.at.UnixMilli(), 10))
	}
	return req, digest, nil
}

// whole reports whether an answer of the stand-in backend server belongs to
// the request and to the whole of its body.
func whole(body []byte, id, digest string) bool {
	var echo struct {
		RequestID string `json:"request_id"`
		Digest    string `json:"sha256"`
	}
	if json.Unmarshal(body, &echo) != nil {
		return false
	}
	return echo.RequestID == id && echo.Digest == digest
}

// pattern is a body that differs for each request and costs no memory.
type pattern struct {
	next byte
	left int64
}

func newPattern(seed uint64, n int64) *pattern { return &pattern{next: byte(seed), left: n} }

func (p *pattern) Read(b []byte) (int, error) {
	if p.left == 0 {
		return 0, io.EOF
	}
	n := int(min(int64(len(b)), p.left))
	for i := range n {
		b[i] = p.next
		p.next += 7
	}
	p.left -= int64(n)
	return n, nil
}

func patternDigest(seed uint64, n int64) string {
	h := sha256.New()
	_, _ = io.Copy(h, newPattern(seed, n))
	return hex.EncodeToString(h.Sum(nil))
}
