package platform

import (
	"context"

	"marjoramshore.example/store"
)

// Get implements store.Store.
func (v *View) Get(ctx context.Context, key string) (o store.Object, err error) {
	err = v.begin(func(c *Calls) { c.Get++ }, false).read(ctx, key, func(stale bool) error {
		if stale {
			o, err = v.p.get(key, true)
			return err
		}
		o, err = v.p.Get(ctx, key)
		return err
	})
	return o, err
}

// Put implements store.Store.
func (v *View) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	var version uint64
	err := v.begin(func(c *Calls) { c.Put++ }, true).write(ctx, key, func(ctx context.Context) (err error) {
		version, err = v.p.Put(ctx, key, value, ifVersion)
		return err
	})
	if err != nil {
		return 0, err
	}
	return version, nil
}

// Delete implements store.Store.
func (v *View) Delete(ctx context.Context, key string, ifVersion uint64) error {
	return v.begin(func(c *Calls) { c.Delete++ }, true).write(ctx, key, func(ctx context.Context) error {
		return v.p.Delete(ctx, key, ifVersion)
	})
}

// List implements store.Store.
func (v *View) List(ctx context.Context, prefix string) (list []store.Object, err error) {
	err = v.begin(func(c *Calls) { c.List++ }, false).read(ctx, prefix, func(stale bool) error {
		if stale {
			list = v.p.list(prefix, true)
			return nil
		}
		list, err = v.p.List(ctx, prefix)
		return err
	})
	return list, err
}

// Watch implements store.Store. An outage of the view that begins during the
// wait ends the watch.
func (v *View) Watch(ctx context.Context, key string, after uint64) (store.Object, error) {
	c := v.begin(func(c *Calls) { c.Watch++ }, false)
	if err := c.admit(ctx, key, false); err != nil {
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
		o, err := v.p.Watch(inner, key, after)
		done <- answer{o, err}
	}()
	for {
		select {
		case a := <-done:
			if err := pause(ctx, c.latency); err != nil {
				return store.Object{}, unavailable(key, false, err)
			}
			return a.o, a.err
		case <-c.moved:
			c = v.begin(func(*Calls) {}, false)
			if err := c.admit(ctx, key, false); err != nil {
				return store.Object{}, err
			}
		}
	}
}
