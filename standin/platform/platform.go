// Package platform is a stand-in for the platform's object store. It keeps
// objects in memory, implements store.Store, serves the HTTP protocol that
// package storehttp speaks, injects faults and counts calls by kind.
package platform

import (
	"context"
	"sort"
	"strings"
	"sync"

	"marjoramshore.example/store"
)

// Store is one object store. Its own faults apply to every call.
type Store struct {
	*faultInjector
	seed uint64

	dataMu  sync.Mutex
	objects map[string]object
	changed map[string]chan struct{} // closed when the key changes
	views   uint64
}

type object struct {
	version  uint64
	value    []byte
	exists   bool
	previous *store.Object // what a stale read returns
}

// New returns an empty store; seed seeds the random choice of faults.
func New(seed uint64) *Store {
	return &Store{
		faultInjector: newInjector(seed, 0), seed: seed,
		objects: map[string]object{}, changed: map[string]chan struct{}{},
	}
}

// View is one client's access to the store, with faults and call counts of its
// own in addition to those of the Store.
type View struct {
	*faultInjector
	store *Store
}

var (
	_ store.Store = (*Store)(nil)
	_ store.Store = (*View)(nil)
)

// View returns a new client's access to the store.
func (p *Store) View() *View {
	p.dataMu.Lock()
	defer p.dataMu.Unlock()
	p.views++
	return &View{faultInjector: newInjector(p.seed, p.views), store: p}
}

// Get implements store.Store.
func (p *Store) Get(ctx context.Context, key string) (o store.Object, err error) {
	err = p.beginCall(func(c *CallCounts) { c.Get++ }, false).read(ctx, key, func(stale bool) error {
		o, err = p.get(key, stale)
		return err
	})
	return o, err
}

// Put implements store.Store.
func (p *Store) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	var version uint64
	err := p.beginCall(func(c *CallCounts) { c.Put++ }, true).write(ctx, key, func(context.Context) (err error) {
		version, err = p.put(key, value, ifVersion)
		return err
	})
	if err != nil {
		return 0, err
	}
	return version, nil
}

// Delete implements store.Store.
func (p *Store) Delete(ctx context.Context, key string, ifVersion uint64) error {
	return p.beginCall(func(c *CallCounts) { c.Delete++ }, true).write(ctx, key, func(context.Context) error {
		return p.remove(key, ifVersion)
	})
}

// List implements store.Store.
func (p *Store) List(ctx context.Context, prefix string) (list []store.Object, err error) {
	err = p.beginCall(func(c *CallCounts) { c.List++ }, false).read(ctx, prefix, func(stale bool) error {
		list = p.list(prefix, stale)
		return nil
	})
	return list, err
}

// Watch implements store.Store.
func (p *Store) Watch(ctx context.Context, key string, after uint64) (o store.Object, err error) {
	c := p.beginCall(func(c *CallCounts) { c.Watch++ }, false)
	if err := c.injectedError(ctx, key, false); err != nil {
		return o, err
	}
	for {
		o, changed, err := p.pollChange(key, after)
		if changed == nil {
			if perr := sleep(ctx, c.latency); perr != nil {
				return store.Object{}, unavailable(key, false, perr)
			}
			return o, err
		}
		select {
		case <-changed:
		case <-c.faultsChanged:
			// A watch that was waiting when an outage began fails with it.
			c = p.beginCall(func(*CallCounts) {}, false)
			if err := c.injectedError(ctx, key, false); err != nil {
				return o, err
			}
		case <-ctx.Done():
			return o, unavailable(key, false, ctx.Err())
		}
	}
}

func notFound(key string) error { return &store.Error{Kind: store.KindNotFound, Key: key} }

func (p *Store) get(key string, stale bool) (store.Object, error) {
	p.dataMu.Lock()
	defer p.dataMu.Unlock()
	o := p.objects[key]
	if stale && o.previous != nil {
		return *o.previous, nil
	}
	if !o.exists {
		return store.Object{}, notFound(key)
	}
	return store.Object{Key: key, Version: o.version, Value: o.value}, nil
}

func (p *Store) put(key string, value []byte, ifVersion uint64) (uint64, error) {
	switch {
	case key == "":
		return 0, &store.Error{Kind: store.KindInvalid, Key: key}
	case len(value) > store.MaxValueBytes:
		return 0, &store.Error{Kind: store.KindTooLarge, Key: key}
	}
	p.dataMu.Lock()
	defer p.dataMu.Unlock()
	o := p.objects[key]
	if current := o.currentVersion(); current != ifVersion {
		return 0, &store.Error{Kind: store.KindConflict, Key: key, Current: current}
	}
	p.setObject(key, o, object{value: append([]byte{}, value...), exists: true})
	return o.version + 1, nil
}

func (p *Store) remove(key string, ifVersion uint64) error {
	p.dataMu.Lock()
	defer p.dataMu.Unlock()
	o := p.objects[key]
	switch current := o.currentVersion(); {
	case current == 0:
		return notFound(key)
	case current != ifVersion:
		return &store.Error{Kind: store.KindConflict, Key: key, Current: current}
	}
	p.setObject(key, o, object{})
	return nil
}

// setObject stores to with the next version. A removed key keeps its version,
// so that versions only grow when it is created again.
func (p *Store) setObject(key string, from, to object) {
	to.version = from.version + 1
	if !to.exists {
		to.version = from.version
	}
	if from.exists {
		to.previous = &store.Object{Key: key, Version: from.version, Value: from.value}
	}
	p.objects[key] = to
	if w, ok := p.changed[key]; ok {
		close(w)
		delete(p.changed, key)
	}
}

// currentVersion returns the version that a conditional update must name, 0
// when the object does not exist.
func (o object) currentVersion() uint64 {
	if !o.exists {
		return 0
	}
	return o.version
}

func (p *Store) list(prefix string, stale bool) []store.Object {
	p.dataMu.Lock()
	defer p.dataMu.Unlock()
	var out []store.Object
	for key, o := range p.objects {
		switch {
		case !strings.HasPrefix(key, prefix):
		case stale && o.previous != nil:
			out = append(out, *o.previous)
		case o.exists:
			out = append(out, store.Object{Key: key, Version: o.version, Value: o.value})
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	return out
}

// pollChange returns the answer to a watch, or a channel that is closed when
// the key changes.
func (p *Store) pollChange(key string, after uint64) (store.Object, <-chan struct{}, error) {
	p.dataMu.Lock()
	defer p.dataMu.Unlock()
	o := p.objects[key]
	if o.exists && o.version > after {
		return store.Object{Key: key, Version: o.version, Value: o.value}, nil, nil
	}
	if !o.exists && after > 0 {
		return store.Object{}, nil, notFound(key)
	}
	w, ok := p.changed[key]
	if !ok {
		w = make(chan struct{})
		p.changed[key] = w
	}
	return store.Object{}, w, nil
}
