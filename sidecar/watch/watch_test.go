package watch

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against calls in quick succession to a store that refuses them, and
// against a delay so long that a configuration comes into force late.
func TestRetryDelayGrowsToMaximum(t *testing.T) {
	must.Eq(t, callInterval, delayAfter(0))
	for range 100 {
		must.Between(t, firstRetryDelay/2, delayAfter(1), firstRetryDelay*3/2)
		must.Between(t, maxRetryDelay/2, delayAfter(3), maxRetryDelay*3/2)
		must.Between(t, maxRetryDelay/2, delayAfter(1000), maxRetryDelay*3/2)
	}
}
