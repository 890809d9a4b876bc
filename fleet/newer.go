package fleet

import (
	"slices"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// AnnouncedConfig is a configuration that other nodes have in force.
type AnnouncedConfig struct {
	Version uint64
	// Digest describes its routes, or is empty if it is not known.
	Digest []byte
}

// busyLink is the use of a link from which a node is asked for documents only if
// all others that have them are as busy.
const busyLink = 0.8

// FindNewerConfig returns a live node whose configuration is newer than
// version, or false.
func (v *View) FindNewerConfig(version uint64) (Entry, bool) {
	if v.newestConfig <= version {
		return Entry{}, false
	}
	return v.findNode(func(n *nodeState) bool { return n.configVersion > version })
}

// FindNewerTable returns a live node whose key table of a service is newer than
// version, or false.
func (v *View) FindNewerTable(service core.Service, version uint64) (Entry, bool) {
	if v.newestTables[service] <= version {
		return Entry{}, false
	}
	return v.findNode(func(n *nodeState) bool { return n.tableVersions[service] > version })
}

// findNode returns any live node that meets a condition, one with a free link if
// there is one.
func (v *View) findNode(meets func(*nodeState) bool) (Entry, bool) {
	var busy *nodeState
	for id, n := range v.nodes {
		if id == v.self || !n.alive || !meets(n) {
			continue
		}
		if n.load.LinkShare() < busyLink {
			return n.entry, true
		}
		busy = n
	}
	if busy == nil {
		return Entry{}, false
	}
	return busy.entry, true
}

// NewestConfig returns the newest configuration that two other live nodes have,
// or the only one if there is one other live node. A single node of many cannot
// make the others believe that they lack a configuration. The result may be empty
// if no node was ever heard to have a newer one than inForce.
func (v *View) NewestConfig(inForce uint64) AnnouncedConfig {
	if v.newestConfig <= inForce {
		return AnnouncedConfig{}
	}
	var versions [2]*nodeState // the nodes with the highest and the second highest version
	for id, n := range v.nodes {
		switch {
		case id == v.self || !n.alive || n.lastBeaconAt == 0:
		case versions[0] == nil || n.configVersion > versions[0].configVersion:
			versions[0], versions[1] = n, versions[0]
		case versions[1] == nil || n.configVersion > versions[1].configVersion:
			versions[1] = n
		}
	}
	second := versions[1]
	if second == nil {
		second = versions[0]
	}
	if second == nil {
		return AnnouncedConfig{}
	}
	return AnnouncedConfig{Version: second.configVersion, Digest: v.configDigest(second.configVersion)}
}

// configDigest returns the digest of a version, if a live node sent it.
func (v *View) configDigest(version uint64) []byte {
	for _, n := range v.nodes {
		if n.alive && n.configVersion == version && len(n.configDigest) > 0 {
			return n.configDigest
		}
	}
	return nil
}

// NewerConfig is a configuration that the node does not have in force, although
// others do.
type NewerConfig struct {
	AnnouncedConfig
	// Since is when the node learned that its own is not the newest.
	Since clock.Instant
}

// maxPendingVersions bounds the versions of a ConfigLag.
const maxPendingVersions = 64

// ConfigLag follows how long a node's configuration has been older than that of
// others. Only one goroutine may use it.
type ConfigLag struct{ pending []pendingVersion }

// pendingVersion is a version that the node does not have, and when it learned of
// it.
type pendingVersion struct {
	version uint64
	heardAt clock.Instant
}

// Update returns the newest configuration if it is newer than the version in
// force, or nil.
func (l *ConfigLag) Update(now clock.Instant, inForce uint64, newest AnnouncedConfig) *NewerConfig {
	l.pending = slices.DeleteFunc(l.pending, func(p pendingVersion) bool { return p.version <= inForce || p.version > newest.Version })
	if newest.Version <= inForce {
		return nil
	}
	known := len(l.pending) > 0 && l.pending[len(l.pending)-1].version == newest.Version
	if !known && len(l.pending) < maxPendingVersions {
		l.pending = append(l.pending, pendingVersion{newest.Version, now})
	}
	return &NewerConfig{newest, l.pending[0].heardAt}
}
