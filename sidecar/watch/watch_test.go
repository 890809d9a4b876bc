package watch

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against calls in quick succession to a store that refuses them, and
// against a pause so long that a configuration comes late.
func TestPausesGrowAndEnd(t *testing.T) {
	must.Eq(t, pause, pauseAfter(0))
	for range 100 {
		must.Between(t, retryFirst/2, pauseAfter(1), retryFirst*3/2)
		must.Between(t, retryLast/2, pauseAfter(3), retryLast*3/2)
		must.Between(t, retryLast/2, pauseAfter(1000), retryLast*3/2)
	}
}
