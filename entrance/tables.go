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

// TableFetcher reads the newest table of a group from one of its members, or
// from the group's record in the store. It may block.
type TableFetcher interface {
	// Fetch returns the table of a group. held is the table that this node has,
	// or nil; a nil result means that there is none newer.
	Fetch(ctx context.Context, group core.GroupID, held *core.Table) (*core.Table, error)
}

const (
	// commandQueueCapacity bounds the queued commands. Commands of one kind for
	// the same group replace each other, because only the newest table matters.
	commandQueueCapacity = 64
	maxConcurrentFetches = 8
	// fetchTimeout limits one fetch of a table. A member in the same region
	// answers within milliseconds; a connection to a lost one is refused or
	// times out.
	fetchTimeout = 800 * time.Millisecond
	// refreshInterval is the minimum time between two fetches of one group's
	// table. A waiting request learns of its new owner at most 100 ms late,
	// which is short beside the 5 s within which a lost key is served again.
	refreshInterval = 100 * time.Millisecond
)

// viewVersion is one version of the routing view. replaced is closed when a
// newer version is published.
type viewVersion struct {
	view     *routing.View
	replaced chan struct{}
}

// tableCommand asks Tables for one change: to use groupRanges for a service, to
// use table for a group, to note the end of a fetch, or to remove a service.
// Without any of these fields it asks for a fetch of the group's table.
type tableCommand struct {
	group       core.GroupID
	table       *core.Table
	groupRanges []routing.GroupRange
	// fetchEnded reports that a fetch failed or found nothing newer.
	fetchEnded    bool
	removeService bool
}

// coalescingKey returns the key under which a queued command is replaced by a
// newer one.
func (c tableCommand) coalescingKey() uint64 {
	k := uint64(core.HashKey(string(c.group.Service))) + uint64(c.group.Number)*8
	switch {
	case c.groupRanges != nil:
		return k + 1
	case c.table != nil:
		return k + 2
	case c.fetchEnded:
		return k + 3
	case c.removeService:
		return k + 1 // replaces queued group ranges of the service
	}
	return k
}

// Tables owns the routing view of a node. Only the goroutine of Run changes the
// view; the other methods may be called from any goroutine.
type Tables struct {
	fetcher   TableFetcher
	commands  *ring.Ring[tableCommand]
	fetchPool *ants.Pool
	current   atomic.Pointer[viewVersion]

	// Both maps belong to the goroutine of Run. fetchRunning holds the groups
	// that are being fetched, lastFetch the start of the last fetch of each.
	fetchRunning map[core.GroupID]bool
	lastFetch    map[core.GroupID]time.Time
}

// NewTables returns Tables with an empty view. It handles no command before Run
// is called.
func NewTables(f TableFetcher) (*Tables, error) {
	pool, err := ants.NewPool(maxConcurrentFetches, ants.WithNonblocking(true), ants.WithDisablePurge(true))
	if err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "tables: cannot create the fetch pool")
	}
	t := &Tables{
		fetcher: f, fetchPool: pool,
		commands:     ring.NewCoalescing("tables", commandQueueCapacity, tableCommand.coalescingKey),
		fetchRunning: map[core.GroupID]bool{},
		lastFetch:    map[core.GroupID]time.Time{},
	}
	t.current.Store(&viewVersion{replaced: make(chan struct{})})
	return t, nil
}

// View returns the newest view. It may be nil, which is a valid view without
// services.
func (t *Tables) View() *routing.View { return t.current.Load().view }

// Stats returns the counters of the command queue.
func (t *Tables) Stats() ring.Stats { return t.commands.Stats() }

// LearnTable queues a table for the view. It is ignored unless it is newer than
// the table of its group in the view.
func (t *Tables) LearnTable(table *core.Table) {
	_ = t.commands.Push(context.Background(), tableCommand{group: table.Group, table: table})
}

// SetGroupRanges queues the division of a service's key space into groups.
func (t *Tables) SetGroupRanges(s core.Service, ranges []routing.GroupRange) {
	_ = t.commands.Push(context.Background(), tableCommand{group: core.GroupID{Service: s}, groupRanges: ranges})
}

// RemoveService queues the removal of a service that is no longer declared.
func (t *Tables) RemoveService(s core.Service) {
	_ = t.commands.Push(context.Background(), tableCommand{group: core.GroupID{Service: s}, removeService: true})
}

// RequestRefresh queues a fetch of a group's table. The request is dropped
// while a fetch for the group runs, within refreshInterval of the start of the
// last one, and while maxConcurrentFetches run.
func (t *Tables) RequestRefresh(g core.GroupID) {
	_ = t.commands.Push(context.Background(), tableCommand{group: g})
}

// Run handles queued commands until ctx ends. It must be called once, on a
// goroutine of its own.
func (t *Tables) Run(ctx context.Context) {
	defer t.fetchPool.Release()
	ring.Consume(ctx, t.commands, 0, func(c tableCommand) { t.handleCommand(ctx, c) }, nil)
}

func (t *Tables) handleCommand(ctx context.Context, c tableCommand) {
	switch {
	case c.groupRanges != nil:
		if v, err := t.View().WithGroups(c.group.Service, c.groupRanges); err == nil {
			t.publishView(v)
		}
	case c.table != nil:
		delete(t.fetchRunning, c.group)
		if v, newer, err := t.View().WithTable(c.table); err == nil && newer {
			t.publishView(v)
		}
	case c.fetchEnded:
		delete(t.fetchRunning, c.group)
	case c.removeService:
		t.publishView(t.View().WithoutService(c.group.Service))
	default:
		t.startFetch(ctx, c.group)
	}
}

func (t *Tables) publishView(v *routing.View) {
	old := t.current.Swap(&viewVersion{view: v, replaced: make(chan struct{})})
	close(old.replaced)
}

func (t *Tables) startFetch(ctx context.Context, g core.GroupID) {
	if t.fetchRunning[g] || time.Since(t.lastFetch[g]) < refreshInterval {
		return
	}
	held := t.View().Table(g)
	err := t.fetchPool.Submit(func() {
		fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		table, err := t.fetcher.Fetch(fetchCtx, g, held)
		if err != nil || table == nil {
			_ = t.commands.Push(ctx, tableCommand{group: g, fetchEnded: true})
			return
		}
		_ = t.commands.Push(ctx, tableCommand{group: g, table: table})
	})
	if err == nil {
		t.fetchRunning[g], t.lastFetch[g] = true, time.Now()
	}
}

// awaitNewView returns when a newer version than known is published, when wait
// has passed or when ctx ends.
func (t *Tables) awaitNewView(ctx context.Context, known *viewVersion, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-known.replaced:
	case <-timer.C:
	case <-ctx.Done():
	}
}
