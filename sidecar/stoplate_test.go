package sidecar_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/standin/keyed"
)

// Guards against a request of another node that is taken late in the grace period of
// a stop, while a request of the node's own callers still runs: it would be passed on
// and cut off at the end without an answer.
func TestStoppingNodeRefusesLateRequestsOfOtherNodes(t *testing.T) {
	f := startFleet(t, "prices", "prices", "reports")
	key := f.backends[0].KeyRanges()[0].From
	f.backends[0].SetFault(keyed.NeverAnswer)
	f.backends[2].SetFault(keyed.NeverAnswer)
	stopped := make(chan struct{})
	began := time.Now()
	go func() {
		defer close(stopped)
		f.nodes[0].Stop()
	}()
	time.Sleep(time.Until(began.Add(2300 * time.Millisecond)))
	own := make(chan struct{})
	go func() { // runs until its deadline, which is after the end of the stop
		defer close(own)
		_, _, _ = f.send(0, "POST", "/sheet/1", "own", -1, "body")
	}()
	time.Sleep(time.Until(began.Add(3600 * time.Millisecond)))
	resp, _, err := f.send(1, "POST", "/enter/1", "late", key, "")
	must.NoError(t, err)
	must.NotEq(t, http.StatusBadGateway, resp.StatusCode, must.Sprint("the request was cut off"))
	must.Eq(t, 0, f.backends[0].RunCount("late"))
	<-stopped
	<-own
	f.nodes = f.nodes[1:]
}
