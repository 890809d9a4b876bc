package wire

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against configurations and settings files that the platform would not
// write.
func TestDocumentsAreWellFormed(t *testing.T) {
	config := EncodeConfig(17, "h.example", []Route{{Name: "a", PathPrefix: "/a/", Kind: "upload", Service: "s", Timeout: time.Second}}, map[string]bool{"s": true})
	must.True(t, json.Valid(config), must.Sprint(string(config)))
	must.StrContains(t, string(config), `"00000011"`)
	settings := VM{Node: "n", DataCentre: "z", IP: "127.0.0.1", Service: "s", Store: "127.0.0.2"}.EncodeSettings(Bounds{DrainTime: 2 * time.Second, RetryRatio: 0.2})
	for line := range strings.SplitSeq(strings.TrimSpace(settings), "\n") {
		name, value, ok := strings.Cut(line, "=")
		must.True(t, ok && name != "" && value != "", must.Sprint(line))
	}
	must.StrContains(t, settings, "platform.address=127.0.0.2:8142\n")
	must.StrContains(t, settings, "drain=2s,")
}
