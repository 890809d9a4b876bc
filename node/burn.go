package node

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"sync/atomic"
	"time"

	"marjoramshore.example/burn"
	"marjoramshore.example/burn/report"
	"marjoramshore.example/clock"
	"marjoramshore.example/control"
	"marjoramshore.example/core"
	"marjoramshore.example/intent"
	"marjoramshore.example/operator"
	"marjoramshore.example/ring"
)

// methodBurn is the control method that returns a node's burn snapshot.
const methodBurn = "burn"

const (
	// burnQueueSize bounds the queued results of requests; the oldest are
	// dropped.
	burnQueueSize = 1024
	// minUploadBytes is the body length from which a request counts as an
	// upload.
	minUploadBytes = 1 << 20
	// burnGatherTimeout bounds the wait for the snapshots of all nodes, so that
	// there is a report even when some do not answer.
	burnGatherTimeout = 2 * time.Second
)

// burnMessage is the result of one request, or new objectives when they are not
// nil, or a query for a snapshot when isQuery is set.
type burnMessage struct {
	sample     burn.Sample
	objectives []burn.Objective
	reply      ring.Reply[*burn.Snapshot]
	isQuery    bool
}

// burnDuty is the duty that owns the meter of the requests that entered at this
// node. It measures how fast they burn the error budgets of the objectives.
type burnDuty struct {
	queue *ring.Ring[burnMessage]
	clock clock.Clock
}

func newBurnDuty(c clock.Clock) *burnDuty {
	return &burnDuty{queue: ring.New[burnMessage]("burn", burnQueueSize, ring.DropOldest), clock: c}
}

func (d *burnDuty) run(ctx context.Context) {
	meter := burn.NewMeter(nil)
	ring.Consume(ctx, d.queue, 0, func(m burnMessage) {
		switch {
		case m.isQuery:
			m.reply.Send(meter.Snapshot(d.clock.Now(), time.Now()))
		case m.objectives != nil:
			meter.SetObjectives(m.objectives)
		default:
			meter.Record(d.clock.Now(), m.sample)
		}
	}, nil)
}

func (d *burnDuty) enqueue(m burnMessage) { _ = d.queue.Push(context.Background(), m) }

func classifyWork(req *core.Request) burn.Work {
	switch {
	case req.Kind == core.KindLong || req.Length >= minUploadBytes:
		return burn.Upload
	case !req.Idempotent:
		return burn.Submission
	default:
		return burn.ShortLookup
	}
}

func (d *burnDuty) record(req *core.Request, ok bool, latency time.Duration) {
	d.enqueue(burnMessage{sample: burn.Sample{Service: req.Service, Work: classifyWork(req), Customer: req.Customer, Key: req.Key, OK: ok, Latency: latency}})
}

// recordFailure counts a request that ended in an error, unless the caller
// caused it or left before the request ran.
func (d *burnDuty) recordFailure(req *core.Request, code core.Code, latency time.Duration) {
	switch code.Outcome() {
	case core.OutcomeBadRequest, core.OutcomeQuarantined:
		return
	}
	if code != core.CodeCanceledNotRun && code != core.CodeDuplicate {
		d.record(req, false, latency)
	}
}

// recordAtEnd counts an answer once its body has been read or closed. A body
// that is closed early counts as a failure.
func (d *burnDuty) recordAtEnd(req *core.Request, resp *core.Response, start time.Time) *core.Response {
	resp.Body = &observedBody{ReadCloser: resp.Body, onEnd: func(complete bool) {
		d.record(req, complete && resp.Status < 500, time.Since(start))
	}}
	return resp
}

// observedBody calls onEnd once, when the body ends, fails or is closed.
type observedBody struct {
	io.ReadCloser
	onEnd func(complete bool)
	ended atomic.Bool
}

func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !b.ended.Swap(true) {
		b.onEnd(err == io.EOF)
	}
	return n, err
}

func (b *observedBody) Close() error {
	if !b.ended.Swap(true) {
		b.onEnd(false)
	}
	return b.ReadCloser.Close()
}

func (d *burnDuty) snapshot(ctx context.Context) (*burn.Snapshot, error) {
	reply := ring.NewReply[*burn.Snapshot]()
	d.enqueue(burnMessage{reply: reply, isQuery: true})
	snapshot, ok := reply.Wait(ctx)
	if !ok {
		return nil, core.Fail(core.CodeUnavailable, "burn meter did not answer in time")
	}
	return snapshot, nil
}

func (n *Node) handleBurn(ctx context.Context, _ []byte) ([]byte, error) {
	snapshot, err := n.burn.snapshot(ctx)
	if err != nil {
		return nil, err
	}
	return json.Marshal(snapshot)
}

// gatherBurn renders the merged snapshots of all nodes. The text names the
// nodes that did not answer.
func (n *Node) gatherBurn(ctx context.Context, c *control.Controller, html bool) (operator.BurnReport, error) {
	ctx, cancel := context.WithTimeout(ctx, burnGatherTimeout)
	defer cancel()
	var total *burn.Snapshot
	var unanswered []string
	for _, answer := range c.CallAll(ctx, methodBurn, nil) {
		snapshot := new(burn.Snapshot)
		if answer.Err != nil || json.Unmarshal(answer.Payload, snapshot) != nil {
			unanswered = append(unanswered, string(answer.Member.Node))
			continue
		}
		if total == nil {
			total = snapshot
		} else {
			total = burn.Merge(total, snapshot)
		}
	}
	if total == nil {
		return operator.BurnReport{}, core.Fail(core.CodeUnavailable, "burn report: no node answered")
	}
	return renderBurn(total, unanswered, html)
}

func renderBurn(snapshot *burn.Snapshot, unanswered []string, html bool) (operator.BurnReport, error) {
	var rendered operator.BurnReport
	var text, page bytes.Buffer
	if err := report.Text(&text, snapshot); err != nil {
		return rendered, core.Wrap(core.CodeInternal, err, "burn report: render text")
	}
	if len(unanswered) > 0 {
		text.WriteString("no answer from " + strings.Join(unanswered, ", ") + "\n")
	}
	if html {
		if err := report.HTML(&page, snapshot); err != nil {
			return rendered, core.Wrap(core.CodeInternal, err, "burn report: render page")
		}
	}
	data, err := json.Marshal(snapshot)
	if err != nil {
		return rendered, core.Wrap(core.CodeInternal, err, "burn report: encode")
	}
	return operator.BurnReport{Report: data, Text: text.String(), HTML: page.String()}, nil
}

// burnObjectives converts the declared objectives. An objective for long
// requests applies to uploads, any other to short lookups and submissions.
func burnObjectives(declaration intent.Declaration) []burn.Objective {
	objectives := []burn.Objective{}
	for _, service := range declaration.Services {
		for _, objective := range service.Objectives {
			works := []burn.Work{burn.ShortLookup, burn.Submission}
			if objective.Kind == "long" {
				works = []burn.Work{burn.Upload}
			}
			for _, work := range works {
				objectives = append(objectives, burn.Objective{Service: service.Name, Work: work, Availability: objective.Availability,
					Latency: time.Duration(objective.LatencyMs) * time.Millisecond, LatencyShare: objective.LatencyShare})
			}
		}
	}
	return objectives
}
