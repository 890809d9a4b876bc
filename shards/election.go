package shards

import (
	"time"

	"marjoramshore.example/clock"
)

const (
	// silence is how long a coordinator may fail to answer before another node
	// takes over; three reports fit into it.
	silence = 1300 * time.Millisecond
	// cutOff is how long a coordinator may go without access to the record
	// before a node that has access takes over.
	cutOff = 3 * time.Second
	// turn separates the candidates, so that the first one has written the
	// record before the second one tries: a write takes milliseconds.
	turn = 300 * time.Millisecond
)

// ElectionInput is what a candidate knows of the coordinator.
type ElectionInput struct {
	// RecordExists is false while the record does not exist.
	RecordExists bool
	// SilentFor is how long the recorded coordinator was not heard.
	SilentFor time.Duration
	// CoordinatorEnded reports that the process of the recorded coordinator has ended or
	// is about to.
	CoordinatorEnded bool
	// UnconfirmedFor is how long the coordinator had no access to the record, by
	// its own account.
	UnconfirmedFor time.Duration
	// Rank is this node's place among the candidates, from 0.
	Rank int
	// HeardShare is the part of the other nodes that this node hears. A node that
	// is cut off must not take over, since the others are served well.
	HeardShare float64
}

// quorum is the part of the other nodes that a candidate must hear.
const quorum = 0.4

// Due returns the time after which a candidate may take over, or false while
// there is no reason to.
func (s ElectionInput) Due() (time.Duration, bool) {
	wait := time.Duration(s.Rank) * turn
	switch {
	case !s.RecordExists:
		return wait, true
	case s.HeardShare < quorum:
		return 0, false
	case s.CoordinatorEnded, s.SilentFor > silence, s.UnconfirmedFor > cutOff:
		return wait, true
	}
	return 0, false
}

// Candidate waits its turn to take over.
type Candidate struct{ since clock.Instant }

// ShouldTakeOver reports whether the candidate should take over now.
func (c *Candidate) ShouldTakeOver(now clock.Instant, s ElectionInput) bool {
	wait, due := s.Due()
	if !due {
		c.since = 0
		return false
	}
	if c.since == 0 {
		c.since = now
	}
	return now.Sub(c.since) >= wait
}

// RestartWait starts the candidate's turn anew after a failed attempt.
func (c *Candidate) RestartWait(now clock.Instant) { c.since = now }
