package membership

import (
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// DampingConfig configures how long a node that bounces is held back.
type DampingConfig struct {
	// First is the hold after the second loss within Forget; it doubles with
	// each further loss up to Longest. A single restart is not held back.
	First, Longest time.Duration
	// Forget is how long a node must stay up for its losses to be forgotten.
	Forget time.Duration
	// Nodes bounds how many nodes are remembered.
	Nodes int
}

// DefaultDampingConfig holds for 5 s to 5 min, so that a node in a crash loop moves
// its keys at most a dozen times an hour.
func DefaultDampingConfig() DampingConfig {
	return DampingConfig{First: 5 * time.Second, Longest: 5 * time.Minute, Forget: 10 * time.Minute, Nodes: 64}
}

type bounce struct {
	node   core.NodeID
	run    core.Incarnation
	losses int
	since  clock.Instant
	until  clock.Instant
}

// Damper remembers which nodes bounce. Its state is bounded: the node whose
// last change is oldest is forgotten first.
type Damper struct {
	cfg   DampingConfig
	nodes []bounce
}

// NewDamper returns an empty Damper.
func NewDamper(cfg DampingConfig) *Damper { return &Damper{cfg: cfg} }

// RecordLoss notes that a run was lost at now. Repeated reports of one run count
// once.
func (d *Damper) RecordLoss(m core.Member, now clock.Instant) {
	b := d.find(m.Node)
	if b == nil {
		d.add(bounce{node: m.Node, run: m.Incarnation, losses: 1, since: now})
		return
	}
	if b.run == m.Incarnation && b.losses > 0 && now < b.since.Add(d.cfg.First) {
		return
	}
	if now >= b.since.Add(d.cfg.Forget) {
		b.losses = 0
	}
	b.losses++
	b.run, b.since = m.Incarnation, now
	b.until = now.Add(d.hold(b.losses))
}

// hold returns the hold time after the given number of losses.
func (d *Damper) hold(losses int) time.Duration {
	if losses < 2 {
		return 0
	}
	h := d.cfg.First
	for range losses - 2 {
		if h >= d.cfg.Longest/2 {
			return d.cfg.Longest
		}
		h *= 2
	}
	return min(h, d.cfg.Longest)
}

// Eligible reports whether m may be given ranges. It fits
// ownership.Config.Eligible.
func (d *Damper) Eligible(m core.Member, now clock.Instant) bool {
	b := d.find(m.Node)
	return b == nil || now >= b.until
}

// HeldUntil returns when a node becomes eligible again; zero when it is.
func (d *Damper) HeldUntil(node core.NodeID) clock.Instant {
	if b := d.find(node); b != nil {
		return b.until
	}
	return 0
}

func (d *Damper) find(node core.NodeID) *bounce {
	for i := range d.nodes {
		if d.nodes[i].node == node {
			return &d.nodes[i]
		}
	}
	return nil
}

func (d *Damper) add(b bounce) {
	if len(d.nodes) < d.cfg.Nodes {
		d.nodes = append(d.nodes, b)
		return
	}
	oldest := 0
	for i := range d.nodes {
		if d.nodes[i].since < d.nodes[oldest].since {
			oldest = i
		}
	}
	d.nodes[oldest] = b
}
