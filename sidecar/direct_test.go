package sidecar_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
	"marjoramshore.example/platform"
	"marjoramshore.example/routes"
	"marjoramshore.example/standin/keyed"
)

// startDirectFleet starts a fleet that grants keys by calls.
func startDirectFleet(t *testing.T, services ...core.Service) *testFleet {
	return startFleetWith(t, func(_ int, s *platform.Settings) { s.GrantMode = routes.GrantByCall }, services...)
}

// Guards against a deployment with direct grants in which no backend server is
// granted a key, so that no request with a key is served (site arenal-bajio: no
// grant was given on any day).
func TestRequestsReachTheOwnerOfKeysGrantedByCalls(t *testing.T) {
	f := startDirectFleet(t, "prices", "prices", "reports")
	for i := range 60 {
		resp, _, err := f.send(i%3, "GET", "/look/x", fmt.Sprintf("d%d", i), i*1000, "")
		must.NoError(t, err)
		must.Eq(t, 200, resp.StatusCode, must.Sprint(i))
	}
}

// Guards against keys with two holders, and keys without a holder for long, when
// calls get no answer and are carried out later, after newer ones, while keys move
// to other backend servers.
func TestUnansweredGrantCallsGiveNoKeyTwoHolders(t *testing.T) {
	f := startDirectFleet(t, "prices", "prices", "prices")
	for _, b := range f.backends {
		b.SetCallFaults(keyed.CallFaults{Every: 4, Late: 1500 * time.Millisecond})
	}
	f.backends[0].Leave()
	f.waitFor("the keys of the leaving backend server are granted to the others", 8*time.Second, func() bool {
		return f.eachKeyHeldOnce("prices") && len(f.backends[0].KeyRanges()) == 0
	})
	for range 40 { // the late calls of the move are carried out meanwhile
		f.eachKeyHeldOnce("prices")
		time.Sleep(50 * time.Millisecond)
	}
	f.waitFor("each key is held after the late calls", 5*time.Second, func() bool { return f.eachKeyHeldOnce("prices") })
}

// Guards against a second copy of an answer that passes for the answer to the next
// call: a release that counts as done while work on its keys runs, or a grant that
// ends a doubt without having been carried out.
func TestRepeatedAnswersToCallsGiveNoKeyTwoHolders(t *testing.T) {
	f := startDirectFleet(t, "prices", "prices", "prices")
	for _, b := range f.backends {
		b.SetCallFaults(keyed.CallFaults{Every: 5, Late: time.Second, Twice: true})
	}
	time.Sleep(1500 * time.Millisecond) // all grants are renewed with repeated answers
	f.backends[0].Leave()
	f.waitFor("the keys of the leaving backend server are granted to the others", 8*time.Second, func() bool {
		return f.eachKeyHeldOnce("prices") && len(f.backends[0].KeyRanges()) == 0
	})
	must.Eq(t, "", f.unservedKey())
}

// Guards against keys that stay with a node's former process: the next one must
// renew their grants without a move.
func TestRestartedNodeRenewsGrantsByCalls(t *testing.T) {
	f := startDirectFleet(t, "prices", "prices")
	f.nodes[0].Stop()
	f.nodes[0] = f.startNode(f.settings[0])
	f.waitFor("requests for all keys are served again", 10*time.Second, f.servesAllKeys)
}

// putConfigWithGrants writes a configuration that names the way of granting keys.
func (f *testFleet) putConfigWithGrants(version int, way string) {
	f.store.Put("config", "main", []byte(strings.NewReplacer(
		`"sharded"]`, `"sharded","grants"]`, `["prices",100,true]`, `["prices",100,true,"`+way+`"]`, `["reports",100,null]`, `["reports",100,null,null]`,
	).Replace(fmt.Sprintf(configFormat, version, ""))))
}

// servesAllKeys reports whether requests for keys all over the key space are served.
func (f *testFleet) servesAllKeys() bool { return f.unservedKey() == "" }

// unservedKey describes a key for which a request is not served, or that is not held
// once. It returns "" if there is none.
func (f *testFleet) unservedKey() string {
	for i := range 16 {
		resp, body, err := f.send(1, "GET", "/look/x", fmt.Sprintf("s%d-%d", i, time.Now().UnixNano()), i*4096, "")
		if err != nil {
			return fmt.Sprintf("key %d: %v", i*4096, err)
		}
		if resp.StatusCode != 200 {
			return fmt.Sprintf("key %d: status %d, %q, %v", i*4096, resp.StatusCode, body, resp.Header)
		}
	}
	if !f.eachKeyHeldOnce("prices") {
		return "a key is not held once"
	}
	return ""
}

// Guards against a configuration that changes the way of granting keys and leaves
// them with nobody, or with two.
func TestConfigurationChangesTheWayOfGranting(t *testing.T) {
	f := startFleetWith(t, func(_ int, s *platform.Settings) { s.GrantMode = routes.GrantByReport }, "prices", "prices")
	must.Zero(t, f.backends[0].GrantCalls())
	f.putConfigWithGrants(7, "direct")
	f.waitFor("keys are granted by calls", 8*time.Second, func() bool { return f.backends[0].GrantCalls() > 0 && f.backends[1].GrantCalls() > 0 })
	for i, way := range []string{"heartbeat", "direct"} {
		f.waitFor("each key is held by its backend server", 8*time.Second, f.servesAllKeys)
		f.putConfigWithGrants(8+i, way)
	}
	f.waitFor("each key is held by its backend server", 8*time.Second, f.servesAllKeys)
}
