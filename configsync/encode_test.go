package configsync

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
	"marjoramshore.example/intent"
)

// Guards against an encoding that loses a part of the configuration that members
// need.
func TestEncodeForMembers(t *testing.T) {
	c := intent.Config{Revision: 7, History: []intent.HistoryEntry{{Revision: 7}}}
	for i := range 60 {
		c.Declaration.Services = append(c.Declaration.Services, intent.Service{Name: core.Service(fmt.Sprintf("service-%d", i)), Groups: 6, Slots: 17})
	}
	b, err := EncodeForMembers(c)
	must.NoError(t, err)
	got, err := intent.DecodeConfig(b)
	must.NoError(t, err)
	must.Eq(t, c.Revision, got.Revision)
	must.Eq(t, c.Declaration, got.Declaration)
}
