package burn

import (
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

const (
	// maxCustomers bounds the customers counted one by one for each service
	// and kind of work. Each takes about 150 bytes and its name.
	maxCustomers = 512
	// customerHalf is half the window of the per-customer counts. The older
	// half is dropped when the newer is full.
	customerHalf = 30 * time.Minute
)

// tally counts one customer's requests over the last 30 to 60 minutes.
type tally struct {
	older, newer Counts
	half         int64
	used         clock.Instant
}

func (t *tally) roll(now clock.Instant) {
	n := int64(now) / int64(customerHalf)
	if n <= t.half {
		return
	}
	t.older = Counts{}
	if n == t.half+1 {
		t.older = t.newer
	}
	t.newer, t.half = Counts{}, n
}

func (t *tally) sum() Counts {
	c := t.older
	c.add(t.newer)
	return c
}

// customerTable counts customers one by one, so that the outage of a customer
// with few requests is seen although the service's average is fine.
type customerTable struct {
	all map[core.Customer]*tally
	// missed counts requests of customers that found no place.
	missed uint64
}

func (t *customerTable) add(now clock.Instant, who core.Customer, c Counts) {
	x := t.all[who]
	if x == nil {
		if len(t.all) >= maxCustomers && !t.evict(now, c.Failed+c.Slow > 0) {
			t.missed += c.Total
			return
		}
		x = &tally{half: int64(now) / int64(customerHalf)}
		t.all[who] = x
	}
	x.roll(now)
	x.newer.add(c)
	x.used = now
}

// evict makes room by dropping a customer that has been idle for an hour or,
// for one with bad requests, the longest idle one without any. Customers that
// do well are known again with their next request; one in trouble is kept.
func (t *customerTable) evict(now clock.Instant, bad bool) bool {
	var victim core.Customer
	var oldest clock.Instant
	found := false
	for who, x := range t.all {
		s := x.sum()
		idle := now.Sub(x.used) > 2*customerHalf
		if !idle && (!bad || s.Failed+s.Slow > 0) {
			continue
		}
		if !found || x.used < oldest || x.used == oldest && who < victim {
			victim, oldest, found = who, x.used, true
		}
	}
	delete(t.all, victim)
	return found
}

// worst returns the customers that burn fastest, at most n.
func (t *customerTable) worst(now clock.Instant, o Objective, n int) []CustomerBurn {
	var out []CustomerBurn
	for who, x := range t.all {
		x.roll(now)
		if c := x.sum(); c.Failed+c.Slow > 0 {
			out = append(out, CustomerBurn{Customer: who, Counts: c, Burn: c.burn(o)})
		}
	}
	return worstOf(out, n)
}
