package backend

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"
	"strings"
	"syscall"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/clock"
	"marjoramshore.example/shards"
	"marjoramshore.example/suspect"
)

const (
	// maxLost bounds the requests without an answer that are remembered, and
	// lostRetention the time for which they are. A backend server is back within that.
	maxLost       = 256
	lostRetention = 30 * time.Second
	// crashSilence is the number of intervals without a report after which a run that
	// has broken off requests counts as crashed. A run that is back sooner reports.
	crashSilence = 1.5
	// maxLoggedIDs bounds the requests that the line of a crash names, and maxLostText the
	// bytes that are kept of each text that a caller has sent.
	maxLoggedIDs = 8
	maxLostText  = 128
)

// lostRequest is a request that reached the backend server and was not answered.
type lostRequest struct {
	id           string
	instance     string
	note         string
	fingerprints []suspect.Fingerprint
	at           clock.Instant
	// broken is set if the backend server ended the connection. Otherwise the node gave
	// the request up, and the backend server may have worked on it until mayRunUntil.
	broken      bool
	mayRunUntil clock.Instant
}

// describeLost returns the record of a request that was sent and not answered.
func (p *Proxy) describeLost(ctx context.Context, i identity, err error) *lostRequest {
	l := &lostRequest{
		id: clip(i.req.ID), instance: i.req.Instance, fingerprints: i.fingerprints(),
		note:   clip(i.req.Method + " " + i.req.Path + " of " + string(i.req.Origin)),
		broken: ctx.Err() == nil && isConnectionEnd(err),
	}
	if !i.req.Deadline.IsZero() {
		l.mayRunUntil = p.cfg.Clock.Now().Add(time.Until(i.req.Deadline))
	}
	return l
}

// clip returns a copy of the first maxLostText bytes of a text.
func clip(text string) string { return strings.Clone(text[:min(len(text), maxLostText)]) }

// isConnectionEnd reports whether an exchange failed because the backend server ended
// the connection.
func isConnectionEnd(err error) bool {
	for _, end := range []error{syscall.ECONNRESET, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// noteLost remembers a request without an answer.
func (st *state) noteLost(l *lostRequest) {
	l.at = st.now()
	st.lost = append(st.lost, *l)
	st.lost = st.lost[max(0, len(st.lost)-maxLost):]
}

// noteAnswer takes the answer to a request that got its slot at startedAt as proof that
// the run has survived the requests that broke off before. Those that the node gave up
// may still run.
func (st *state) noteAnswer(startedAt clock.Instant) {
	st.lastAnswerAt = st.now()
	kept := st.lost[:0]
	for _, l := range st.lost {
		if !l.broken || l.at.After(startedAt) || l.instance != st.run.Holder.Instance {
			kept = append(kept, l)
		}
	}
	st.lost = kept
}

// checkCrash records the crash of a run that has broken off requests and is silent since.
// It may be back only after the request that crashed it has come again elsewhere.
func (st *state) checkCrash() {
	for len(st.lost) > 0 && st.now().Sub(max(st.lost[0].at, st.lost[0].mayRunUntil)) > lostRetention {
		st.lost = st.lost[1:]
	}
	silence := time.Duration(crashSilence * float64(st.cfg.ReportInterval))
	if broken, ok := st.firstBroken(); ok && st.now().Sub(max(st.lastReport, broken)) >= silence {
		st.recordCrash("reports are missing")
	}
}

// firstBroken returns when the present run first broke off a request, of those that no
// later answer has cleared.
func (st *state) firstBroken() (clock.Instant, bool) {
	for _, l := range st.lost {
		if l.broken && l.instance == st.run.Holder.Instance {
			return l.at, true
		}
	}
	return 0, false
}

// recordCrash marks the requests that the present run may have been at work on when it
// crashed. A run that has announced its leave ends without a crash.
func (st *state) recordCrash(sign string) {
	run := st.run.Holder
	if run == shards.NoHolder || st.run.Leaving || st.crashed == run {
		return
	}
	crashedAt, ok := st.firstBroken()
	if !ok {
		crashedAt = max(st.lastReport, st.lastAnswerAt)
	}
	var inflight []suspect.InflightRequest
	var ids []string
	var marked []suspect.Fingerprint
	kept := st.lost[:0]
	for _, l := range st.lost {
		if l.instance != run.Instance {
			kept = append(kept, l)
			continue
		}
		if !l.broken && l.mayRunUntil.Before(crashedAt) {
			continue
		}
		ids = append(ids, l.id)
		for _, f := range l.fingerprints {
			inflight = append(inflight, suspect.InflightRequest{Fingerprint: f, Note: l.note})
			marked = append(marked, f)
		}
	}
	st.lost = kept
	if len(inflight) == 0 {
		return
	}
	st.crashed = run
	st.counts.crashes.Add(1)
	st.cfg.Log.WithFields(log.Fields{
		"instance": run.Instance, "sign": sign, "requests": len(ids), "ids": strings.Join(ids[:min(len(ids), maxLoggedIDs)], ","),
		"crashed_ms_ago": st.now().Sub(crashedAt).Milliseconds(),
	}).Warn("backend server crashed with requests in flight, which are marked as its possible cause")
	st.recordedDeaths = append(st.recordedDeaths, deathOf(run))
	st.recordedDeaths = st.recordedDeaths[max(0, len(st.recordedDeaths)-maxRecordedDeaths):]
	quarantined := st.suspects.RecordDeath(crashedAt, deathOf(run), inflight)
	st.publishMarks(marked)
	st.announceQuarantines(quarantined, "a crash of the backend server beside this node")
}

// deathOf identifies the end of a run, which several nodes may hear of.
func deathOf(run shards.Holder) suspect.DeathID {
	sum := sha256.Sum256(binary.AppendVarint([]byte(string(run.Node)+"\x00"+run.Instance+"\x00"), run.Born))
	return suspect.DeathID(binary.LittleEndian.Uint64(sum[:8]))
}
