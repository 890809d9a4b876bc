package shards

import (
	"slices"
	"strconv"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

const (
	// slowClock bounds how much slower a backend server's clock may count a
	// hold; the platform states 2%.
	slowClock = 0.02
	// holdMargin is kept between the end of a hold and the end of the lease.
	holdMargin = 20 * time.Millisecond
)

// BackendReport is what a backend server says of its keys.
type BackendReport struct {
	Holder Holder
	// Ready is false once the run is about to stop.
	Ready bool
	Slots int
	// Demand is that of Request.
	Demand float64
	// Holds are the spans that the run holds or still works on.
	Holds []Row
	// Freed are the spans released since its last acknowledged report.
	Freed []Row
}

// Grant is the answer to a Report: everything that the run may hold, for the
// time counted from when it sent the report. A zero Hold renews nothing.
type Grant struct {
	Rows     []Row
	HoldTime time.Duration
}

// granted is a row that was handed to the present run.
type granted struct {
	Row
	// until is the latest end of the run's hold.
	until clock.Instant
	// allowed is false once the row was left out of a grant.
	allowed bool
}

// Member passes the coordinator's rows on to the backend server beside it.
type Member struct {
	service core.Service
	node    core.NodeID
	inc     core.Incarnation
	maxHold time.Duration

	holder Holder
	ready  bool
	slots  int
	demand float64

	term    uint64
	version uint64
	lease   clock.Instant
	rows    []Row

	given    []granted
	asked    []Row // rows that the coordinator wants back
	freed    []Freed
	nextFree uint64
	over     []Holder
}

// NewMember returns a member without a backend server. maxHold bounds a hold.
func NewMember(service core.Service, node core.NodeID, inc core.Incarnation, maxHold time.Duration) *Member {
	return &Member{service: service, node: node, inc: inc, maxHold: maxHold}
}

// Holder returns the present run.
func (m *Member) Holder() Holder { return m.holder }

// LeaseEnd returns the instant at which the lease ends.
func (m *Member) LeaseEnd() clock.Instant { return m.lease }

// Term returns the newest term that the member knows of.
func (m *Member) Term() uint64 { return m.term }

// HasReleases reports whether the coordinator should be told at once.
func (m *Member) HasReleases() bool { return len(m.freed) > 0 }

// maxOver bounds the ended runs that are reported. The keys of older ones are
// free once their leases have ended.
const maxOver = 16

// EndRun tells that a run is over: it can hold nothing any more.
func (m *Member) EndRun(h Holder) {
	if h == NoHolder {
		return
	}
	for _, o := range m.over {
		if o == h {
			return
		}
	}
	m.over = append(m.over, h)
	if len(m.over) > maxOver {
		m.over = m.over[1:]
	}
	if m.holder == h {
		m.holder, m.ready, m.given = NoHolder, false, nil
	}
}

// AddRun tells of a run whose report came before the keys of the service were
// followed, so that rows can be assigned before its next one.
func (m *Member) AddRun(h Holder, slots int) {
	if m.holder == NoHolder {
		m.holder, m.ready, m.slots = h, true, slots
	}
}

// MarkLeaving tells that the present run takes no more keys.
func (m *Member) MarkLeaving() { m.ready = false }

// HandleReport takes over what a backend server reports, and returns its grant.
func (m *Member) HandleReport(now clock.Instant, r BackendReport) Grant {
	if r.Holder != m.holder {
		m.EndRun(m.holder)
		m.holder, m.given = r.Holder, nil
		m.over = slices.DeleteFunc(m.over, func(h Holder) bool { return h == r.Holder })
	}
	m.ready, m.slots, m.demand = r.Ready, r.Slots, r.Demand
	for _, f := range r.Freed {
		m.release(f.Span, f.Handover)
	}
	m.expire(now, r.Holds)
	m.giveBack()
	return m.grant(now, r.Holds)
}

// release records that the run gave a span back.
func (m *Member) release(s Span, handover string) {
	kept := m.given[:0:0]
	for _, g := range m.given {
		if g.allowed || !g.Overlaps(s) {
			kept = append(kept, g)
			continue
		}
		part := Span{max(g.From, s.From), min(g.To, s.To)}
		m.report(Freed{Span: part, Holder: m.holder, Fence: g.Fence, Handover: handover})
		kept = append(kept, g.without(part)...)
	}
	m.given = kept
}

func (g granted) without(s Span) []granted {
	var out []granted
	if g.From < s.From {
		left := g
		left.To = s.From - 1
		out = append(out, left)
	}
	if g.To > s.To {
		right := g
		right.From = s.To + 1
		out = append(out, right)
	}
	return out
}

func (m *Member) report(f Freed) {
	m.nextFree++
	f.ID = m.nextFree
	m.freed = append(m.freed, f)
}

// expire frees rows that were left out of the grants, whose hold has ended,
// and which the run neither holds nor works on.
func (m *Member) expire(now clock.Instant, holds []Row) {
	kept := m.given[:0]
	for _, g := range m.given {
		if g.allowed || now.Before(g.until) || overlapsAny(g.Span, holds) {
			kept = append(kept, g)
			continue
		}
		m.report(Freed{Span: g.Span, Holder: m.holder, Fence: g.Fence})
	}
	m.given = kept
}

// giveBack returns the rows that the coordinator wants back and that were never
// granted, for example because the grant had no room for them.
func (m *Member) giveBack() {
	for _, r := range m.asked {
		given := slices.ContainsFunc(m.given, func(g granted) bool { return g.Overlaps(r.Span) })
		known := slices.ContainsFunc(m.freed, func(f Freed) bool { return f.Overlaps(r.Span) && f.Fence == r.Fence })
		if r.Holder == m.holder && !given && !known {
			m.report(Freed{Span: r.Span, Holder: r.Holder, Fence: r.Fence})
		}
	}
}

// ReleaseSilentRun frees the rows of a run that stopped reporting once its holds have
// ended. It reports whether it freed any.
func (m *Member) ReleaseSilentRun(now clock.Instant) bool {
	if m.holder == NoHolder || m.ready || len(m.given) == 0 {
		return false
	}
	for _, g := range m.given {
		if now.Before(g.until) {
			return false
		}
	}
	for _, g := range m.given {
		m.report(Freed{Span: g.Span, Holder: m.holder, Fence: g.Fence})
	}
	m.given = nil
	return true
}

func overlapsAny(s Span, rows []Row) bool {
	for _, r := range rows {
		if s.Overlaps(r.Span) {
			return true
		}
	}
	return false
}

// grant lists what the run may hold now.
func (m *Member) grant(now clock.Instant, holds []Row) Grant {
	hold := min(m.lease.Sub(now)-holdMargin, m.maxHold)
	hold = time.Duration(float64(hold) / (1 + slowClock))
	if hold <= 0 || m.holder == NoHolder {
		return Grant{}
	}
	allowed := fitting(m.mayHold(), holds)
	until := now.Add(time.Duration(float64(hold) * (1 + slowClock)))
	for i := range m.given {
		m.given[i].allowed = false
	}
	for _, r := range allowed {
		m.mark(r, until)
	}
	return Grant{Rows: allowed, HoldTime: hold}
}

const (
	// maxGrant bounds the bytes of the rows in one answer to a backend server,
	// which takes 4 KiB.
	maxGrant = 3900
	// rowBytes is the size of an encoded row without its numbers and the
	// handover: brackets, quotes and commas.
	rowBytes = 8
)

// size returns the bytes of an encoded row.
func size(r Row) int {
	return rowBytes + digits(int64(r.From)) + digits(int64(r.To)) + digits(r.Fence) + len(r.Handover)
}

func digits(n int64) int { return len(strconv.FormatInt(n, 10)) }

// fitting returns the rows that fit into one answer. Rows that the run already
// holds go first; the others are granted with a later report, when handovers
// that were taken no longer use space.
func fitting(rows, holds []Row) []Row {
	left := maxGrant
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		if reported(r, holds) {
			r.Handover = "" // already taken
			left -= size(r)
			out = append(out, r)
		}
	}
	for _, r := range rows {
		if bytes := size(r); !reported(r, holds) && bytes <= left {
			left -= bytes
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Row) int { return a.From - b.From })
	return out
}

