package routes

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
)

// HostGroups is the number of groups into which a Digest divides the hosts.
const HostGroups = 32

// DigestBytes is the length of an encoded Digest.
const DigestBytes = 2 * HostGroups

// Digest tells for each group of hosts whether two tables have the same routes,
// without their contents. It is the same on all nodes, so that nodes can compare
// the configuration that they have with one that they do not have yet.
type Digest [HostGroups]uint16

// hostGroup returns the group of a host.
func hostGroup(host string) int {
	h := fnv.New32a()
	// Write never fails.
	_, _ = h.Write([]byte(host))
	return int(h.Sum32() % HostGroups)
}

// add adds a route. The order of the routes does not matter.
func (d *Digest) add(r Route) {
	h := fnv.New64a()
	fmt.Fprintf(h, "%q %q %q %d %d %d %d %d", r.Name, r.Host, r.Prefix, r.Kind, r.Timeout, r.LatencyTarget, r.Priority, r.MaxAttempts)
	for _, destination := range r.Destinations {
		fmt.Fprintf(h, " %q %d", destination.Service, destination.Weight)
	}
	sum := h.Sum64()
	d[hostGroup(r.Host)] += uint16(sum ^ sum>>16 ^ sum>>32 ^ sum>>48)
}

// Encode returns the digest as DigestBytes bytes.
func (d Digest) Encode() []byte {
	out := make([]byte, 0, DigestBytes)
	for _, group := range d {
		out = binary.BigEndian.AppendUint16(out, group)
	}
	return out
}

// DecodeDigest returns an encoded digest, or false if data has another length.
func DecodeDigest(data []byte) (Digest, bool) {
	var d Digest
	if len(data) != DigestBytes {
		return d, false
	}
	for i := range d {
		d[i] = binary.BigEndian.Uint16(data[2*i:])
	}
	return d, true
}

// SameForHost reports whether the routes of a host are the same in both tables
// that the digests describe. In one of 65,536 cases it does not see a
// difference.
func (d Digest) SameForHost(other Digest, host string) bool {
	group := hostGroup(host)
	return d[group] == other[group]
}
