package shards

import (
	"time"

	"marjoramshore.example/clock"
)

const (
	// maxSilence is how long a coordinator may stay silent before another node
	// takes over. Three reports fit into it.
	maxSilence = 1300 * time.Millisecond
	// maxUnconfirmed is how long a coordinator may go without access to the
	// record before a node that has access takes over.
	maxUnconfirmed = 3 * time.Second
	// rankDelay separates the attempts of candidates, so that the first one has
	// written the record before the second one tries. A write takes
	// milliseconds.
	rankDelay = 300 * time.Millisecond
	// eraDelay is how long the coordinator of the former era, which lives, is left to
	// begin the new one itself. It hears of it within a second.
	eraDelay = time.Second
)

// ElectionInput is what a candidate knows of the recorded coordinator and of
// its own place in the fleet.
type ElectionInput struct {
	// RecordExists is false while the store has no record of the service.
	RecordExists bool
	// EraEnded reports that the store has gone back to an earlier copy, so that the
	// record is of an era that has ended. WasCoordinator is set with it if this
	// process was the coordinator then.
	EraEnded, WasCoordinator bool
	// SilentFor is how long nothing was heard from the recorded coordinator.
	SilentFor time.Duration
	// CoordinatorEnded reports that the process of the recorded coordinator has
	// ended or is about to end.
	CoordinatorEnded bool
	// UnconfirmedFor is how long the coordinator, by its own account, has had
	// no access to the record.
	UnconfirmedFor time.Duration
	// Rank is this node's place among the candidates, from 0.
	Rank int
	// HeardShare is the share of the other nodes that this node hears, from 0
	// to 1. A node that is cut off must not take over, because the coordinator
	// still serves the others.
	HeardShare float64
}

// quorumShare is the share of the other nodes that a candidate must hear.
const quorumShare = 0.4

// TakeoverDelay returns how long a candidate waits before it takes over, or
// false while there is no reason to take over.
func (input ElectionInput) TakeoverDelay() (time.Duration, bool) {
	wait := time.Duration(input.Rank) * rankDelay
	if input.WasCoordinator {
		wait = 0
	}
	switch {
	case !input.RecordExists, input.WasCoordinator:
		return wait, true
	case input.HeardShare < quorumShare:
		return 0, false
	case input.CoordinatorEnded, input.SilentFor > maxSilence, input.UnconfirmedFor > maxUnconfirmed:
		return wait, true
	case input.EraEnded:
		return eraDelay + wait, true
	}
	return 0, false
}

// Candidate measures how long a takeover by this node has been due.
type Candidate struct{ dueSince clock.Instant }

// ShouldTakeOver reports whether the candidate should take over now.
func (c *Candidate) ShouldTakeOver(now clock.Instant, input ElectionInput) bool {
	wait, due := input.TakeoverDelay()
	if !due {
		c.dueSince = 0
		return false
	}
	if c.dueSince == 0 {
		c.dueSince = now
	}
	return now.Sub(c.dueSince) >= wait
}

// RestartWait starts the delay anew, so that a failed attempt is not repeated
// at once.
func (c *Candidate) RestartWait(now clock.Instant) { c.dueSince = now }
