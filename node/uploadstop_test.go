package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
	"marjoramshore.example/standin/backend"
)

// Guards against a graceful stop that aborts a half-sent upload, whether it
// entered at another node or at the stopping node itself.
func TestStopWaitsForUpload(t *testing.T) {
	f := newFleet(t, 3)
	stopping := f.nodes[2]
	key := f.keysOwnedBy(stopping, 1)[0]
	f.logOnFailure(key)
	// A node with an older table offers the upload to the former owner, which
	// refuses it, and an upload is not sent twice.
	f.waitFor(10*time.Second, "all nodes know the owner of the key", func() bool { return f.allKnowOwner(key, stopping) })
	half := strings.Repeat("0123456789abcdef", 4<<10)
	sum := sha256.Sum256([]byte(half + half))
	uploads := []*upload{f.startUpload(f.nodes[0], key), f.startUpload(stopping, key)}
	for _, u := range uploads {
		_, err := io.WriteString(u.body, half)
		must.NoError(t, err)
	}
	f.waitFor(10*time.Second, "both uploads reached the backend server", func() bool {
		for i, u := range uploads {
			select {
			case r := <-u.result:
				t.Fatalf("upload %d ended before its second half: %+v", i, r)
			default:
			}
		}
		return f.backends[2].Stats().InFlight == 2
	})
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		stopped <- stopping.Stop(ctx)
	}()
	select {
	case err := <-stopped:
		t.Fatalf("stopped before the uploads ended: %v", err)
	case <-time.After(3 * time.Second): // longer than the 2 s until no new request is admitted
	}
	for _, u := range uploads {
		_, err := io.WriteString(u.body, half)
		must.NoError(t, err)
		must.NoError(t, u.body.Close())
		r := <-u.result
		must.NoError(t, r.err)
		must.Eq(t, "answered", r.outcome)
		must.Eq(t, int64(2*len(half)), r.echo.Length)
		must.Eq(t, hex.EncodeToString(sum[:]), r.echo.Digest)
	}
	must.NoError(t, <-stopped)
	f.nodes[2] = nil
}

// allKnowOwner reports whether the routing tables of all nodes name owner as the
// owner of key.
func (f *fleet) allKnowOwner(key string, owner *Node) bool {
	for _, n := range f.nodes {
		m, _, ok := n.routingTables.View().Table(owner.groupID()).Owner(core.HashKey(key))
		if !ok || !m.SameRun(owner.self) {
			return false
		}
	}
	return true
}

type upload struct {
	body   *io.PipeWriter
	result chan uploadResult
}

type uploadResult struct {
	outcome string
	reason  string
	echo    backend.Echo
	err     error
}

// startUpload begins a long request whose body the test writes to upload.body.
func (f *fleet) startUpload(n *Node, key string) *upload {
	f.t.Helper()
	r, w := io.Pipe()
	u := &upload{body: w, result: make(chan uploadResult, 1)}
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+n.CallerAddr()+"/upload/sheet", r)
	must.NoError(f.t, err)
	req.Header.Set("Marjoram-Service", testService)
	req.Header.Set("Marjoram-Key", key)
	req.Header.Set("Marjoram-Kind", "long")
	go func() {
		resp, err := f.caller.Do(req)
		if err != nil {
			u.result <- uploadResult{err: err}
			return
		}
		defer func() { _ = resp.Body.Close() }()
		received := uploadResult{outcome: resp.Header.Get("Marjoram-Outcome"), reason: resp.Header.Get("Marjoram-Reason")}
		received.err = json.NewDecoder(resp.Body).Decode(&received.echo)
		u.result <- received
	}()
	return u
}
