package admission

import (
	"strings"
	"time"

	"marjoramshore.example/core"
)

// historySize is the number of cells per table: 4096 cells of 32 bytes are
// 128 KiB, far above the number of path prefixes of one service.
const historySize = 4096

// maxConfidence bounds how many other entries' visits a cell survives.
const maxConfidence = 16

// cell keeps the mean service times of the short and of the long requests of
// one tag and the share of long ones. One mean for both would describe neither.
type cell struct {
	tag  uint64
	mean [classes]float32 // seconds, or zero when none was observed
	long float32
	n    uint8
}

// history is a bounded table of service times. A cell is taken over by another
// tag only after as many visits as the cell had observations, so rare tags do
// not displace frequent ones.
type history struct{ cells []cell }

func newHistory() history { return history{make([]cell, historySize)} }

// get returns the cell of a tag that has at least the given observations, or
// nil.
func (h history) get(tag uint64, least uint8) *cell {
	c := &h.cells[tag%historySize]
	if c.tag != tag || c.n < least {
		return nil
	}
	return c
}

func (h history) put(tag uint64, d time.Duration, k class) {
	c := &h.cells[tag%historySize]
	switch {
	case c.n == 0:
		*c = cell{tag: tag}
	case c.tag != tag:
		c.n--
		return
	}
	c.n = min(c.n+1, maxConfidence)
	gain := 1 / float32(c.n)
	c.long += gain * (float32(k) - c.long)
	s := float32(d.Seconds())
	if c.mean[k] == 0 {
		c.mean[k] = s
	}
	c.mean[k] += gain * (s - c.mean[k])
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

// mixedShare is the share of long requests above which a path is not trusted
// to be short. One long request in the last 30 or so exceeds it.
const mixedShare = 0.02

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
	c := k.keys.get(e.key, 2)
	if c == nil {
		c = k.paths.get(e.path, 1)
	}
	e.class = short
	if e.declared || c != nil && c.long > 0.5 {
		e.class = long
	}
	e.unproven = e.class == short && (c == nil || c.long > mixedShare)
	e.estimate = time.Duration(k.mean[e.class])
	if c != nil && c.mean[e.class] > 0 {
		e.estimate = time.Duration(c.mean[e.class] * float32(time.Second))
	}
}

// trusted reports whether a path is known to be short.
func (k *classifier) trusted(path uint64) bool {
	c := k.paths.get(path, 1)
	return c != nil && c.long <= mixedShare
}

// observe records a service time. Only keys that ran long enter the key
// history, because the common keys would displace them.
func (k *classifier) observe(e *entry, d time.Duration) {
	c := short
	if d > k.threshold() {
		c = long
	}
	k.paths.put(e.path, d, c)
	if c == long || k.keys.get(e.key, 1) != nil {
		k.keys.put(e.key, d, c)
	}
	k.mean[c] += (float64(d) - k.mean[c]) / 64
}
