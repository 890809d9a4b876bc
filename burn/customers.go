package burn

import (
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

const (
	// maxCustomers bounds the customers with counts of their own for each
	// service and kind of work. Each takes about 150 bytes and its name.
	maxCustomers = 512
	// customerHalfWindow is half the window of the per-customer counts. The
	// older half is dropped when the newer half ends.
	customerHalfWindow = 30 * time.Minute
)

// customerCounts counts one customer's requests over the last 30 to 60 minutes.
type customerCounts struct {
	older, newer Counts
	newerHalf    int64 // number of the newer half window since instant 0
	lastUsed     clock.Instant
}

// rotateTo drops the half windows that have ended before the window at now.
func (cc *customerCounts) rotateTo(now clock.Instant) {
	half := int64(now) / int64(customerHalfWindow)
	if half <= cc.newerHalf {
		return
	}
	cc.older = Counts{}
	if half == cc.newerHalf+1 {
		cc.older = cc.newer
	}
	cc.newer, cc.newerHalf = Counts{}, half
}

func (cc *customerCounts) sum() Counts {
	c := cc.older
	c.add(cc.newer)
	return c
}

// customerTable counts the requests of each customer, so that the outage of a
// customer with few requests shows although the service as a whole meets its
// objective.
type customerTable struct {
	byCustomer map[core.Customer]*customerCounts
	// uncounted is the number of requests of customers that had no room in
	// the table.
	uncounted uint64
}

func (t *customerTable) add(now clock.Instant, customer core.Customer, c Counts) {
	counts := t.byCustomer[customer]
	if counts == nil {
		if len(t.byCustomer) >= maxCustomers && !t.evict(now, c.Failed+c.Slow > 0) {
			t.uncounted += c.Total
			return
		}
		counts = &customerCounts{newerHalf: int64(now) / int64(customerHalfWindow)}
		t.byCustomer[customer] = counts
	}
	counts.rotateTo(now)
	counts.newer.add(c)
	counts.lastUsed = now
}

// evict removes one customer and reports whether it could. It removes the
// longest idle one of those that have been idle for an hour and, if forBad is
// set, of those without bad requests. A customer without bad requests loses
// little, since it is added again with its next request. A customer with bad
// requests is kept until it has been idle for an hour.
func (t *customerTable) evict(now clock.Instant, forBad bool) bool {
	var victim core.Customer
	var oldest clock.Instant
	found := false
	for customer, counts := range t.byCustomer {
		sum := counts.sum()
		idle := now.Sub(counts.lastUsed) > 2*customerHalfWindow
		if !idle && (!forBad || sum.Failed+sum.Slow > 0) {
			continue
		}
		if !found || counts.lastUsed < oldest || counts.lastUsed == oldest && customer < victim {
			victim, oldest, found = customer, counts.lastUsed, true
		}
	}
	delete(t.byCustomer, victim)
	return found
}

// worst returns at most n customers with bad requests, ordered by sortWorst.
func (t *customerTable) worst(now clock.Instant, o Objective, n int) []CustomerBurn {
	var out []CustomerBurn
	for customer, counts := range t.byCustomer {
		counts.rotateTo(now)
		if c := counts.sum(); c.Failed+c.Slow > 0 {
			out = append(out, CustomerBurn{Customer: customer, Counts: c, Burn: c.burnRate(o)})
		}
	}
	return sortWorst(out, n)
}
