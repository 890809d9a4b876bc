// Package wire encodes, for the stand-ins and the soak test, what the users'
// platform, its callers and its backend servers send to a node. It repeats names
// of package platform on purpose, so that a wrong name there makes tests fail.
package wire

import (
	"fmt"
	"strings"
	"time"
)

// Header fields of requests and answers.
const (
	HeaderAttemptID   = "X-Marjoramshore-Attempt-Id"
	HeaderTimeout     = "X-Marjoramshore-Timeout-Ms"
	HeaderKey         = "X-Marjoramshore-Shard-Key"
	HeaderCaller      = "X-Marjoramshore-Caller-Service"
	HeaderInstance    = "X-Marjoramshore-Expected-Instance"
	HeaderNotExecuted = "X-Marjoramshore-Not-Executed"
	HeaderSignature   = "X-Marjoramshore-Response-Signature"
	HeaderRateLimit   = "Server-Limit"
	HeaderHandover    = "X-Marjoramshore-Handover"
)

// Paths of the calls that grant keys to a backend server and take them back.
const (
	GrantPath   = "/grant"
	ReleasePath = "/release"
)

// SettingsVariable is the environment variable with the path of the settings
// file.
const SettingsVariable = "MARJORAMSHORE_NODE_FILE"

// Ports that a node and its backend server listen on, and the port of the store;
// they are the same on all VMs.
const (
	PortReady    = 8141
	PortStore    = 8142
	PortReports  = 8144
	PortBackend  = 8145
	PortInbound  = 8146
	PortOutbound = 8147
	PortPeers    = 7380
)

// MemoryLimitMB is the memory limit of a node's process in its settings.
const MemoryLimitMB = 284

// Bounds are the limits in the settings file that the soak test checks.
type Bounds struct {
	DrainTime, GraceTime, ReportInterval, RetryWindow time.Duration
	RetryRatio                                        float64
	MinRetries                                        int
}

// VM is one VM of the platform.
type VM struct {
	Node, DataCentre, IP, Service string
	// Store is the host of the store.
	Store string
	// Grants is the way of granting keys, or empty to leave it out.
	Grants string
}

// EncodeSettings returns the text of a VM's settings file.
func (v VM) EncodeSettings(b Bounds) string {
	var out strings.Builder
	set := func(name string, value any) { fmt.Fprintf(&out, "%s=%v\n", name, value) }
	setAddress := func(name string, port int) { set(name, fmt.Sprintf("%s:%d", v.IP, port)) }
	set("node-id", v.Node)
	set("zone", v.DataCentre)
	set("ip", v.IP)
	set("service", v.Service)
	setAddress("listen.outbound", PortOutbound)
	setAddress("listen.inbound", PortInbound)
	setAddress("listen.ready", PortReady)
	setAddress("listen.control", PortReports)
	setAddress("app-addr", PortBackend)
	set("internal-port-range", fmt.Sprintf("%d,%d", PortPeers, PortPeers))
	set("limits.memory-mb", MemoryLimitMB)
	set("bootstrap", true)
	set("heartbeat", b.ReportInterval)
	set("bounds", fmt.Sprintf("drain=%v,grace=%v,hold-max=10000ms,retry-budget-ratio=%v,budget-window=%v,budget-min-retries=%d",
		b.DrainTime, b.GraceTime, b.RetryRatio, b.RetryWindow, b.MinRetries))
	if v.Grants != "" {
		set("grants", v.Grants)
	}
	set("platform.address", fmt.Sprintf("%s:%d", v.Store, PortStore))
	return out.String()
}

// Route is one route of a configuration. Its host is the configuration's.
type Route struct {
	Name, PathPrefix, Kind, Service string
	Timeout, TargetLatency          time.Duration
	Priority                        int
}

// EncodeConfig returns a configuration as JSON. services maps each service to
// whether its keys are divided between backend servers.
func EncodeConfig(version int, host string, routes []Route, services map[string]bool) []byte {
	rows := make([]string, 0, len(routes))
	for _, r := range routes {
		rows = append(rows, fmt.Sprintf(`[%q,%q,%q,%q,"%v","%v",%d,%q,2]`, r.Name, host, r.PathPrefix, r.Kind, r.Timeout, r.TargetLatency, r.Priority, r.Service))
	}
	var list []string
	for name, sharded := range services {
		list = append(list, fmt.Sprintf(`[%q,100,%v]`, name, sharded))
	}
	return fmt.Appendf(nil, `{"version":"%08x",
"routes":{"columns":["name","host","path-prefix","type","timeout","target-latency","priority","service","attempts"],"rows":[%s]},
"services":{"columns":["name","max-connections","sharded"],"rows":[%s]},
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3s","idle-timeout":"15s"}}`,
		version, strings.Join(rows, ","), strings.Join(list, ","))
}
