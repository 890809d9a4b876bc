package sidecar_test

import (
	"fmt"
	"testing"
	"time"
)

// Guards against odd entries of another writer in the platform's store that keep a
// node which starts from finding the others, end its process, or draw requests.
func TestOddEntriesInTheStoreHarmNoStart(t *testing.T) {
	f := startFleet(t, "prices", "prices", "reports")
	for name, spec := range map[string]string{
		"node.odd-port":   `{"node":"odd-port","incarnation":"0","inbound":"127.0.0.1:99999","peer":"127.0.0.1:99999","service":"reports","state":1,"slots":4}`,
		"node.odd-number": `{"node":"odd-number","incarnation":"0","inbound":"127.0.0.1:1","peer":"127.0.0.1:1","service":"reports","state":1,"slots":1e400}`,
		"node.odd-type":   `[["node"]]`,
		"keys.prices2":    `{"rows":"AAAA","term":1e400}`,
		"odd":             `"entry"`,
	} {
		f.store.Put("marjoramshore", name, []byte(spec))
	}
	f.nodes[1].Stop()
	f.nodes[1] = f.startNode(f.settings[1])
	f.waitFor("the started node does not serve requests for other nodes", 10*time.Second, func() bool {
		for i := range 10 {
			resp, _, err := f.send(1, "POST", "/sheet/1", fmt.Sprintf("odd-%d-%d", time.Now().UnixNano(), i), -1, "body")
			if err != nil || resp.StatusCode != 200 {
				return false
			}
		}
		resp, _, err := f.send(1, "GET", "/look/x", "odd", f.backends[0].KeyRanges()[0].From, "")
		return err == nil && resp.StatusCode == 200
	})
}
