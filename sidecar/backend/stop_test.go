package backend

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
)

// Guards against a stop that cuts off a request of another node that waits for a
// slot: its caller would be told that it may have run.
func TestStopRefusesRequestsThatWaitForASlot(t *testing.T) {
	p := startProxy(t)
	slow, writer := io.Pipe()
	running, waiting := make(chan error, 1), make(chan error, 1)
	go func() { // takes the only slot, since its body is too long to be read before
		resp, err := p.Serve(t.Context(), newRequest("running", maxBufferedBody+1, slow))
		if err == nil {
			err = resp.Body.Close()
		}
		running <- err
	}()
	_, err := writer.Write(make([]byte, 1))
	must.NoError(t, err)
	go func() {
		_, err := p.Serve(t.Context(), newRequest("waiting", 0, strings.NewReader("")))
		waiting <- err
	}()
	for end := time.Now().Add(2 * time.Second); p.Load().Waiting == 0; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end))
	}
	p.EndWaits()
	must.Eq(t, core.CodeDraining, core.CodeOf(<-waiting))
	_, err = writer.Write(make([]byte, maxBufferedBody))
	must.NoError(t, err)
	must.NoError(t, writer.Close())
	must.NoError(t, <-running)
}
