package router

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
	"marjoramshore.example/routes"
)

// Guards against a node that answers 404 on a route of a configuration that it
// knows to lack, or runs a request on a route that this one has removed or
// changed, and against refusals where both are the same. Nodes with full links
// had a new configuration after up to 11.7 s although they heard of it at once.
func TestNodeDoesNotDecideByOldConfiguration(t *testing.T) {
	const deadline = 2500 * time.Millisecond
	grace := oldRouteGrace(deadline)
	must.Between(t, time.Millisecond, grace, deadline/2)
	newTable := func(hosts ...string) *routes.Table {
		c := routes.Config{Version: 3}
		for _, host := range hosts {
			c.Routes = append(c.Routes, routes.Route{Name: host, Host: host, Prefix: "/", Destinations: []routes.Destination{{Service: "s", Weight: 1}}})
		}
		return routes.Compile(c)
	}
	own := newTable("h", "kept")
	added, removed := newTable("h", "kept", "new").Digest.Encode(), newTable("kept").Digest.Encode()
	must.True(t, own.Digest.SameForHost(newTable("h", "kept", "new").Digest, "h"))
	for name, c := range map[string]struct {
		host    string
		version uint64
		digest  []byte
		heard   time.Duration // ago
		code    core.Code     // 0 if the request is served
	}{
		"missing route that may be new":       {"new", 4, added, 0, core.CodeStaleRevision},
		"missing route, unknown changes":      {"none", 4, nil, 0, core.CodeStaleRevision},
		"missing route of an unchanged host":  {"none", 4, added, time.Hour, core.CodeNotFound},
		"missing route, version in force":     {"new", 3, added, time.Hour, core.CodeNotFound},
		"route removed just now":              {"h", 4, removed, grace / 2, 0},
		"route removed a while ago":           {"h", 4, removed, 2 * grace, core.CodeStaleRevision},
		"route, unknown changes":              {"h", 4, nil, 2 * grace, core.CodeStaleRevision},
		"route of an unchanged host":          {"h", 4, added, time.Hour, 0},
		"route, other routes removed":         {"kept", 4, removed, time.Hour, 0},
		"route, version in force has changed": {"h", 2, removed, time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := &scriptedSender{answers: []*core.Error{nil}}
			r := newRouter(s, routes.Idempotent, func(Summary) {})
			r.cfg.Routes = &routes.CurrentTable{}
			r.cfg.Routes.ReplaceIfNewer(own)
			r.cfg.ConfigDeadline = deadline
			r.cfg.NewerConfig = func() *fleet.NewerConfig {
				return &fleet.NewerConfig{AnnouncedConfig: fleet.AnnouncedConfig{Version: c.version, Digest: c.digest}, Since: r.cfg.Clock.Now().Add(-c.heard)}
			}
			req := newRequest("")
			req.Header[0].Value = c.host
			_, err := r.Serve(context.Background(), req)
			if c.code == 0 {
				must.NoError(t, err)
				return
			}
			must.Error(t, err)
			e := core.AsError(err)
			must.Eq(t, c.code, e.Code)
			must.SliceEmpty(t, s.nodes, must.Sprint("sent although it is refused"))
			if c.code == core.CodeStaleRevision {
				must.True(t, e.Code.NotRun())
				must.Positive(t, e.RetryAfter)
			}
		})
	}
}
