package keyed

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/standin/loopback"
)

// endObserver notes when the server told that it has ended.
type endObserver struct {
	Observer
	ended chan time.Time
}

// Ended implements Observer.
func (o endObserver) Ended(string) { o.ended <- time.Now() }

// KeysGranted implements Observer.
func (o endObserver) KeysGranted(string, []KeyRange, time.Time) {}

// Guards against an end that is told only when the goroutines of the server have
// ended, one of which may wait for the answer to a status report. Its keys may have
// another holder by then, since nothing listens at its address any more.
func TestEndIsToldWhileAReportWaits(t *testing.T) {
	reported, answer := make(chan struct{}, 16), make(chan struct{})
	node := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		reported <- struct{}{}
		<-answer
	}))
	defer node.Close()
	o := endObserver{ended: make(chan time.Time, 1)}
	s, err := Start(loopback.IP(1, 200)+":0", Config{
		Service: "s", Instance: "i", ReportAddress: node.Listener.Addr().String(), Sharded: true, Slots: 1, ReportInterval: time.Second, Observer: o,
	})
	must.NoError(t, err)
	<-reported
	crashed := make(chan time.Time)
	go func() {
		s.Crash()
		crashed <- time.Now()
	}()
	var ended time.Time
	select {
	case ended = <-o.ended:
	case <-crashed:
		t.Fatal("the end is not told while a report waits")
	case <-time.After(5 * time.Second):
		t.Fatal("the end is not told")
	}
	close(answer)
	must.False(t, (<-crashed).Before(ended))
}
