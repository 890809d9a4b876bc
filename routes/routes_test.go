package routes

import (
	"testing"

	"github.com/shoenig/test/must"
	"marjoramshore.example/core"
)

func singleDestination(s core.Service) []Destination { return []Destination{{Service: s, Weight: 1}} }

// Guards against matching a shorter prefix, a route of another host, or a
// prefix that ends inside a path segment.
func TestMatchLongestPrefix(t *testing.T) {
	table := Compile(Config{Routes: []Route{
		{Name: "all", Host: "a", Prefix: "/", Destinations: singleDestination("x")},
		{Name: "long", Host: "a", Prefix: "/p/q/", Destinations: singleDestination("y")},
		{Name: "short", Host: "a", Prefix: "/p/", Destinations: singleDestination("x")},
		{Name: "other", Host: "b", Prefix: "/p/", Destinations: singleDestination("x")},
	}})
	for target, name := range map[string]string{
		"/p/q/1": "long", "/p/q/": "long", "/p/q": "short", "/p/1?x=/p/q/": "short",
		"/pq/1": "all", "/": "all",
	} {
		c, ok := table.Match("a", target)
		must.True(t, ok, must.Sprint(target))
		must.Eq(t, name, c.Name, must.Sprint(target))
	}
	_, ok := table.Match("b", "/q")
	must.False(t, ok)
	_, ok = table.Match("c", "/p/1")
	must.False(t, ok)
}

// Guards against destinations that get less or more than their share within a
// few dozen requests.
func TestPickFollowsWeights(t *testing.T) {
	table := Compile(Config{Routes: []Route{{Host: "a", Prefix: "/", Destinations: []Destination{{"x", 90}, {"y", 10}}}}})
	c, _ := table.Match("a", "/")
	got := map[core.Service]int{}
	for range 100 {
		got[c.PickService()]++
	}
	must.Between(t, 87, got["x"], 93)
	must.Eq(t, 100, got["x"]+got["y"])
}

// Guards against replacing a configuration by an older one.
func TestCurrentTableKeepsNewest(t *testing.T) {
	var f CurrentTable
	must.Nil(t, f.Load())
	must.True(t, f.ReplaceIfNewer(Compile(Config{Version: 7})))
	must.False(t, f.ReplaceIfNewer(Compile(Config{Version: 6})))
	must.False(t, f.ReplaceIfNewer(Compile(Config{Version: 7})))
	must.Eq(t, 7, f.Load().Version)
}
