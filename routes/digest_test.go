package routes

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a changed route that a node does not notice in the digest of
// the newer configuration, and against a digest that differs although the
// routes are the same.
func TestDigestShowsChangedRoutes(t *testing.T) {
	var config Config
	for i := range 40 {
		config.Routes = append(config.Routes, Route{Name: fmt.Sprint("r", i), Host: fmt.Sprint("h", i), Prefix: "/p/", Destinations: []Destination{{"x", 1}, {"y", 2}}})
	}
	before := Compile(config).Digest
	slices.Reverse(config.Routes)
	must.Eq(t, before, Compile(config).Digest)
	changes := map[string]func(*Route){
		"service": func(r *Route) { r.Destinations = []Destination{{"z", 1}, {"y", 2}} },
		"weight":  func(r *Route) { r.Destinations = []Destination{{"x", 1}, {"y", 3}} },
		"prefix":  func(r *Route) { r.Prefix = "/q/" },
		"kind":    func(r *Route) { r.Kind = Idempotent },
		"timeout": func(r *Route) { r.Timeout = 1 },
	}
	for name, change := range changes {
		changed := Config{Routes: slices.Clone(config.Routes)}
		change(&changed.Routes[7])
		after := Compile(changed).Digest
		for _, r := range config.Routes {
			sameGroup := hostGroup(r.Host) == hostGroup(config.Routes[7].Host)
			must.Eq(t, !sameGroup, before.SameForHost(after, r.Host), must.Sprint(name, " ", r.Host))
		}
	}
	removed := Compile(Config{Routes: config.Routes[1:]}).Digest
	must.False(t, before.SameForHost(removed, config.Routes[0].Host))
	decoded, ok := DecodeDigest(before.Encode())
	must.True(t, ok)
	must.Eq(t, before, decoded)
	_, ok = DecodeDigest(before.Encode()[1:])
	must.False(t, ok)
}
