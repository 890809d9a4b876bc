package sidecar

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a stopping node that passes the readiness checks because a
// configuration that it handles at that moment makes it ready.
func TestStoppingNodeIsNotReady(t *testing.T) {
	n := &Node{}
	ready := func() int {
		w := httptest.NewRecorder()
		n.serveReady(w, nil, nil)
		return w.Code
	}
	must.Eq(t, http.StatusServiceUnavailable, ready())
	n.ready.Store(true)
	must.Eq(t, http.StatusOK, ready())
	// handleNewConfigs has read stopping, Stop sets both, handleNewConfigs goes on.
	n.ready.Store(false)
	n.stopping.Store(true)
	n.ready.Store(true)
	must.Eq(t, http.StatusServiceUnavailable, ready())
}
