package entrance

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"

	"marjoramshore.example/core"
	"marjoramshore.example/ring"
	"marjoramshore.example/routing"
)

// Fetcher gets the newest table of a group from one of its members, or from
// the group's record in the store. It may block.
type Fetcher interface {
	// Fetch returns the table of a group. Held is the table known here, or nil.
	Fetch(ctx context.Context, group core.GroupID, held *core.Table) (*core.Table, error)
}

const (
	// tableMessages bounds queued tables and refresh requests, one for each
	// group: only the newest version of a table matters.
	tableMessages = 64
	// fetchers bounds concurrent table fetches.
	fetchers = 8
	// fetchTimeout bounds one fetch. A member in the same region answers in
	// milliseconds, and a lost one is refused or times out at connect.
	fetchTimeout = 800 * time.Millisecond
	// refreshInterval is the least time between two fetches of one group. A
	// lost key is served again within 5 s, so a waiting request learns of its
	// new owner at most 100 ms late.
	refreshInterval = 100 * time.Millisecond
)

// published is one version of the view. next is closed when it is replaced.
type published struct {
	view *routing.View
	next chan struct{}
}

// tableMessage is a newer table, or a request to fetch one.
type tableMessage struct {
	group core.GroupID
	table *core.Table
	spans []routing.GroupRange
	// done marks the end of a fetch that found nothing newer.
	done bool
	// forget removes the service.
	forget bool
}

func (m tableMessage) key() uint64 {
	k := uint64(core.HashKey(string(m.group.Service))) + uint64(m.group.Number)*8
	switch {
	case m.spans != nil:
		return k + 1
	case m.table != nil:
		return k + 2
	case m.done:
		return k + 3
	case m.forget:
		return k + 1 // replaces queued spans of the service
	}
	return k
}

// Tables is the duty that owns the routing view of a node.
type Tables struct {
	fetch   Fetcher
	in      *ring.Ring[tableMessage]
	pool    *ants.Pool
	current atomic.Pointer[published]

	// Owned by Run's goroutine, and bounded by the groups of the view.
	fetching map[core.GroupID]bool
	fetched  map[core.GroupID]time.Time
}

// NewTables makes the duty. Run starts it.
func NewTables(f Fetcher) (*Tables, error) {
	pool, err := ants.NewPool(fetchers, ants.WithNonblocking(true), ants.WithDisablePurge(true))
	if err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "tables: worker pool")
	}
	t := &Tables{
		fetch: f, pool: pool,
		in:       ring.NewCoalescing("tables", tableMessages, tableMessage.key),
		fetching: map[core.GroupID]bool{},
		fetched:  map[core.GroupID]time.Time{},
	}
	t.current.Store(&published{next: make(chan struct{})})
	return t, nil
}

// View returns the newest view. It may be nil, which knows no service.
func (t *Tables) View() *routing.View { return t.current.Load().view }

// Stats returns the counters of the duty's ring.
func (t *Tables) Stats() ring.Stats { return t.in.Stats() }

// LearnTable hands over a table; an older one than that known is ignored.
func (t *Tables) LearnTable(table *core.Table) {
	_ = t.in.Push(context.Background(), tableMessage{group: table.Group, table: table})
}

// SetGroupRanges declares how the key space of a service is divided into groups.
func (t *Tables) SetGroupRanges(s core.Service, spans []routing.GroupRange) {
	_ = t.in.Push(context.Background(), tableMessage{group: core.GroupID{Service: s}, spans: spans})
}

// RemoveService removes a service that is no longer declared.
func (t *Tables) RemoveService(s core.Service) {
	_ = t.in.Push(context.Background(), tableMessage{group: core.GroupID{Service: s}, forget: true})
}

// RequestRefresh asks for a newer table of a group.
func (t *Tables) RequestRefresh(g core.GroupID) {
	_ = t.in.Push(context.Background(), tableMessage{group: g})
}

// Run is the duty's goroutine. It returns when ctx ends.
func (t *Tables) Run(ctx context.Context) {
	defer t.pool.Release()
	ring.Consume(ctx, t.in, 0, func(m tableMessage) { t.handle(ctx, m) }, nil)
}

func (t *Tables) handle(ctx context.Context, m tableMessage) {
	switch {
	case m.spans != nil:
		if v, err := t.View().WithGroups(m.group.Service, m.spans); err == nil {
			t.publish(v)
		}
	case m.table != nil:
		delete(t.fetching, m.group)
		if v, newer, err := t.View().WithTable(m.table); err == nil && newer {
			t.publish(v)
		}
	case m.done:
		delete(t.fetching, m.group)
	case m.forget:
		t.publish(t.View().WithoutService(m.group.Service))
	default:
		t.refresh(ctx, m.group)
	}
}

func (t *Tables) publish(v *routing.View) {
	old := t.current.Swap(&published{view: v, next: make(chan struct{})})
	close(old.next)
}

func (t *Tables) refresh(ctx context.Context, g core.GroupID) {
	if t.fetching[g] || time.Since(t.fetched[g]) < refreshInterval {
		return
	}
	held := t.View().Table(g)
	err := t.pool.Submit(func() {
		call, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		table, err := t.fetch.Fetch(call, g, held)
		if err != nil || table == nil {
			_ = t.in.Push(ctx, tableMessage{group: g, done: true})
			return
		}
		_ = t.in.Push(ctx, tableMessage{group: g, table: table})
	})
	if err == nil {
		t.fetching[g], t.fetched[g] = true, time.Now()
	}
}

// Await returns when the view has changed since seen was its version, or when
// wait or ctx ends.
func (t *Tables) await(ctx context.Context, seen *published, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-seen.next:
	case <-timer.C:
	case <-ctx.Done():
	}
}
