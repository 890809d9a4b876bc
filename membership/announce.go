// Package membership decides who takes part: what a backend server announces
// of itself, when a node that bounces may own keys again, which group a node
// joins, which members succeed a coordinator, and how many may drain at once.
// It holds no lock and starts no goroutine; time is passed in.
package membership

import (
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// Announcement is what a backend server says of itself to the node beside it.
type Announcement struct {
	Service core.Service
	// Incarnation differs between runs of the backend server.
	Incarnation core.Incarnation
	// Slots is how many requests it runs at once, Connections how many
	// connections it accepts. Both are hard limits.
	Slots, Connections int
	// ChecksTokens reports whether it rejects orders with an outdated fencing
	// token.
	ChecksTokens bool
	// ReportsLoad reports whether it has a load endpoint.
	ReportsLoad bool
}

// maxConcurrency rejects announcements that are certainly wrong; the largest
// backend server of a deployment accepts 130 connections.
const maxConcurrency = 1 << 16

// Validate reports the first fault as an *core.Error with CodeInvalid.
func (a Announcement) Validate() error {
	switch {
	case a.Service == "":
		return core.Fail(core.CodeInvalid, "announcement: no service")
	case a.Incarnation == 0:
		return core.Fail(core.CodeInvalid, "announcement: no incarnation")
	case a.Slots < 1 || a.Slots > maxConcurrency:
		return core.Fail(core.CodeInvalid, "announcement: slots out of range")
	case a.Connections < 1 || a.Connections > maxConcurrency:
		return core.Fail(core.CodeInvalid, "announcement: connections out of range")
	}
	return nil
}

// Change says what an announcement changed.
type Change uint8

// Changes.
const (
	Unchanged Change = iota
	// Updated: the same run announced other limits.
	Updated
	// Restarted: a new run of the backend server, which starts cold.
	Restarted
)

// Backend tracks the one backend server beside a node.
type Backend struct {
	// TTL is how long an announcement stays valid without being repeated.
	TTL time.Duration

	last  Announcement
	heard clock.Instant
	known bool
}

// Announce takes a valid announcement. The service of a node never changes.
func (b *Backend) Announce(a Announcement, now clock.Instant) (Change, error) {
	if err := a.Validate(); err != nil {
		return Unchanged, err
	}
	if b.known && a.Service != b.last.Service {
		return Unchanged, core.Fail(core.CodeConflict, "announcement: another service")
	}
	prev, was := b.last, b.known
	b.last, b.heard, b.known = a, now, true
	switch {
	case !was || prev.Incarnation != a.Incarnation:
		return Restarted, nil
	case prev != a:
		return Updated, nil
	}
	return Unchanged, nil
}

// Current returns the valid announcement, or false when there is none.
func (b *Backend) Current(now clock.Instant) (Announcement, bool) {
	if !b.known || now >= b.heard.Add(b.TTL) {
		return Announcement{}, false
	}
	return b.last, true
}
