package suspects

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/panjf2000/ants/v2"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"marjoramshore.example/clock"
	"marjoramshore.example/peers"
	"marjoramshore.example/platform"
	"marjoramshore.example/standin/objects"
	"marjoramshore.example/suspect"
)

var discardLog = &log.Logger{Handler: discard.Default}

func eventually(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)), must.Sprint(failure))
}

// testPeers are the other nodes. Those that are down or full take no marks.
type testPeers struct {
	mu   sync.Mutex
	list []Peer
	down map[string]bool
	full map[string]bool
	got  map[string][]suspect.Mark
}

func (p *testPeers) Marks(_ context.Context, address string, r peers.MarksRequest) (peers.MarksAnswer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down[address] {
		return peers.MarksAnswer{}, &peers.CallError{Procedure: "Marks", Cause: context.DeadlineExceeded}
	}
	if p.full[address] {
		return peers.MarksAnswer{}, nil
	}
	p.got[address] = append(p.got[address], r.Marks...)
	return peers.MarksAnswer{Taken: true}, nil
}

func (p *testPeers) present() []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Peer(nil), p.list...)
}

func (p *testPeers) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func (p *testPeers) count(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.got[address])
}

// Guards against a node that never gets a mark because it could not be reached, or was
// started anew, at the time of the crash, and against marks that are sent again for ever.
func TestEachNodeGetsEachMarkOnce(t *testing.T) {
	p := &testPeers{
		list: []Peer{{"a", 1, "a"}, {"b", 2, "b"}, {"c", 3, "c"}}, down: map[string]bool{"b": true}, full: map[string]bool{"c": true}, got: map[string][]suspect.Mark{},
	}
	pool, err := ants.NewPool(4, ants.WithNonblocking(true))
	must.NoError(t, err)
	defer pool.Release()
	s := NewSpreader(SpreaderConfig{Service: "s", Clock: clock.NewReal(), Log: discardLog, Client: p, Pool: pool, Peers: p.present})
	go s.Run(t.Context())
	s.Spread([]suspect.Mark{{Fingerprint: 1}})
	eventually(t, "a gets nothing", func() bool { return p.count("a") == 1 })
	p.change(func() { p.down["b"] = false })
	eventually(t, "b gets nothing once it can be reached", func() bool { return p.count("b") == 1 })
	p.change(func() { p.full["c"] = false })
	eventually(t, "c gets nothing once it can take marks", func() bool { return p.count("c") == 1 })
	s.Spread([]suspect.Mark{{Fingerprint: 2}})
	eventually(t, "the second mark is not sent", func() bool { return p.count("a") == 2 && p.count("b") == 2 })
	p.change(func() { p.list[0].Incarnation, p.got["a"] = 9, nil })
	eventually(t, "a new process does not get both", func() bool { return p.count("a") == 2 })
	time.Sleep(3 * resendInterval)
	p.change(func() { must.Eq(t, 2, len(p.got["a"])); must.Eq(t, 2, len(p.got["b"])) })
}

// Guards against a quarantine that the store lacks: because a write failed, or because the
// store went back to an earlier copy; and against one that is written again after an
// operator has deleted it.
func TestArchiveKeepsQuarantines(t *testing.T) {
	store, err := objects.New()
	must.NoError(t, err)
	defer store.Close()
	store.TellEra()
	eras := platform.NewEras()
	client := platform.NewStoreClient(store.Addr(), platform.BriskTimeouts(), eras)
	a := NewArchive(ArchiveConfig{Kind: "k", Store: client, Eras: eras, Log: discardLog})
	go a.Run(t.Context())
	record := Record{Service: "s", Note: "POST /x", Mark: suspect.Mark{Fingerprint: 0xab, Quarantined: 5, Deaths: []suspect.DeathMark{{ID: 1, At: 2, Share: 1}}}}
	name := ObjectName(0xab)
	must.Eq(t, "quarantine.00000000000000ab", name)
	must.Eq(t, 0xab, ParseObjectName(name))
	store.SetDown(true)
	a.Keep(record)
	time.Sleep(50 * time.Millisecond)
	store.SetDown(false)
	eventually(t, "not written once the store is back", func() bool { return store.Has("k", name) })
	o, err := client.Get(t.Context(), "k", name)
	must.NoError(t, err)
	got, err := DecodeRecord(name, o.Spec)
	must.NoError(t, err)
	must.Eq(t, record, got)

	store.GoBack(time.Hour)
	must.False(t, store.Has("k", name))
	_, _ = client.List(t.Context(), "k") // the node hears of the new era
	eventually(t, "not written in the new era", func() bool { return store.Has("k", name) })

	a.Forget(name)
	store.Delete("k", name)
	store.GoBack(0)
	_, _ = client.List(t.Context(), "k")
	time.Sleep(2 * firstRetryDelay)
	must.False(t, store.Has("k", name), must.Sprint("an operator has deleted it"))
}

// slowStore holds each Create until the test lets it go on.
type slowStore struct {
	began   chan string
	proceed chan struct{}
	removed chan string
}

func (s *slowStore) Create(_ context.Context, _, name string, _ json.RawMessage) (platform.Object, error) {
	s.began <- name
	<-s.proceed
	return platform.Object{}, nil
}

func (s *slowStore) Delete(_ context.Context, _, name string) error {
	s.removed <- name
	return nil
}

// Guards against a lifted quarantine that is written again in a new era, because the
// archive has not yet taken the change that forgets it, or because the call was under way.
func TestLiftedQuarantineIsNotWrittenInANewEra(t *testing.T) {
	store, eras := &slowStore{make(chan string), make(chan struct{}), make(chan string)}, platform.NewEras()
	a := NewArchive(ArchiveConfig{Kind: "k", Store: store, Eras: eras, Log: discardLog})
	go a.Run(t.Context())
	created := func(f suspect.Fingerprint) { must.Eq(t, ObjectName(f), <-store.began) }
	for f := range suspect.Fingerprint(3) {
		a.Keep(Record{Mark: suspect.Mark{Fingerprint: f + 1, Quarantined: 5}})
		created(f + 1)
		store.proceed <- struct{}{}
	}
	eras.Advance(1)
	created(1)
	a.Forget(ObjectName(2))
	store.proceed <- struct{}{}
	created(3)
	a.Forget(ObjectName(1))
	eras.Advance(2)
	store.proceed <- struct{}{}
	created(3)
	a.Forget(ObjectName(3))
	store.proceed <- struct{}{}
	must.Eq(t, ObjectName(3), <-store.removed)
}

// Guards against an object of another writer that quarantines a request, or ends the
// process.
func TestOddObjectIsNoQuarantine(t *testing.T) {
	for name, spec := range map[string]string{
		"no JSON":       "{",
		"empty":         "{}",
		"not in force":  `{"Service":"s","Mark":{"Fingerprint":171}}`,
		"another name":  `{"Service":"s","Mark":{"Fingerprint":172,"Quarantined":5}}`,
		"negative":      `{"Service":"s","Mark":{"Fingerprint":-1,"Quarantined":5}}`,
		"another shape": `{"Service":"s","Mark":[1]}`,
	} {
		_, err := DecodeRecord(ObjectName(171), json.RawMessage(spec))
		must.Error(t, err, must.Sprint(name))
	}
}
