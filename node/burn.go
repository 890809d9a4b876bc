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

// callBurn is the control method that returns a node's burn snapshot.
const callBurn = "burn"

const (
	// burnSamples bounds finished requests on their way to the meter.
	burnSamples = 1024
	// uploadLength is the body length from which work counts as an upload.
	uploadLength = 1 << 20
	// burnTimeout bounds the answers of the fleet, so that a report comes even
	// when nodes do not answer.
	burnTimeout = 2 * time.Second
)

type burnMessage struct {
	sample     burn.Sample
	objectives []burn.Objective
	reply      ring.Reply[*burn.Snapshot]
	ask        bool
}

// burnDuty owns the meter of the requests that entered at this node.
type burnDuty struct {
	in    *ring.Ring[burnMessage]
	clock clock.Clock
}

func newBurnDuty(c clock.Clock) *burnDuty {
	return &burnDuty{in: ring.New[burnMessage]("burn", burnSamples, ring.DropOldest), clock: c}
}

func (d *burnDuty) run(ctx context.Context) {
	m := burn.NewMeter(nil)
	ring.Consume(ctx, d.in, 0, func(x burnMessage) {
		switch {
		case x.ask:
			x.reply.Send(m.Snapshot(d.clock.Now(), time.Now()))
		case x.objectives != nil:
			m.SetObjectives(x.objectives)
		default:
			m.Record(d.clock.Now(), x.sample)
		}
	}, nil)
}

func (d *burnDuty) push(m burnMessage) { _ = d.in.Push(context.Background(), m) }

func workOf(req *core.Request) burn.Work {
	switch {
	case req.Kind == core.KindLong || req.Length >= uploadLength:
		return burn.Upload
	case !req.Idempotent:
		return burn.Submission
	default:
		return burn.ShortLookup
	}
}

func (d *burnDuty) record(req *core.Request, ok bool, took time.Duration) {
	d.push(burnMessage{sample: burn.Sample{Service: req.Service, Work: workOf(req), Customer: req.Customer, Key: req.Key, OK: ok, Latency: took}})
}

// failed counts a request without a proper answer, unless the caller itself
// was at fault or left.
func (d *burnDuty) failed(req *core.Request, code core.Code, took time.Duration) {
	switch code.Outcome() {
	case core.OutcomeBadRequest, core.OutcomeQuarantined:
		return
	}
	if code != core.CodeCanceledNotRun && code != core.CodeDuplicate {
		d.record(req, false, took)
	}
}

// track counts an answer when its body has ended.
func (d *burnDuty) track(req *core.Request, resp *core.Response, start time.Time) *core.Response {
	resp.Body = &countedBody{ReadCloser: resp.Body, ended: func(whole bool) {
		d.record(req, whole && resp.Status < 500, time.Since(start))
	}}
	return resp
}

type countedBody struct {
	io.ReadCloser
	ended func(whole bool)
	done  atomic.Bool
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !b.done.Swap(true) {
		b.ended(err == io.EOF)
	}
	return n, err
}

func (b *countedBody) Close() error {
	if !b.done.Swap(true) {
		b.ended(false)
	}
	return b.ReadCloser.Close()
}

func (d *burnDuty) snapshot(ctx context.Context) (*burn.Snapshot, error) {
	reply := ring.NewReply[*burn.Snapshot]()
	d.push(burnMessage{reply: reply, ask: true})
	s, ok := reply.Wait(ctx)
	if !ok {
		return nil, core.Fail(core.CodeUnavailable, "burn report timed out")
	}
	return s, nil
}

func (n *Node) answerBurn(ctx context.Context, _ []byte) ([]byte, error) {
	s, err := n.burn.snapshot(ctx)
	if err != nil {
		return nil, err
	}
	return json.Marshal(s)
}

// gatherBurn merges the reports of the fleet and names the nodes that did not
// answer.
func (n *Node) gatherBurn(ctx context.Context, c *control.Control, html bool) (operator.Burn, error) {
	ctx, cancel := context.WithTimeout(ctx, burnTimeout)
	defer cancel()
	var total *burn.Snapshot
	var silent []string
	for _, a := range c.Gather(ctx, callBurn, nil) {
		s := new(burn.Snapshot)
		if a.Err != nil || json.Unmarshal(a.Payload, s) != nil {
			silent = append(silent, string(a.Member.Node))
			continue
		}
		if total == nil {
			total = s
		} else {
			total = burn.Merge(total, s)
		}
	}
	if total == nil {
		return operator.Burn{}, core.Fail(core.CodeUnavailable, "no node answered")
	}
	return render(total, silent, html)
}

func render(s *burn.Snapshot, silent []string, html bool) (operator.Burn, error) {
	var out operator.Burn
	var text, page bytes.Buffer
	if err := report.Text(&text, s); err != nil {
		return out, core.Wrap(core.CodeInternal, err, "burn report")
	}
	if len(silent) > 0 {
		text.WriteString("no answer from " + strings.Join(silent, ", ") + "\n")
	}
	if html {
		if err := report.HTML(&page, s); err != nil {
			return out, core.Wrap(core.CodeInternal, err, "burn page")
		}
	}
	data, err := json.Marshal(s)
	if err != nil {
		return out, core.Wrap(core.CodeInternal, err, "burn report")
	}
	return operator.Burn{Report: data, Text: text.String(), HTML: page.String()}, nil
}

// objectives translates the declared objectives.
func objectives(d intent.Declaration) []burn.Objective {
	out := []burn.Objective{}
	for _, s := range d.Services {
		for _, o := range s.Objectives {
			works := []burn.Work{burn.ShortLookup, burn.Submission}
			if o.Kind == "long" {
				works = []burn.Work{burn.Upload}
			}
			for _, w := range works {
				out = append(out, burn.Objective{Service: s.Name, Work: w, Availability: o.Availability,
					Latency: time.Duration(o.LatencyMs) * time.Millisecond, LatencyShare: o.LatencyShare})
			}
		}
	}
	return out
}
