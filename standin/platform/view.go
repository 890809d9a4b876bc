package platform

import (
	"context"

	"marjoramshore.example/store"
)

// Get implements store.Store.
func (v *View) Get(ctx context.Context, key string) (o store.Object, err error) {
	err = v.beginCall(func(c *CallCounts) { c.Get++ }, false).read(ctx, key, func(stale bool) error {
		if stale {
			o, err = v.store.get(key, true)
			return err
		}
		o, err = v.store.Get(ctx, key)
		return err
	})
	return o, err
}

// Put implements store.Store.
func (v *View) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	var version uint64
	err := v.beginCall(func(c *CallCounts) { c.Put++ }, true).write(ctx, key, func(ctx context.Context) (err error) {
		version, err = v.store.Put(ctx, key, value, ifVersion)
		return err
	})
	if err != nil {
		return 0, err
	}
	return version, nil
}

// Delete implements store.Store.
func (v *View) Delete(ctx context.Context, key string, ifVersion uint64) error {
	return v.beginCall(func(c *CallCounts) { c.Delete++ }, true).write(ctx, key, func(ctx context.Context) error {
		return v.store.Delete(ctx, key, ifVersion)
	})
}

// List implements store.Store.
func (v *View) List(ctx context.Context, prefix string) (list []store.Object, err error) {
	err = v.beginCall(func(c *CallCounts) { c.List++ }, false).read(ctx, prefix, func(stale bool) error {
		if stale {
			list = v.store.list(prefix, true)
			return nil
		}
		list, err = v.store.List(ctx, prefix)
		return err
	})
	return list, err
}

// Watch implements store.Store. An outage of the view that begins during the
// wait ends the watch.
func (v *View) Watch(ctx context.Context, key string, after uint64) (store.Object, error) {
	c := v.beginCall(func(c *CallCounts) { c.Watch++ }, false)
	if err := c.injectedError(ctx, key, false); err != nil {
		return store.Object{}, err
	}
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		o   store.Object
		err error
	}
	done := make(chan answer, 1)
	go func() {
		o, err := v.store.Watch(inner, key, after)
		done <- answer{o, err}
	}()
	for {
		select {
		case a := <-done:
			if err := sleep(ctx, c.latency); err != nil {
				return store.Object{}, unavailable(key, false, err)
			}
			return a.o, a.err
		case <-c.faultsChanged:
			c = v.beginCall(func(*CallCounts) {}, false)
			if err := c.injectedError(ctx, key, false); err != nil {
				return store.Object{}, err
			}
		}
	}
}
