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
	path string // section and name, such as listen.peer
	// defaultText is the JSON text of the default or, for the advertised
	// addresses, the path of the field whose value is taken. It is empty if
	// the field is required.
	defaultText string
	limit       string // what the value must be, after "must be"
	meaning     string
	// set stores the value and reports whether it is within the limit.
	set func(*Settings, hujson.Literal) bool
}

// fields lists every field that a file may have.
var fields = []field{
	nameField("node_id", "", "Name of the node. It stays the same when the node restarts.", func(s *Settings, v string) { s.Node = core.NodeID(v) }),
	nameField("region", "", "Region of the node.", func(s *Settings, v string) { s.Region = core.Region(v) }),
	nameField("data_centre", "", "Data centre of the node.", func(s *Settings, v string) { s.DataCentre = core.DataCentre(v) }),
	nameField("service", "", "Service of the backend server beside the node.", func(s *Settings, v string) { s.Service = core.Service(v) }),

	addressField("listen.caller", "", "Where callers connect.", func(s *Settings) *netip.AddrPort { return &s.Listen.Caller }),
	addressField("listen.peer", "", "Where other nodes connect, over TCP and UDP.", func(s *Settings) *netip.AddrPort { return &s.Listen.Peer }),
	addressField("listen.operator", "", "Where operators connect.", func(s *Settings) *netip.AddrPort { return &s.Listen.Operator }),
	addressField("listen.metrics", "", "Where metrics are read.", func(s *Settings) *netip.AddrPort { return &s.Listen.Metrics }),
	addressField("advertise.caller", "listen.caller", "Address of the caller listener as callers see it.", func(s *Settings) *netip.AddrPort { return &s.Advertise.Caller }),
	addressField("advertise.peer", "listen.peer", "Address of the peer listener as other nodes see it.", func(s *Settings) *netip.AddrPort { return &s.Advertise.Peer }),
	addressField("backend.address", "", "Address of the backend server beside the node.", func(s *Settings) *netip.AddrPort { return &s.Backend }),

	storeURLField("store.url", "Root of the platform's store."),
	durationField("store.timeout_ms", 3000, 100, 60_000, "Time limit of one store call.", func(s *Settings) *time.Duration { return &s.Store.Timeout }),
	integerField("store.calls_per_minute", 30, 1, 6000, "Budget of ordinary store calls.", func(s *Settings) *int { return &s.Store.CallsPerMinute }),

	secretField("peer_shared_key", 32, "Key that authenticates nodes to each other.", func(s *Settings) *Secret { return &s.PeerKey }),
	secretField("operator.read_token", 16, "Bearer token for reading.", func(s *Settings) *Secret { return &s.ReadToken }),
	secretField("operator.change_token", 16, "Bearer token for changing; differs from read_token.", func(s *Settings) *Secret { return &s.ChangeToken }),

	integerField("limits.header_bytes", 32<<10, 1<<10, 1<<20, "Size of a request header.", func(s *Settings) *int { return &s.Limits.HeaderBytes }),
	integerField("limits.connections", 4096, 16, 65536, "Open connections of callers.", func(s *Settings) *int { return &s.Limits.Connections }),
	integerField("limits.waiting_requests", 1024, 1, 65536, "Requests that wait for an owner.", func(s *Settings) *int { return &s.Limits.WaitingRequests }),
	integerField("limits.queued_requests", 1024, 1, 65536, "Requests that wait for a slot of the backend server.", func(s *Settings) *int { return &s.Limits.QueuedRequests }),
	integerField("limits.record_bytes", 8<<20, 64<<10, 64<<20, "Memory of the at-most-once records.", func(s *Settings) *int { return &s.Limits.RecordBytes }),
	integerField("limits.operator_bytes", 1<<20, 1<<10, 1<<20, "Size of an operator's request body.", func(s *Settings) *int { return &s.Limits.OperatorBytes }),

	durationField("timing.heartbeat_ms", 600, 50, 10_000, "Interval of heartbeats.", func(s *Settings) *time.Duration { return &s.Timing.Heartbeat }),
	durationField("timing.promise_ms", 1500, 100, 60_000, "Length of a successor's promise; at least 2 heartbeats.", func(s *Settings) *time.Duration { return &s.Timing.Promise }),
	durationField("timing.lease_ms", 2700, 100, 60_000, "Length of a member's lease; at least a promise and a heartbeat.", func(s *Settings) *time.Duration { return &s.Timing.Lease }),
	durationField("timing.term_ms", 1500, 100, 60_000, "Length of the coordinator's term lease in the store; at least 2 heartbeats.", func(s *Settings) *time.Duration { return &s.Timing.Term }),

	integerField("pools.store_calls", 4, 1, 64, "Store calls at once.", func(s *Settings) *int { return &s.Pools.StoreCalls }),
	integerField("pools.store_watches", 16, 1, 256, "Watched store keys.", func(s *Settings) *int { return &s.Pools.StoreWatches }),
	integerField("pools.bodies", 512, 1, 8192, "Request bodies sent to other nodes at once.", func(s *Settings) *int { return &s.Pools.Bodies }),

	logLevelField("log_level", "Least severe level that is logged."),
}

