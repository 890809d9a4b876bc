package admission

import (
	"strings"
	"time"

	"marjoramshore.example/core"
)

// historyCells is the number of cells of a history: 4096 cells of 32 bytes take
// 128 KiB and are far more than one service has path prefixes.
const historyCells = 4096

// maxObservations bounds the number of observations with other tags that it
// takes to replace a cell. It also bounds the weight of the past in the means.
const maxObservations = 16

// cell keeps the service times of the requests with one tag, the hash of a path
// or of a path and a key. Short and long requests have separate means, because
// a common mean would describe neither.
type cell struct {
	tag          uint64
	meanSeconds  [classCount]float32 // zero if none was observed
	longShare    float32
	observations uint8
}

// history is a table of service times of fixed size. Another tag replaces a
// cell only after as many observations as the cell has, so that rare tags do
// not displace frequent ones.
type history struct{ cells []cell }

func newHistory() history { return history{make([]cell, historyCells)} }

// get returns the cell of a tag, or nil if the tag has fewer than
// minObservations.
func (h history) get(tag uint64, minObservations uint8) *cell {
	c := &h.cells[tag%historyCells]
	if c.tag != tag || c.observations < minObservations {
		return nil
	}
	return c
}

func (h history) record(tag uint64, d time.Duration, k class) {
	c := &h.cells[tag%historyCells]
	switch {
	case c.observations == 0:
		*c = cell{tag: tag}
	case c.tag != tag:
		c.observations--
		return
	}
	c.observations = min(c.observations+1, maxObservations)
	gain := 1 / float32(c.observations)
	c.longShare += gain * (float32(k) - c.longShare)
	s := float32(d.Seconds())
	if c.meanSeconds[k] == 0 {
		c.meanSeconds[k] = s
	}
	c.meanSeconds[k] += gain * (s - c.meanSeconds[k])
}

// pathPrefix returns the part of a path that identifies a kind of work: its
// first two segments without the query.
func pathPrefix(path string) string {
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	segments := 0
	for i := 0; i < len(path); i++ {
		if path[i] != '/' || i == 0 {
			continue
		}
		if segments++; segments == 2 {
			return path[:i]
		}
	}
	return path
}

// maxLongShare is the share of long requests above which a path does not count
// as known to be short. One long request in the last 30 or so exceeds it.
const maxLongShare = 0.02

// classifier predicts the class and the service time of a request from its
// declaration and from earlier requests with the same path or key.
type classifier struct {
	pathHistory, keyHistory history
	baseThreshold           time.Duration
	longBodyBytes           int64
	meanNanos               [classCount]float64
}

func newClassifier(c Config) *classifier {
	k := &classifier{pathHistory: newHistory(), keyHistory: newHistory(), baseThreshold: c.LongThreshold, longBodyBytes: c.LongBodyBytes}
	k.meanNanos[short] = float64(c.LongThreshold) / 10
	k.meanNanos[long] = float64(c.LongThreshold) * 10
	return k
}

// longThreshold returns the service time above which work is long. It rises
// with the mean of short work, so that a slow backend server does not turn all
// short work into long work.
func (k *classifier) longThreshold() time.Duration {
	return min(max(k.baseThreshold, time.Duration(8*k.meanNanos[short])), 10*k.baseThreshold)
}

// hashPathAndKey returns the history tags of a ticket: that of its path and
// kind, and that of its path, kind and key.
func hashPathAndKey(t *Ticket) (path, key uint64) {
	path = mix64(uint64(core.HashKey(pathPrefix(t.Path))) + uint64(t.Kind))
	return path, mix64(path ^ uint64(core.HashKey(t.Key)))
}

// classify sets the class and the estimates of e before it runs. Observations
// override a declaration of short work; a declaration of long work is always
// honoured.
func (k *classifier) classify(e *entry, t *Ticket) {
	e.pathHash, e.keyHash = hashPathAndKey(t)
	e.declaredLong = t.Kind == core.KindLong || t.Length >= k.longBodyBytes
	k.predict(e)
}

// predict sets the class of e, whether that class is tentative, and the
// estimated service time. Observations of the key precede those of the path.
func (k *classifier) predict(e *entry) {
	c := k.keyHistory.get(e.keyHash, 2)
	if c == nil {
		c = k.pathHistory.get(e.pathHash, 1)
	}
	e.class = short
	if e.declaredLong || c != nil && c.longShare > 0.5 {
		e.class = long
	}
	e.tentative = e.class == short && (c == nil || c.longShare > maxLongShare)
	e.serviceEstimate = time.Duration(k.meanNanos[e.class])
	if c != nil && c.meanSeconds[e.class] > 0 {
		e.serviceEstimate = time.Duration(c.meanSeconds[e.class] * float32(time.Second))
	}
}

// pathKnownShort reports whether earlier requests show that a path is short.
func (k *classifier) pathKnownShort(pathHash uint64) bool {
	c := k.pathHistory.get(pathHash, 1)
	return c != nil && c.longShare <= maxLongShare
}

// observe records the service time of e. Only keys with long requests enter the
// key history, because common keys would displace them.
func (k *classifier) observe(e *entry, d time.Duration) {
	observed := short
	if d > k.longThreshold() {
		observed = long
	}
	k.pathHistory.record(e.pathHash, d, observed)
	if observed == long || k.keyHistory.get(e.keyHash, 1) != nil {
		k.keyHistory.record(e.keyHash, d, observed)
	}
	k.meanNanos[observed] += (float64(d) - k.meanNanos[observed]) / 64
}
