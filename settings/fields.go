package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"marjoramshore.example/core"
)

// field describes one field of the file.
type field struct {
	path string
	// def is the JSON text of the default; empty makes the field required.
	def   string
	limit string
	doc   string
	// set stores the value and reports whether it is within the limit.
	set func(*Settings, hujson.Literal) bool
}

// fields lists every field. Other fields are faults.
var fields = []field{
	text("node_id", "", "Name of the node. It stays the same when the node restarts.", func(s *Settings, v string) { s.Node = core.NodeID(v) }),
	text("region", "", "Region of the node.", func(s *Settings, v string) { s.Region = core.Region(v) }),
	text("data_centre", "", "Data centre of the node.", func(s *Settings, v string) { s.DataCentre = core.DataCentre(v) }),
	text("service", "", "Service of the backend server beside the node.", func(s *Settings, v string) { s.Service = core.Service(v) }),

	address("listen.caller", "", "Where callers connect.", func(s *Settings) *netip.AddrPort { return &s.Listen.Caller }),
	address("listen.peer", "", "Where other nodes connect, over TCP and UDP.", func(s *Settings) *netip.AddrPort { return &s.Listen.Peer }),
	address("listen.operator", "", "Where operators connect.", func(s *Settings) *netip.AddrPort { return &s.Listen.Operator }),
	address("listen.metrics", "", "Where metrics are read.", func(s *Settings) *netip.AddrPort { return &s.Listen.Metrics }),
	address("advertise.caller", "listen.caller", "Address of the caller listener as callers see it.", func(s *Settings) *netip.AddrPort { return &s.Advertise.Caller }),
	address("advertise.peer", "listen.peer", "Address of the peer listener as other nodes see it.", func(s *Settings) *netip.AddrPort { return &s.Advertise.Peer }),
	address("backend.address", "", "Address of the backend server beside the node.", func(s *Settings) *netip.AddrPort { return &s.Backend }),

	storeURL("store.url", "Root of the platform's store."),
	duration("store.timeout_ms", 3000, 100, 60_000, "Time limit of one store call.", func(s *Settings) *time.Duration { return &s.Store.Timeout }),
	integer("store.calls_per_minute", 30, 1, 6000, "Budget of ordinary store calls.", func(s *Settings) *int { return &s.Store.CallsPerMinute }),

	secret("peer_shared_key", 32, "Key that authenticates nodes to each other.", func(s *Settings) *Secret { return &s.PeerKey }),
	secret("operator.read_token", 16, "Bearer token for reading.", func(s *Settings) *Secret { return &s.ReadToken }),
	secret("operator.change_token", 16, "Bearer token for changing; differs from read_token.", func(s *Settings) *Secret { return &s.ChangeToken }),

	integer("limits.header_bytes", 32<<10, 1<<10, 1<<20, "Size of a request header.", func(s *Settings) *int { return &s.Limits.HeaderBytes }),
	integer("limits.connections", 4096, 16, 65536, "Open connections of callers.", func(s *Settings) *int { return &s.Limits.Connections }),
	integer("limits.waiting_requests", 1024, 1, 65536, "Requests that wait for an owner.", func(s *Settings) *int { return &s.Limits.WaitingRequests }),
	integer("limits.queued_requests", 1024, 1, 65536, "Requests that wait for a slot of the backend server.", func(s *Settings) *int { return &s.Limits.QueuedRequests }),
	integer("limits.record_bytes", 8<<20, 64<<10, 64<<20, "Memory of the at-most-once records.", func(s *Settings) *int { return &s.Limits.RecordBytes }),
	integer("limits.operator_bytes", 1<<20, 1<<10, 1<<20, "Size of an operator's request body.", func(s *Settings) *int { return &s.Limits.OperatorBytes }),

	duration("timing.heartbeat_ms", 600, 50, 10_000, "Interval of heartbeats.", func(s *Settings) *time.Duration { return &s.Timing.Heartbeat }),
	duration("timing.promise_ms", 1500, 100, 60_000, "Length of a successor's promise; at least 2 heartbeats.", func(s *Settings) *time.Duration { return &s.Timing.Promise }),
	duration("timing.lease_ms", 2700, 100, 60_000, "Length of a member's lease; at least a promise and a heartbeat.", func(s *Settings) *time.Duration { return &s.Timing.Lease }),
	duration("timing.term_ms", 1500, 100, 60_000, "Length of the coordinator's term lease in the store; at least 2 heartbeats.", func(s *Settings) *time.Duration { return &s.Timing.Term }),

	integer("pools.store_calls", 4, 1, 64, "Store calls at once.", func(s *Settings) *int { return &s.Pools.StoreCalls }),
	integer("pools.store_watches", 16, 1, 256, "Watched store keys.", func(s *Settings) *int { return &s.Pools.StoreWatches }),
	integer("pools.bodies", 512, 1, 8192, "Request bodies sent to other nodes at once.", func(s *Settings) *int { return &s.Pools.Bodies }),

	level("log_level", "Least severe level that is logged."),
}

