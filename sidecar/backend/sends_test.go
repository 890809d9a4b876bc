package backend

import (
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// Guards against a refusal that proves false: a request that its sender has
// withdrawn, and answered as not run, still runs when it arrives late or gets a
// slot. A request that has a slot cannot be withdrawn.
func TestWithdrawnRequestNeverRuns(t *testing.T) {
	p := startProxy(t)
	serve := func(number uint64, body io.Reader, length int64) <-chan error {
		req := newRequest("r", length, body)
		req.SendID = core.SendID{Sender: 5, Number: number}
		done := make(chan error, 1)
		go func() {
			resp, err := p.Serve(t.Context(), req)
			if err == nil {
				err = resp.Body.Close()
			}
			done <- err
		}()
		return done
	}
	withdraw := func(number uint64) bool { return p.Withdraw(t.Context(), core.SendID{Sender: 5, Number: number}) }
	// The first request has the only slot until its body ends.
	body, writer := io.Pipe()
	running := serve(1, body, maxBufferedBody+1)
	_, err := writer.Write(make([]byte, 100_000))
	must.NoError(t, err)
	waiting := serve(2, strings.NewReader(""), 0)
	for p.Load().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	must.False(t, withdraw(1))
	must.True(t, withdraw(2))
	must.True(t, withdraw(2), must.Sprint("a repeated call"))
	must.True(t, withdraw(3))
	_, err = writer.Write(make([]byte, maxBufferedBody+1-100_000))
	must.NoError(t, err)
	must.NoError(t, writer.Close())
	must.NoError(t, <-running)
	must.Eq(t, core.CodeCanceledNotRun, core.CodeOf(<-waiting))
	must.Eq(t, core.CodeCanceledNotRun, core.CodeOf(<-serve(3, strings.NewReader(""), 0)))
	must.NoError(t, <-serve(4, strings.NewReader(""), 0))
	must.False(t, withdraw(1), must.Sprint("it has run"))
	must.False(t, withdraw(4), must.Sprint("it has run"))
	must.False(t, p.Withdraw(t.Context(), core.SendID{}))
}

// Guards against a node that forgets a request that ran while its sender can
// still withdraw it, or forgets a withdrawn one that may still arrive.
func TestSendRecordsOutliveTheWithdrawWindow(t *testing.T) {
	now := clock.Instant(time.Hour)
	s := newSendRecords()
	id := func(n int) core.SendID { return core.SendID{Sender: 1, Number: uint64(n)} }
	for n := range 600 { // 10 a second
		s.admit(now.Add(time.Duration(n)*100*time.Millisecond), id(n+1))
		for _, age := range []int{0, 50, 149} {
			if n >= age {
				must.False(t, s.withdraw(now.Add(time.Duration(n)*100*time.Millisecond), id(n+1-age)))
			}
		}
	}
	must.LessEq(t, 301, len(s.admitted)+len(s.earlier))
	must.MapLen(t, 0, s.withdrawnAt)
	now = now.Add(time.Hour)
	for n := range maxWithdrawn {
		must.True(t, s.withdraw(now, id(10_000+n)))
	}
	must.False(t, s.withdraw(now.Add(minWithdrawnPeriod-time.Second), id(1_000_000)), must.Sprint("there is no room"))
	must.True(t, s.withdraw(now.Add(minWithdrawnPeriod), id(1_000_000)))
	must.False(t, s.isWithdrawn(id(10_000)))
	must.True(t, s.isWithdrawn(id(10_001)))
	must.Eq(t, maxWithdrawn, len(s.withdrawnAt))
}

// Guards against a withdrawal that is confirmed while the request gets its slot.
func TestWithdrawalAndAdmissionExcludeEachOther(t *testing.T) {
	p := startProxy(t)
	var confirmed, ran int
	for n := uint64(1); n <= 300; n++ {
		req := newRequest("r", 0, strings.NewReader(""))
		req.SendID = core.SendID{Sender: 5, Number: n}
		done := make(chan error, 1)
		go func() {
			resp, err := p.Serve(t.Context(), req)
			if err == nil {
				err = resp.Body.Close()
			}
			done <- err
		}()
		if n%2 == 0 {
			runtime.Gosched()
		}
		notRun := p.Withdraw(t.Context(), req.SendID)
		err := <-done
		must.Eq(t, notRun, err != nil, must.Sprint("request ", n, ": ", err))
		if notRun {
			must.Eq(t, core.CodeCanceledNotRun, core.CodeOf(err))
			confirmed++
		} else {
			ran++
		}
	}
	t.Logf("%d withdrawn, %d ran", confirmed, ran)
}
