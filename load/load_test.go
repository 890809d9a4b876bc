package load

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against coordinated omission: a stall of the server must show in the
// latency of the requests that were due during it.
func TestStallShowsInLatency(t *testing.T) {
	var first = time.Now()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if since := time.Since(first); since > 200*time.Millisecond && since < 500*time.Millisecond {
			time.Sleep(500*time.Millisecond - since)
		}
		b, _ := io.ReadAll(r.Body)
		sum := sha256.Sum256(b)
		w.Header().Set("Marjoram-Outcome", "answered")
		_ = json.NewEncoder(w).Encode(map[string]string{"request_id": r.Header.Get("Marjoram-Request-Id"), "sha256": hex.EncodeToString(sum[:])})
	}))
	defer srv.Close()
	r, err := New(Config{Service: "s", Targets: []string{strings.TrimPrefix(srv.URL, "http://")}, RequestRate: 300, Duration: time.Second,
		Mix: []Class{{Name: "submit", Weight: 1, Method: http.MethodPost, Path: "/", BodyBytes: 1000, AtMostOnce: true}}, Seed: 1})
	must.NoError(t, err)
	first = time.Now()
	rep := r.Run(t.Context(), nil)
	must.Eq(t, 0, rep.Corrupted())
	must.Eq(t, rep.Requests(), rep.CountOutcome("answered"))
	// 30% of the run stalls, so the 90th percentile must see the stall.
	must.Greater(t, 50*time.Millisecond, rep.Classes[0].P90)
}

// Guards against a wrong popularity of keys, on which measurements of the
// placement depend.
func TestZipfShareOfTopRank(t *testing.T) {
	z := newZipf(1000, 0.99)
	rng := rand.New(rand.NewPCG(1, 1))
	top := 0
	for range 100_000 {
		if z.draw(rng) == 0 {
			top++
		}
	}
	// The share of rank 1 among 1000 ranks at 0.99 is 1/7.73.
	must.Between(t, 12_400, top, 13_500)
}
