package membership

import (
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// DampingConfig sets how long a node that was lost repeatedly is excluded from
// owning ranges.
type DampingConfig struct {
	// InitialHold is the hold time after the second loss within ResetAfter. It
	// doubles with each further loss, up to MaxHold. A single loss, as in a
	// restart, causes no hold.
	InitialHold, MaxHold time.Duration
	// ResetAfter is the time since the last loss after which the count of losses
	// starts again.
	ResetAfter time.Duration
	// MaxNodes is the largest number of nodes whose losses are recorded.
	MaxNodes int
}

// DefaultDampingConfig returns a configuration with holds of 5 s to 5 min, so
// that the keys of a node in a crash loop move at most a dozen times an hour.
func DefaultDampingConfig() DampingConfig {
	return DampingConfig{InitialHold: 5 * time.Second, MaxHold: 5 * time.Minute, ResetAfter: 10 * time.Minute, MaxNodes: 64}
}

// lossRecord is the loss history of one node.
type lossRecord struct {
	node      core.NodeID
	run       core.Incarnation
	losses    int
	lastLoss  clock.Instant
	heldUntil clock.Instant
}

// Damper records the losses of nodes and holds nodes back after repeated ones.
// When it is full, a new node replaces the one whose last loss is oldest.
type Damper struct {
	cfg   DampingConfig
	nodes []lossRecord
}

// NewDamper returns an empty Damper.
func NewDamper(cfg DampingConfig) *Damper { return &Damper{cfg: cfg} }

// RecordLoss records that the run m was lost at now. A repeated report of the
// same run within InitialHold is ignored.
func (d *Damper) RecordLoss(m core.Member, now clock.Instant) {
	record := d.find(m.Node)
	if record == nil {
		d.insert(lossRecord{node: m.Node, run: m.Incarnation, losses: 1, lastLoss: now})
		return
	}
	if record.run == m.Incarnation && record.losses > 0 && now < record.lastLoss.Add(d.cfg.InitialHold) {
		return
	}
	if now >= record.lastLoss.Add(d.cfg.ResetAfter) {
		record.losses = 0
	}
	record.losses++
	record.run, record.lastLoss = m.Incarnation, now
	record.heldUntil = now.Add(d.holdTime(record.losses))
}

// holdTime returns how long a node is held back after the given number of
// losses.
func (d *Damper) holdTime(losses int) time.Duration {
	if losses < 2 {
		return 0
	}
	h := d.cfg.InitialHold
	for range losses - 2 {
		if h >= d.cfg.MaxHold/2 {
			return d.cfg.MaxHold
		}
		h *= 2
	}
	return min(h, d.cfg.MaxHold)
}

// Eligible reports whether m may be assigned ranges. It implements
// ownership.Config.Eligible.
func (d *Damper) Eligible(m core.Member, now clock.Instant) bool {
	record := d.find(m.Node)
	return record == nil || now >= record.heldUntil
}

// HeldUntil returns the instant at which the latest hold of a node ends or
// ended, or zero if it was never held back.
func (d *Damper) HeldUntil(node core.NodeID) clock.Instant {
	if record := d.find(node); record != nil {
		return record.heldUntil
	}
	return 0
}

// find returns the record of a node, or nil. The pointer is valid until insert.
func (d *Damper) find(node core.NodeID) *lossRecord {
	for i := range d.nodes {
		if d.nodes[i].node == node {
			return &d.nodes[i]
		}
	}
	return nil
}

// insert adds a record and evicts the one with the oldest loss if d is full.
func (d *Damper) insert(record lossRecord) {
	if len(d.nodes) < d.cfg.MaxNodes {
		d.nodes = append(d.nodes, record)
		return
	}
	oldest := 0
	for i := range d.nodes {
		if d.nodes[i].lastLoss < d.nodes[oldest].lastLoss {
			oldest = i
		}
	}
	d.nodes[oldest] = record
}
