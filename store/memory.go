package store

import "time"

// cacheEntry is the newest known state of one key.
type cacheEntry struct {
	object      Object
	deleted     bool
	requestedAt time.Time // when the call that returned the state was sent
}

// cache holds the newest known state of a bounded number of keys. The version
// of an entry never decreases.
type cache struct {
	entries              map[string]cacheEntry
	bytes                int
	maxObjects, maxBytes int
}

// update stores o unless a newer version of its key is known. It returns the
// newest known state, and whether o is older than that.
func (c *cache) update(o Object, requestedAt time.Time) (newest cacheEntry, stale bool) {
	entry, seen := c.entries[o.Key]
	if seen && o.Version < entry.object.Version {
		return entry, true
	}
	entry = cacheEntry{object: o, requestedAt: requestedAt}
	c.set(o.Key, entry)
	return entry, false
}

// markDeleted records that the key does not exist. It keeps the version of a
// known entry, so that a stale response is recognised later.
func (c *cache) markDeleted(key string, requestedAt time.Time) {
	if entry, seen := c.entries[key]; seen {
		c.set(key, cacheEntry{object: Object{Key: key, Version: entry.object.Version}, deleted: true, requestedAt: requestedAt})
	}
}

// set replaces the entry of key and evicts the oldest entries to make room. A
// value above maxBytes is not cached.
func (c *cache) set(key string, entry cacheEntry) {
	c.remove(key)
	if len(entry.object.Value) > c.maxBytes {
		return
	}
	for len(c.entries) >= c.maxObjects || c.bytes+len(entry.object.Value) > c.maxBytes {
		c.evictOldest()
	}
	c.entries[key] = entry
	c.bytes += len(entry.object.Value)
}

func (c *cache) remove(key string) {
	if entry, ok := c.entries[key]; ok {
		c.bytes -= len(entry.object.Value)
		delete(c.entries, key)
	}
}

func (c *cache) evictOldest() {
	oldest, found := "", false
	for key, entry := range c.entries {
		if !found || entry.requestedAt.Before(c.entries[oldest].requestedAt) {
			oldest, found = key, true
		}
	}
	c.remove(oldest)
}