// mayHold returns the coordinator's rows for the present run without those
// that it has released.
func (m *Member) mayHold() []Row {
	var out []Row
	for _, r := range m.rows {
		if r.Holder == m.holder {
			out = append(out, r)
		}
	}
	for _, f := range m.freed {
		var rest []Row
		for _, r := range out {
			if !r.Overlaps(f.Span) || r.Fence > f.Fence {
				rest = append(rest, r)
				continue
			}
			for _, p := range (granted{Row: r}).without(f.Span) {
				rest = append(rest, p.Row)
			}
		}
		out = rest
	}
	return out
}

// mark records a granted row. Parts of earlier grants that it does not cover
// stay recorded, because the run may still hold them.
func (m *Member) mark(r Row, until clock.Instant) {
	kept := m.given[:0:0]
	for _, g := range m.given {
		if !g.Overlaps(r.Span) {
			kept = append(kept, g)
			continue
		}
		kept = append(kept, g.without(Span{max(g.From, r.From), min(g.To, r.To)})...)
	}
	m.given = append(kept, granted{Row: r, until: until, allowed: true})
}

func reported(r Row, holds []Row) bool {
	for _, h := range holds {
		if h.From <= r.From && r.To <= h.To && h.Fence == r.Fence {
			return true
		}
	}
	return false
}

// UsableRows returns the rows on which the run may begin requests, and until when.
func (m *Member) UsableRows() ([]Row, clock.Instant) {
	var rows []Row
	var until clock.Instant
	for _, g := range m.given {
		if g.allowed {
			rows = append(rows, g.Row)
			until = g.until
		}
	}
	return rows, until
}

// BuildRequest returns the report to the coordinator.
func (m *Member) BuildRequest() LeaseRequest {
	return LeaseRequest{
		Service: m.service, Node: m.node, Incarnation: m.inc, Term: m.term,
		Holder: m.holder, Ready: m.ready, Slots: m.slots, Demand: m.demand,
		Freed: append([]Freed(nil), m.freed...), Over: append([]Holder(nil), m.over...), Rows: m.version,
	}
}

// HandleAnswer takes over the answer to a request that was sent at an instant. It
// reports whether the answer came from the present coordinator.
func (m *Member) HandleAnswer(sent clock.Instant, a LeaseAnswer) bool {
	if a.Term < m.term {
		return false
	}
	if a.Term > m.term {
		m.term, m.version = a.Term, 0
	}
	if !a.Coordinator {
		return false
	}
	if a.Version != m.version {
		m.version, m.rows = a.Version, a.Rows
	}
	m.asked = a.Return
	m.acknowledge(a.FreedThrough)
	if until := sent.Add(a.Lease); a.Lease > 0 && until.After(m.lease) {
		m.lease = until
	}
	return true
}

func (m *Member) acknowledge(through uint64) {
	kept := m.freed[:0]
	for _, f := range m.freed {
		if f.ID > through {
			kept = append(kept, f)
		}
	}
	m.freed = kept
}
