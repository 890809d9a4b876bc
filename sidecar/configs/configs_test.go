package configs

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"marjoramshore.example/platform"
	"marjoramshore.example/routes"
)

const specFormat = `{"version":"%08x","limits":{"header-timeout":"1s","idle-timeout":"1s"}}`

func offerOf(version int) Offer {
	return Offer{platform.Object{Name: "main", Revision: uint64(100 + version), Spec: json.RawMessage(fmt.Sprintf(specFormat, version))}, "test"}
}

// startKeeper starts a keeper that calls onChange with each version that comes
// into force. The returned function stops it.
func startKeeper(t *testing.T, logger log.Interface, onChange func(uint64)) (*Keeper, *routes.CurrentTable, func()) {
	table := &routes.CurrentTable{}
	k := New(Config{Log: logger, Routes: table, OnChange: func(c routes.Config) { onChange(c.Version) }})
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		k.Run(ctx)
	}()
	stop := func() { cancel(); <-stopped }
	t.Cleanup(stop)
	return k, table, stop
}

func waitForVersion(t *testing.T, table *routes.CurrentTable, version uint64) {
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		present := table.Load()
		return present != nil && present.Version == version
	}), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
}

// Guards against an older configuration that is handled last: what follows from
// it, such as the key controllers of its services, then lacks what the newer one
// added. A second configuration arrives here while the first is being put in
// force.
func TestOlderConfigurationIsNotHandledLast(t *testing.T) {
	var k *Keeper
	var handled []uint64
	done := make(chan struct{})
	logger := &log.Logger{Handler: log.HandlerFunc(func(e *log.Entry) error {
		if e.Fields["version"] == uint64(1) {
			k.Offer(t.Context(), offerOf(2))
		}
		return nil
	})}
	k, table, _ := startKeeper(t, logger, func(version uint64) {
		if handled = append(handled, version); len(handled) == 2 {
			close(done)
		}
	})
	k.Offer(t.Context(), offerOf(1))
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the second configuration did not come into force")
	}
	must.Eq(t, []uint64{1, 2}, handled)
	must.Eq(t, 2, table.Load().Version)
	must.Eq(t, 102, k.Object().Revision)
}

// Guards against a node whose object for other nodes is older than the version
// that it announces, and against a configuration that is lost while several
// goroutines offer theirs.
func TestNewestOfConcurrentOffersIsInForce(t *testing.T) {
	const versions = 40
	var handled []uint64
	k, table, stop := startKeeper(t, &log.Logger{Handler: discard.Default}, func(version uint64) { handled = append(handled, version) })
	var all sync.WaitGroup
	for range 4 {
		order := rand.Perm(versions)
		all.Go(func() {
			for _, i := range order {
				k.Offer(t.Context(), offerOf(i+1))
				if present := table.Load(); present != nil {
					must.GreaterEq(t, 100+present.Version, k.Object().Revision)
				}
			}
		})
	}
	all.Wait()
	waitForVersion(t, table, versions)
	must.Eq(t, 100+versions, k.Object().Revision)
	stop()
	must.True(t, slices.IsSorted(handled))
}

// Guards against a configuration that cannot be decoded and hides an older one
// that can, and is newer than that in force.
func TestMalformedConfigurationDoesNotHideOthers(t *testing.T) {
	k, table, _ := startKeeper(t, &log.Logger{Handler: discard.Default}, func(uint64) {})
	broken := offerOf(9)
	broken.Object.Spec = json.RawMessage(`{"version":"00000009","limits":[]}`)
	k.Offer(t.Context(), broken)
	k.Offer(t.Context(), offerOf(3))
	waitForVersion(t, table, 3)
	must.Eq(t, 103, k.Object().Revision)
}
