// Package membership decides who takes part: what a backend server announces
// of itself, when a node that bounces may own keys again, which group a node
// joins, which members succeed a coordinator, and how many may drain at once.
// It holds no lock and starts no goroutine; time is passed in.
package membership

import "marjoramshore.example/core"

// Announcement is what a backend server says of itself to the node beside it,
// as JSON.
type Announcement struct {
	Service core.Service `json:"service"`
	// Slots is how many requests it runs at once, Connections how many
	// connections it accepts. Both are hard limits.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// ChecksTokens reports whether it rejects orders with an outdated fencing
	// token.
	ChecksTokens bool `json:"checks_tokens"`
}

// maxConcurrency rejects announcements that are certainly wrong; the largest
// backend server of a deployment accepts 130 connections.
const maxConcurrency = 1 << 16

// Validate reports the first fault of an announcement to a node of service as an
// *core.Error: CodeInvalid, or CodeConflict for another service.
func (a Announcement) Validate(service core.Service) error {
	switch {
	case a.Service == "":
		return core.Fail(core.CodeInvalid, "announcement: no service")
	case a.Service != service:
		return core.Fail(core.CodeConflict, "announcement: of service "+string(a.Service))
	case a.Slots < 1 || a.Slots > maxConcurrency:
		return core.Fail(core.CodeInvalid, "announcement: slots out of range")
	case a.Connections < 1 || a.Connections > maxConcurrency:
		return core.Fail(core.CodeInvalid, "announcement: connections out of range")
	}
	return nil
}