// maxNameBytes bounds names, because they appear in every heartbeat and log
// line.
const maxNameBytes = 64

// isName reports whether v is a name that needs no quotes in logs and URLs.
func isName(v string) bool {
	for _, c := range v {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.", c) {
			return false
		}
	}
	return v != "" && len(v) <= maxNameBytes
}

// nameField returns a field that holds a name.
func nameField(path, defaultText, meaning string, set func(*Settings, string)) field {
	return field{path, defaultText, "a text of 1 to 64 letters, digits, '-', '_' and '.'", meaning, func(s *Settings, l hujson.Literal) bool {
		if l.Kind() != '"' || !isName(l.String()) {
			return false
		}
		set(s, l.String())
		return true
	}}
}

// addressField returns a field that holds an IP address with a port.
func addressField(path, defaultText, meaning string, target func(*Settings) *netip.AddrPort) field {
	return field{path, defaultText, "an IP address and port such as \"10.0.0.1:8000\"", meaning, func(s *Settings, l hujson.Literal) bool {
		a, err := netip.ParseAddrPort(l.String())
		if l.Kind() != '"' || err != nil || a.Port() == 0 {
			return false
		}
		*target(s) = a
		return true
	}}
}

// storeURLField returns a field that holds the URL of the store.
func storeURLField(path, meaning string) field {
	return field{path, "", "an http or https URL", meaning, func(s *Settings, l hujson.Literal) bool {
		u, err := url.Parse(l.String())
		if l.Kind() != '"' || err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return false
		}
		s.Store.URL = l.String()
		return true
	}}
}

// secretField returns a field that holds a secret of at least minLen
// characters. The peer key needs 32, because anyone who guesses it can
// impersonate a node.
func secretField(path string, minLen int, meaning string, target func(*Settings) *Secret) field {
	return field{path, "", fmt.Sprintf("a text of %d to 256 printable ASCII characters without spaces", minLen), meaning, func(s *Settings, l hujson.Literal) bool {
		v := l.String()
		invalid := strings.ContainsFunc(v, func(c rune) bool { return c <= ' ' || c > '~' })
		if l.Kind() != '"' || len(v) < minLen || len(v) > 256 || invalid {
			return false
		}
		*target(s) = Secret(v)
		return true
	}}
}

// integerField returns a field that holds a whole number from min to max.
func integerField(path string, defaultValue, min, max int, meaning string, target func(*Settings) *int) field {
	limit := "a whole number from " + strconv.Itoa(min) + " to " + strconv.Itoa(max)
	return field{path, strconv.Itoa(defaultValue), limit, meaning, func(s *Settings, l hujson.Literal) bool {
		n, err := strconv.Atoi(string(l))
		if err != nil || n < min || n > max {
			return false
		}
		*target(s) = n
		return true
	}}
}

// durationField returns a field that holds a whole number of milliseconds.
func durationField(path string, defaultMs, minMs, maxMs int, meaning string, target func(*Settings) *time.Duration) field {
	f := integerField(path, defaultMs, minMs, maxMs, meaning, nil)
	f.set = func(s *Settings, l hujson.Literal) bool {
		ms, err := strconv.Atoi(string(l))
		if err != nil || ms < minMs || ms > maxMs {
			return false
		}
		*target(s) = time.Duration(ms) * time.Millisecond
		return true
	}
	return f
}

// logLevelField returns a field that holds the log level.
func logLevelField(path, meaning string) field {
	return field{path, `"info"`, `"debug", "info", "warn" or "error"`, meaning, func(s *Settings, l hujson.Literal) bool {
		switch v := l.String(); v {
		case "debug", "info", "warn", "error":
			s.LogLevel = v
			return l.Kind() == '"'
		}
		return false
	}}
}
