package backend

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

func call(s *Server, path, body string, header ...string) (w *httptest.ResponseRecorder, aborted bool) {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w = httptest.NewRecorder()
	defer func() { aborted = recover() != nil }()
	s.ServeHTTP(w, r)
	return w, false
}

// Guards against an echo that hides a lost or changed part of an upload.
func TestEchoesDigestAndLength(t *testing.T) {
	s := New(Config{Service: "raportit"})
	must.NoError(t, s.Start("127.0.0.1:0"))
	defer s.Close()
	body := strings.Repeat("hinta", 100_000)
	resp, err := http.Post("http://"+s.Addr()+"/upload/1", "", strings.NewReader(body))
	must.NoError(t, err)
	defer resp.Body.Close()
	var e Echo
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&e))
	sum := sha256.Sum256([]byte(body))
	must.Eq(t, int64(len(body)), e.Length)
	must.Eq(t, hex.EncodeToString(sum[:]), e.Digest)
}

// Guards against duplicate runs that the counters miss.
func TestCountsDuplicateRuns(t *testing.T) {
	s := New(Config{})
	for _, id := range []string{"a", "b", "b"} {
		call(s, "/short", "", HeaderRequestID, id, HeaderCustomer, "c", HeaderIdempotencyKey, "k")
	}
	must.Eq(t, 2, s.Stats().DuplicateRuns)
	must.Eq(t, 1, s.Stats().DuplicateIDs)
	must.Eq(t, RunCounts{Received: 2, Started: 2, Completed: 2}, s.RunsOfRequest("b"))
	must.Eq(t, 3, s.RunsOfIdempotencyKey("c", "k").Started)
}

// Guards against a server that accepts a request with an older fencing token
// than one it has seen, and against one that rejects tokens because of another
// range.
func TestRejectsOutdatedTokens(t *testing.T) {
	for _, checks := range []bool{true, false} {
		s := New(Config{ChecksTokens: checks})
		status := func(key, token, rng string) int {
			w, _ := call(s, "/short", "", HeaderKey, key, HeaderToken, token, HeaderRange, rng)
			return w.Code
		}
		staleStatus := map[bool]int{true: http.StatusConflict, false: http.StatusOK}[checks]
		must.Eq(t, http.StatusOK, status("k", "2.7", "0-ffffffffffffffff"))
		must.Eq(t, staleStatus, status("k", "2.6", ""))
		must.Eq(t, staleStatus, status("other", "1.9", ""))
		must.Eq(t, http.StatusOK, status("k", "3.0", ""))
		must.Eq(t, staleStatus, status("k", "2.9", ""))
		must.Eq(t, http.StatusOK, status("other", "2.9", ""))
	}
}

// Guards against more running requests than slots, and against an unbounded
// queue.
func TestSlotsAndQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{Slots: 2, MaxQueued: 3})
		var wg sync.WaitGroup
		start := time.Now()
		for range 6 {
			wg.Go(func() { call(s, "/x", "", HeaderServiceTime, "10") })
			synctest.Wait()
		}
		wg.Wait()
		st := s.Stats()
		must.Eq(t, 2, st.PeakInFlight)
		must.Eq(t, 1, st.Shed)
		must.Eq(t, 5, st.Completed)
		must.Eq(t, 30*time.Millisecond, time.Since(start))
	})
}

// Guards against a paused server that still answers, and against one that loses
// the requests it held when it resumes.
func TestPauseAndResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		done := make(chan int, 1)
		go func() {
			w, _ := call(s, "/x", "", HeaderServiceTime, "10")
			done <- w.Code
		}()
		synctest.Wait()
		s.Pause()
		time.Sleep(time.Minute)
		must.Eq(t, 0, len(done))
		s.Resume()
		must.Eq(t, http.StatusOK, <-done)
	})
}

// Guards against a crash after which running requests are answered or their
// counts are lost, and against a restarted server without cold service times.
func TestPoisonCrashesAndRestartIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{WarmUpTime: time.Second, ColdStartFactor: 11, ServiceTimes: []PathServiceTime{{"/", LogNormal{Median: 10 * time.Millisecond}}}})
		time.Sleep(time.Second)
		other := make(chan bool, 1)
		go func() { _, aborted := call(s, "/long", "", HeaderRequestID, "other"); other <- aborted }()
		synctest.Wait()
		_, aborted := call(s, "/poison", "", HeaderRequestID, "p")
		must.True(t, aborted)
		must.True(t, <-other)
		must.False(t, s.Running())
		must.Eq(t, RunCounts{Received: 1, Started: 1}, s.RunsOfRequest("p"))
		must.NoError(t, s.Restart())
		start := time.Now()
		call(s, "/", "")
		must.Eq(t, 110*time.Millisecond, time.Since(start))
		time.Sleep(time.Second)
		start = time.Now()
		call(s, "/", "")
		must.Eq(t, 10*time.Millisecond, time.Since(start))
	})
}

// Guards against a crash that leaves connections open, and against a restart at
// another address.
func TestCrashDropsConnectionsAndRestartsAtSameAddress(t *testing.T) {
	s := New(Config{})
	must.NoError(t, s.Start("127.0.0.1:0"))
	defer s.Close()
	_, err := http.Get("http://" + s.Addr() + "/poison")
	must.Error(t, err)
	must.NoError(t, s.Restart())
	resp, err := http.Get("http://" + s.Addr() + "/healthz")
	must.NoError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	must.Eq(t, http.StatusOK, resp.StatusCode)
}

// Guards against more open connections than configured.
func TestConnectionLimit(t *testing.T) {
	s := New(Config{MaxConnections: 2})
	must.NoError(t, s.Start("127.0.0.1:0"))
	defer s.Close()
	for i := range 3 {
		c, err := net.Dial("tcp", s.Addr())
		must.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
		answer := make([]byte, 15)
		if err == nil {
			_, err = io.ReadFull(c, answer)
		}
		must.Eq(t, i < 2, err == nil)
	}
	must.Eq(t, 2, s.Stats().PeakConnections)
	must.Eq(t, 1, s.Stats().RefusedConnections)
}

// Guards against load reports that cannot be outdated or wrong: routers are
// tested with both.
func TestLoadReportAgeAndDistortion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{LoadReportMaxAge: time.Second, DistortLoad: func(l Load) Load { l.Queued = 99; return l }})
		must.Eq(t, Load{Slots: 17, Queued: 99}, s.currentLoad())
		go call(s, "/x", "", HeaderServiceTime, "5000")
		synctest.Wait()
		must.Eq(t, 0, s.currentLoad().InFlight)
		time.Sleep(time.Second)
		must.Eq(t, 1, s.currentLoad().InFlight)
		time.Sleep(5 * time.Second)
	})
}

// Guards against requests that run during a drain.
func TestDrainRejectsRequests(t *testing.T) {
	s := New(Config{})
	s.SetDraining(true)
	w, _ := call(s, "/short", "")
	must.Eq(t, http.StatusServiceUnavailable, w.Code)
	must.Eq(t, 0, s.Stats().Started)
	s.SetDraining(false)
	w, _ = call(s, "/short", "")
	must.Eq(t, http.StatusOK, w.Code)
}
