package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/clock"
)

// Guards against a node that believes a single other one which announces a
// configuration that nobody else has, and against one that does not notice that
// its own is old.
func TestNewestConfigIsThatOfTwoNodes(t *testing.T) {
	v := NewView("me")
	must.Eq(t, 0, v.NewestConfig(0).Version)
	announce := func(at clock.Instant, node string, version uint64, digest ...byte) {
		v.ApplyBeacon(at, Beacon{Entry: newEntry(node, 1, 10, 1), ConfigVersion: version, ConfigDigest: digest})
	}
	announce(start, "a", 5, 1)
	must.Eq(t, AnnouncedConfig{5, []byte{1}}, v.NewestConfig(0))
	announce(start, "b", 3, 3)
	announce(start, "c", 2)
	must.Eq(t, AnnouncedConfig{3, []byte{3}}, v.NewestConfig(0))
	announce(start, "c", 5)
	must.Eq(t, AnnouncedConfig{5, []byte{1}}, v.NewestConfig(0))
	// Later beacons of the same version leave out the digest.
	announce(start, "a", 5)
	must.Eq(t, AnnouncedConfig{5, []byte{1}}, v.NewestConfig(0))
	announce(start, "a", 6)
	announce(start, "c", 6)
	must.Eq(t, AnnouncedConfig{6, nil}, v.NewestConfig(0))
	v.UpdateLiveness(start.Add(lostAfter))
	must.Eq(t, 0, v.NewestConfig(0).Version)
}

// Guards against a lag that seems to begin anew with each version while a node
// never catches up, and against one that counts from a version that the node has
// meanwhile.
func TestConfigLagCountsFromFirstMissingVersion(t *testing.T) {
	var l ConfigLag
	at := func(ms int) clock.Instant { return start.Add(time.Duration(ms) * time.Millisecond) }
	must.Nil(t, l.Update(at(0), 4, AnnouncedConfig{Version: 4}))
	must.Eq(t, &NewerConfig{AnnouncedConfig{Version: 5}, at(100)}, l.Update(at(100), 4, AnnouncedConfig{Version: 5}))
	must.Eq(t, &NewerConfig{AnnouncedConfig{Version: 7}, at(100)}, l.Update(at(400), 4, AnnouncedConfig{Version: 7}))
	must.Eq(t, &NewerConfig{AnnouncedConfig{Version: 9}, at(400)}, l.Update(at(700), 5, AnnouncedConfig{Version: 9}))
	must.Nil(t, l.Update(at(800), 9, AnnouncedConfig{Version: 9}))
	must.Eq(t, &NewerConfig{AnnouncedConfig{Version: 10}, at(900)}, l.Update(at(900), 9, AnnouncedConfig{Version: 10}))
	for i := range uint64(1000) {
		must.Eq(t, &NewerConfig{AnnouncedConfig{Version: 10 + i}, at(900)}, l.Update(at(1000), 9, AnnouncedConfig{Version: 10 + i}))
	}
}

// Guards against a document that is asked of a node whose link is full while
// others have it too.
func TestDocumentIsAskedOfNodeWithFreeLink(t *testing.T) {
	v := NewView("me")
	for _, b := range []struct {
		node string
		link float64
	}{{"a", 0.95}, {"b", 0.3}, {"c", 0.9}} {
		v.ApplyBeacon(start, Beacon{Entry: newEntry(b.node, 1, 10, 1), ConfigVersion: 5, LinkShare: b.link})
	}
	for range 50 {
		e, ok := v.FindNewerConfig(4)
		must.True(t, ok)
		must.Eq(t, "b", e.Node)
	}
	v.ApplyBeacon(start, Beacon{Entry: newEntry("b", 1, 10, 1), ConfigVersion: 5, LinkShare: 0.9})
	_, ok := v.FindNewerConfig(4)
	must.True(t, ok)
}
