package fleet

import "slices"

// Departure is a run of a backend server that has told that it leaves. It is final:
// what the run said before may still arrive later.
type Departure struct {
	Instance string `json:"instance"`
	// BornUnixMs is the start of the run, or the latest one that it can have had if
	// only its name is known.
	BornUnixMs int64 `json:"born"`
	// LeftUnixMs is when the node was told.
	LeftUnixMs int64 `json:"left"`
}

// Covers reports whether a run has left. One that was started later under the same
// name has not.
func (d Departure) Covers(instance string, bornUnixMs int64) bool {
	return d.Instance == instance && bornUnixMs <= d.BornUnixMs
}

// maxDepartures bounds the departures that are kept of one node. A report is late
// by seconds, within which few runs follow each other.
const maxDepartures = 4

// AddDepartures returns the departures of list and of more, without those that
// another one covers, in the order in which the runs left. It changes neither.
func AddDepartures(list []Departure, more ...Departure) []Departure {
	list = slices.Clone(list)
	for _, d := range more {
		if !slices.ContainsFunc(list, func(o Departure) bool { return o.Covers(d.Instance, d.BornUnixMs) }) {
			list = append(slices.DeleteFunc(list, func(o Departure) bool { return d.Covers(o.Instance, o.BornUnixMs) }), d)
		}
	}
	slices.SortStableFunc(list, func(a, b Departure) int { return int(max(-1, min(1, a.LeftUnixMs-b.LeftUnixMs))) })
	return list[max(0, len(list)-maxDepartures):]
}

// FindDeparture returns the departure of a run, or false if there is none.
func FindDeparture(list []Departure, instance string, bornUnixMs int64) (Departure, bool) {
	i := slices.IndexFunc(list, func(d Departure) bool { return d.Covers(instance, bornUnixMs) })
	if i < 0 {
		return Departure{}, false
	}
	return list[i], true
}
