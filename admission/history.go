package admission

import (
	"strings"
	"time"

	"marjoramshore.example/core"
)

// historySize is the number of cells per table: 4096 cells of 16 bytes are
// 64 KiB, far above the number of path prefixes of one service.
const historySize = 4096

// maxConfidence bounds how many other entries' visits a cell survives.
const maxConfidence = 16

type cell struct {
	tag  uint64
	mean float32 // seconds
	n    uint8
}

// history is a bounded table of mean service times. A cell is taken over by
// another tag only after as many visits as the cell had observations, so rare
// tags do not displace frequent ones.
type history struct{ cells []cell }

func newHistory() history { return history{make([]cell, historySize)} }

// get returns the mean of a tag that has at least the given observations.
func (h history) get(tag uint64, least uint8) (time.Duration, bool) {
	c := &h.cells[tag%historySize]
	if c.tag != tag || c.n < least {
		return 0, false
	}
	return time.Duration(c.mean * float32(time.Second)), true
}

func (h history) put(tag uint64, d time.Duration) {
	c := &h.cells[tag%historySize]
	s := float32(d.Seconds())
	switch {
	case c.n == 0:
		*c = cell{tag, s, 1}
	case c.tag != tag:
		c.n--
	default:
		c.n = min(c.n+1, maxConfidence)
		c.mean += (s - c.mean) / float32(c.n)
	}
}

// prefix returns the part of a path that stands for one kind of work: its
// first two segments without the query.
func prefix(path string) string {
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	seen := 0
	for i := 0; i < len(path); i++ {
		if path[i] != '/' || i == 0 {
			continue
		}
		if seen++; seen == 2 {
			return path[:i]
		}
	}
	return path
}

// classifier predicts class and service time of a request.
type classifier struct {
	paths, keys history
	longAfter   time.Duration
	longBody    int64
	mean        [classes]float64
}

func newClassifier(c Config) *classifier {
	k := &classifier{paths: newHistory(), keys: newHistory(), longAfter: c.LongAfter, longBody: c.LongBody}
	k.mean[short] = float64(c.LongAfter) / 10
	k.mean[long] = float64(c.LongAfter) * 10
	return k
}

// threshold is the service time above which work is long. It rises with the
// mean of short work, so that a backend server that has become slow does not
// turn all short work into long work.
func (k *classifier) threshold() time.Duration {
	return min(max(k.longAfter, time.Duration(8*k.mean[short])), 10*k.longAfter)
}

func tags(t *Ticket) (path, key uint64) {
	path = mix(uint64(core.HashKey(prefix(t.Path))) + uint64(t.Kind))
	return path, mix(path ^ uint64(core.HashKey(t.Key)))
}

// classify fills in what is known about e before it runs. Observations outvote
// a declaration of short work; a declaration of long work is always honoured.
func (k *classifier) classify(e *entry, t *Ticket) {
	e.path, e.key = tags(t)
	e.declared = t.Kind == core.KindLong || t.Length >= k.longBody
	k.predict(e)
}

func (k *classifier) predict(e *entry) {
	mean, known := k.keys.get(e.key, 2)
	if !known {
		mean, known = k.paths.get(e.path, 1)
	}
	e.class = short
	if e.declared || known && mean > k.threshold() {
		e.class = long
	}
	e.unproven = !known && !e.declared
	e.estimate = mean
	if !known {
		e.estimate = time.Duration(k.mean[e.class])
	}
}

// observe records a service time. Only keys that ran long enter the key
// history, because the common keys would displace them.
func (k *classifier) observe(e *entry, d time.Duration) {
	k.paths.put(e.path, d)
	if _, known := k.keys.get(e.key, 1); known || d > k.threshold() {
		k.keys.put(e.key, d)
	}
	c := short
	if d > k.threshold() {
		c = long
	}
	k.mean[c] += (float64(d) - k.mean[c]) / 32
}