// maxText bounds names; they appear in every heartbeat and log line.
const maxText = 64

// isName reports whether v is a name that needs no quotes in logs and URLs.
func isName(v string) bool {
	for _, c := range v {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.", c) {
			return false
		}
	}
	return v != "" && len(v) <= maxText
}

func text(path, def, doc string, set func(*Settings, string)) field {
	return field{path, def, "a text of 1 to 64 letters, digits, '-', '_' and '.'", doc, func(s *Settings, l hujson.Literal) bool {
		if l.Kind() != '"' || !isName(l.String()) {
			return false
		}
		set(s, l.String())
		return true
	}}
}

func address(path, def, doc string, at func(*Settings) *netip.AddrPort) field {
	return field{path, def, "an IP address and port such as \"10.0.0.1:8000\"", doc, func(s *Settings, l hujson.Literal) bool {
		a, err := netip.ParseAddrPort(l.String())
		if l.Kind() != '"' || err != nil || a.Port() == 0 {
			return false
		}
		*at(s) = a
		return true
	}}
}

func storeURL(path, doc string) field {
	return field{path, "", "an http or https URL", doc, func(s *Settings, l hujson.Literal) bool {
		u, err := url.Parse(l.String())
		if l.Kind() != '"' || err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return false
		}
		s.Store.URL = l.String()
		return true
	}}
}

// secret is a text of at least shortest characters. The peer key needs 32,
// because anyone who guesses it can speak as a node.
func secret(path string, shortest int, doc string, at func(*Settings) *Secret) field {
	return field{path, "", fmt.Sprintf("a text of %d to 256 printable ASCII characters without spaces", shortest), doc, func(s *Settings, l hujson.Literal) bool {
		v := l.String()
		bad := strings.ContainsFunc(v, func(c rune) bool { return c <= ' ' || c > '~' })
		if l.Kind() != '"' || len(v) < shortest || len(v) > 256 || bad {
			return false
		}
		*at(s) = Secret(v)
		return true
	}}
}

func integer(path string, def, low, high int, doc string, at func(*Settings) *int) field {
	limit := "a whole number from " + strconv.Itoa(low) + " to " + strconv.Itoa(high)
	return field{path, strconv.Itoa(def), limit, doc, func(s *Settings, l hujson.Literal) bool {
		n, err := strconv.Atoi(string(l))
		if err != nil || n < low || n > high {
			return false
		}
		*at(s) = n
		return true
	}}
}

func duration(path string, def, low, high int, doc string, at func(*Settings) *time.Duration) field {
	f := integer(path, def, low, high, doc, nil)
	f.set = func(s *Settings, l hujson.Literal) bool {
		ms, err := strconv.Atoi(string(l))
		if err != nil || ms < low || ms > high {
			return false
		}
		*at(s) = time.Duration(ms) * time.Millisecond
		return true
	}
	return f
}

func level(path, doc string) field {
	return field{path, `"info"`, `"debug", "info", "warn" or "error"`, doc, func(s *Settings, l hujson.Literal) bool {
		switch v := l.String(); v {
		case "debug", "info", "warn", "error":
			s.LogLevel = v
			return l.Kind() == '"'
		}
		return false
	}}
}
