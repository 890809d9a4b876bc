package backend

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/ring"
	"marjoramshore.example/suspect"
)

const (
	// minDeaths is the number of crashes at which a request is quarantined. With fewer, a
	// request that is sent again during unrelated crashes would be as well.
	minDeaths = 3
	// maxSuspectWait bounds the wait of a marked request for another one to end, and
	// maxHeld the requests that wait for that.
	maxSuspectWait = time.Second
	maxHeld        = 256
	// quarantineRetryAfter is the Retry-After of a quarantined request. Only operators
	// end its quarantine.
	quarantineRetryAfter = time.Minute
	// Callers whose marked requests have waited in vain come back between
	// minSuspectRetryAfter and twice that.
	minSuspectRetryAfter = 500 * time.Millisecond
)

// SuspectLog passes on what the proxy knows of requests that crash backend servers. Its
// methods do not block.
type SuspectLog interface {
	// Spread sends marks to the other nodes of the service.
	Spread(marks []suspect.Mark)
	// Keep keeps a quarantine beyond the end of the process.
	Keep(Quarantine)
}

// Quarantine is a request that is not passed to backend servers any more.
type Quarantine struct {
	Mark suspect.Mark
	// Note describes the request to operators.
	Note string
}

// heldRequest is a marked request that waits for another one to end, so that the next
// crash has one possible cause.
type heldRequest struct {
	request *slotRequest
	since   clock.Instant
}

// marksReceived are marks of other nodes, or of the platform's store.
type marksReceived struct {
	marks  []suspect.Mark
	source string
}

// MergeMarks takes in what others know of requests that crash backend servers. source
// says where it comes from. It reports whether the event loop will take the marks in.
func (p *Proxy) MergeMarks(marks []suspect.Mark, source string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
	defer cancel()
	return p.events.Push(ctx, marksReceived{marks, source}) == nil
}

func (m marksReceived) apply(st *state) {
	quarantined := st.suspects.Merge(st.now(), time.Now(), m.marks)
	st.countMarks()
	for _, mark := range st.suspects.Marks(st.now(), time.Now(), quarantined) {
		q := st.logQuarantine(mark.Fingerprint, m.source)
		// Nodes that have recorded crashes at the same time learn of the last one from one
		// another. None of them has kept the quarantine then.
		if st.cfg.Suspects != nil && slices.ContainsFunc(mark.Deaths, st.hasRecorded) {
			st.cfg.Suspects.Keep(Quarantine{mark, q.Note})
		}
	}
}

// maxRecordedDeaths bounds the crashes that the node remembers to have recorded.
const maxRecordedDeaths = 64

// hasRecorded reports whether this process has recorded a crash.
func (st *state) hasRecorded(d suspect.DeathMark) bool {
	return slices.Contains(st.recordedDeaths, d.ID)
}

// marksQuery asks for the most important marks.
type marksQuery struct{ reply ring.Reply[[]suspect.Mark] }

// maxExported bounds the marks that other nodes are told at once.
const maxExported = 512

// ExportMarks returns what the node knows of requests that crash backend servers, the most
// important marks first. It returns false if ctx ends before.
func (p *Proxy) ExportMarks(ctx context.Context) ([]suspect.Mark, bool) {
	reply := ring.NewReply[[]suspect.Mark]()
	if p.events.Push(ctx, marksQuery{reply}) != nil {
		return nil, false
	}
	return reply.Wait(ctx)
}

func (m marksQuery) apply(st *state) {
	m.reply.Send(st.suspects.Export(st.now(), time.Now(), maxExported))
}

// quarantineLift is the order of an operator to end a quarantine.
type quarantineLift struct{ fingerprint suspect.Fingerprint }

// LiftQuarantine ends the quarantine of a fingerprint by an operator's order.
func (p *Proxy) LiftQuarantine(f suspect.Fingerprint) { p.pushEvent(quarantineLift{f}) }

func (m quarantineLift) apply(st *state) {
	if st.suspects.Lift(st.now(), m.fingerprint) {
		st.cfg.Log.WithField("fingerprint", formatFingerprint(m.fingerprint)).Info("quarantine of a request lifted by an operator")
	}
	st.countMarks()
}

// suspectsKnown says that the quarantines in the platform's store and the marks of other
// nodes are known.
type suspectsKnown struct{}

// SetSuspectsKnown says that MergeMarks has got what was known before this process: the
// quarantines that are kept in the platform's store, and the marks of other nodes.
func (p *Proxy) SetSuspectsKnown() { p.pushEvent(suspectsKnown{}) }

func (suspectsKnown) apply(st *state) {
	if !st.suspectsKnown {
		st.suspectsKnown = true
		st.reopenRun()
	}
}

func formatFingerprint(f suspect.Fingerprint) string { return fmt.Sprintf("%016x", uint64(f)) }

