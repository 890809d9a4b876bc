package store

import "time"

// known is the newest state of one key that the node has seen.
type known struct {
	object  Object
	deleted bool
	at      time.Time // when the call that returned it was sent
}

// memory is the bounded last known state. Its versions never go back.
type memory struct {
	objects              map[string]known
	bytes                int
	maxObjects, maxBytes int
}

// observe records o and returns the newest known object, which is newer than o
// when the answer was stale.
func (m *memory) observe(o Object, at time.Time) (newest known, stale bool) {
	k, seen := m.objects[o.Key]
	if seen && o.Version < k.object.Version {
		return k, true
	}
	k = known{object: o, at: at}
	m.set(o.Key, k)
	return k, false
}

// forget records that the key does not exist. It keeps the last version so
// that a stale answer is recognised.
func (m *memory) forget(key string, at time.Time) {
	if k, seen := m.objects[key]; seen {
		m.set(key, known{object: Object{Key: key, Version: k.object.Version}, deleted: true, at: at})
	}
}

func (m *memory) set(key string, k known) {
	m.drop(key)
	if len(k.object.Value) > m.maxBytes {
		return
	}
	for len(m.objects) >= m.maxObjects || m.bytes+len(k.object.Value) > m.maxBytes {
		m.dropOldest()
	}
	m.objects[key] = k
	m.bytes += len(k.object.Value)
}

func (m *memory) drop(key string) {
	if k, ok := m.objects[key]; ok {
		m.bytes -= len(k.object.Value)
		delete(m.objects, key)
	}
}

func (m *memory) dropOldest() {
	oldest, found := "", false
	for key, k := range m.objects {
		if !found || k.at.Before(m.objects[oldest].at) {
			oldest, found = key, true
		}
	}
	m.drop(oldest)
}
