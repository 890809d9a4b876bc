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

// Outcomes that the generator itself determines; the others come from the
// router's Marjoram-Outcome field.
const (
	outcomeDropped        = "dropped"    // no worker was free
	outcomeConnectionLost = "connection" // the connection broke before an answer
	outcomeTruncated      = "cut"        // the answer ended before its full length
	outcomeCorrupted      = "corrupted"  // a complete answer that belongs to another request or body
)

// sendWithResends sends one request, and resends it when its class is
// AtMostOnce and the outcome allows it.
func (r *Runner) sendWithResends(ctx context.Context, s scheduledRequest) {
	id := string(r.cfg.Service) + "-" + r.runID + "-" + strconv.FormatUint(s.seq, 36)
	var last sample
	attempts := 1
	if s.class.AtMostOnce {
		attempts += r.cfg.MaxResends
	}
	for i := range attempts {
		last = r.sendAttempt(ctx, s, id, i)
		last.attempts = i + 1
		if ctx.Err() != nil || !mayResend(last.outcome) {
			break
		}
	}
	last.latency = time.Since(s.scheduledAt)
	_ = r.samples.Push(context.Background(), last)
}

func mayResend(outcome string) bool {
	return outcome == outcomeConnectionLost || outcome == outcomeTruncated ||
		outcome == string(core.OutcomeUnknown) || outcome == string(core.OutcomeRefusedNotRun)
}

func (r *Runner) sendAttempt(ctx context.Context, s scheduledRequest, id string, attempt int) sample {
	out := sample{class: s.class.Name, id: id + "-" + strconv.Itoa(attempt)}
	deadline := s.class.Deadline
	if deadline <= 0 {
		deadline = 5 * time.Second
	}
	ctx, cancel := context.WithTimeout(ctx, deadline+time.Second)
	defer cancel()
	target := r.cfg.Targets[(s.targetIndex+attempt)%len(r.cfg.Targets)]
	direct := target
	if r.cfg.SendToOwner && attempt == 0 {
		direct = r.owners.get(s.key, target)
	}
	resp, digest, err := r.exchange(ctx, s, direct, out.id, deadline)
	if direct != target && dialFailed(err) {
		resp, digest, err = r.exchange(ctx, s, target, out.id, deadline)
	}
	if err != nil {
		out.outcome = outcomeConnectionLost
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	out.outcome, out.reason = resp.Header.Get("Marjoram-Outcome"), resp.Header.Get("Marjoram-Reason")
	if owner := resp.Header.Get("Marjoram-Owner"); owner != "" {
		r.owners.put(s.key, owner)
	}
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		out.outcome = outcomeTruncated
	case out.outcome == string(core.OutcomeAnswered) && resp.StatusCode < 300 && !answersRequest(body, out.id, digest):
		out.outcome = outcomeCorrupted
	}
	return out
}

func (r *Runner) exchange(ctx context.Context, s scheduledRequest, target, id string, deadline time.Duration) (*http.Response, string, error) {
	req, digest, err := r.newRequest(ctx, s, target, id, deadline)
	if err != nil {
		return nil, "", err
	}
	resp, err := r.client.Do(req)
	return resp, digest, err
}

// dialFailed reports whether err means that the connection could not be
// opened, as when a remembered owner has stopped.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (r *Runner) newRequest(ctx context.Context, s scheduledRequest, target, id string, deadline time.Duration) (*http.Request, string, error) {
	c := s.class
	var body io.Reader
	digest := hex.EncodeToString(sha256.New().Sum(nil))
	if c.BodyBytes > 0 {
		body = newPattern(s.seq, c.BodyBytes)
		digest = patternDigest(s.seq, c.BodyBytes)
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+target+c.Path, body)
	if err != nil {
		return nil, "", core.Wrap(core.CodeInvalid, err, "load: create request")
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
		h.Set("Idempotency-Key", string(r.cfg.Service)+"-"+r.runID+"-"+strconv.FormatUint(s.seq, 36))
		h.Set("Marjoram-Issued-At", strconv.FormatInt(s.scheduledAt.UnixMilli(), 10))
	}
	return req, digest, nil
}

// answersRequest reports whether a stand-in backend server's answer states the
// request's id and the digest of its complete body.
func answersRequest(body []byte, id, digest string) bool {
	var echo struct {
		RequestID string `json:"request_id"`
		Digest    string `json:"sha256"`
	}
	if json.Unmarshal(body, &echo) != nil {
		return false
	}
	return echo.RequestID == id && echo.Digest == digest
}

// pattern generates a body that depends on its seed, without a buffer for it.
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