// countMarks publishes how many fingerprints are marked and quarantined. Requests are
// fingerprinted only while there are some.
func (st *state) countMarks() {
	marked, quarantined := st.suspects.Count(st.now())
	st.marked.Store(int64(marked))
	st.quarantined.Store(int64(quarantined))
}

// publishMarks tells the other nodes of the service of changed marks.
func (st *state) publishMarks(fingerprints []suspect.Fingerprint) {
	st.countMarks()
	if st.cfg.Suspects != nil {
		st.cfg.Suspects.Spread(st.suspects.Marks(st.now(), time.Now(), fingerprints))
	}
}

// announceQuarantines logs the fingerprints that this node has quarantined, and keeps
// them beyond the end of the process.
func (st *state) announceQuarantines(fingerprints []suspect.Fingerprint, source string) {
	for _, mark := range st.suspects.Marks(st.now(), time.Now(), fingerprints) {
		q := st.logQuarantine(mark.Fingerprint, source)
		if st.cfg.Suspects != nil {
			st.cfg.Suspects.Keep(Quarantine{mark, q.Note})
		}
	}
}

func (st *state) logQuarantine(f suspect.Fingerprint, source string) suspect.QuarantinedRequest {
	q, _ := st.suspects.Find(st.now(), f)
	st.cfg.Log.WithFields(log.Fields{"fingerprint": formatFingerprint(f), "request": q.Note, "crashes": q.Deaths, "source": source}).
		Warn("request quarantined: backend servers that ran it crashed; it is refused from now on")
	return q
}

// hasSuspects reports whether requests have to be told from those that may crash the
// backend server.
func (p *Proxy) hasSuspects() bool { return p.marked.Load()+p.quarantined.Load() > 0 }

// startSuspect decides whether a request may be offered to the queue now. If not, it has
// been refused or waits.
func (st *state) startSuspect(request *slotRequest) bool {
	switch st.suspects.Start(st.now(), request.fingerprints...) {
	case suspect.Quarantined:
		st.refuseQuarantined(request)
		return false
	case suspect.Hold:
		if len(st.held) == maxHeld {
			refuseSuspect(request)
			return false
		}
		st.counts.held.Add(1)
		st.held = append(st.held, heldRequest{request, st.now()})
		return false
	}
	request.suspectStarted = true
	return true
}

// refuseSuspect refuses a marked request that has waited for too long, or cannot wait.
func refuseSuspect(request *slotRequest) {
	request.decision.Send(&core.Error{
		Code: core.CodeOverloaded, Detail: "the request ran when a backend server crashed, and waited in vain for another such request to end",
		RetryAfter: minSuspectRetryAfter + rand.N(minSuspectRetryAfter),
	})
}

func (st *state) refuseQuarantined(request *slotRequest) {
	st.counts.quarantined.Add(1)
	detail := "the request is quarantined: backend servers that ran it crashed"
	for _, f := range request.fingerprints {
		if q, ok := st.suspects.Find(st.now(), f); ok {
			detail = "fingerprint " + formatFingerprint(f) + " is quarantined: backend servers that ran the request crashed, " + fmt.Sprint(q.Deaths) + " of them"
			break
		}
	}
	request.decision.Send(&core.Error{Code: core.CodeQuarantined, Detail: detail, RetryAfter: quarantineRetryAfter})
}

// endSuspect records the end of a request that was offered to the queue. answered means
// that the backend server has answered it whole.
func (st *state) endSuspect(request *slotRequest, answered bool) {
	if !request.suspectStarted {
		return
	}
	request.suspectStarted = false
	if st.suspects.FinishAll(st.now(), answered, request.fingerprints...) {
		st.publishMarks(request.fingerprints)
	}
	st.offerHeld()
}

// offerHeld offers the held requests that may start now, and refuses those that have
// waited for too long.
func (st *state) offerHeld() {
	if len(st.held) == 0 {
		return
	}
	waiting := st.held
	st.held = nil
	for _, h := range waiting {
		switch {
		case h.request.canceled:
		case st.now().Sub(h.since) >= maxSuspectWait || h.request.ticket.Deadline != 0 && !st.now().Before(h.request.ticket.Deadline):
			refuseSuspect(h.request)
		default:
			verdict := st.suspects.Start(st.now(), h.request.fingerprints...)
			if verdict == suspect.Hold {
				st.held = append(st.held, h)
				continue
			}
			if verdict == suspect.Quarantined {
				st.refuseQuarantined(h.request)
				continue
			}
			h.request.suspectStarted = true
			st.offerToQueue(h.request)
		}
	}
}

// refuseHeld refuses all held requests.
func (st *state) refuseHeld(code core.Code, detail string) {
	for _, h := range st.held {
		h.request.decision.Send(core.Fail(code, detail))
	}
	st.held = nil
}
