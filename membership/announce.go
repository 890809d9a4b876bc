// Package membership decides on the members of ownership groups: whether a
// backend server's announcement is valid, when a node that was lost repeatedly
// may own keys again, which group a node joins, which members succeed a
// coordinator, and how many members may drain at a time. It holds no lock and
// starts no goroutine; the caller passes the time in.
package membership

import "marjoramshore.example/core"

// Announcement is the JSON document with which a backend server describes
// itself to the node on its VM.
type Announcement struct {
	Service core.Service `json:"service"`
	// Slots is the number of requests that the backend server runs at a time,
	// Connections the number of connections that it accepts. Both are hard
	// limits.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// ChecksTokens reports whether the backend server rejects requests that
	// carry an outdated fencing token.
	ChecksTokens bool `json:"checks_tokens"`
}

// maxConcurrency is the largest plausible number of slots or connections in an
// announcement. The largest backend server of a deployment accepts
// 130 connections.
const maxConcurrency = 1 << 16

// Validate returns a *core.Error if the announcement is not valid for a node of
// the given service: CodeConflict if it names another service, otherwise
// CodeInvalid.
func (a Announcement) Validate(service core.Service) error {
	switch {
	case a.Service == "":
		return core.Fail(core.CodeInvalid, "announcement: service missing")
	case a.Service != service:
		return core.Fail(core.CodeConflict, "announcement: backend server is of service "+string(a.Service))
	case a.Slots < 1 || a.Slots > maxConcurrency:
		return core.Fail(core.CodeInvalid, "announcement: slots out of range")
	case a.Connections < 1 || a.Connections > maxConcurrency:
		return core.Fail(core.CodeInvalid, "announcement: connections out of range")
	}
	return nil
}
