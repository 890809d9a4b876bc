package shards

import (
	"slices"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// When the store goes back to an earlier copy, a new era begins. The record of a
// service may then lack its latest changes: another run may hold a row than the
// record says, under a greater fence. A coordinator therefore begins each era with
// a record of its own in which no row is verified. Members with a lease claim the
// rows that they have, and keep them. What nobody claims has no holder once every
// lease of the earlier eras has ended. Terms and fences of an era are greater than
// all of earlier eras.

const (
	// termEraShift and fenceEraShift are the numbers of bits of a term and a fence
	// below the era.
	termEraShift  = 32
	fenceEraShift = 32
	// firstEra is that of a store that has never gone back. A store that tells no
	// era counts as in the one before.
	firstEra core.Era = 1
)

// EraOfTerm returns the era to which a term belongs.
func EraOfTerm(term uint64) core.Era { return core.Era(term >> termEraShift) }

// firstTerm returns the number below the terms of an era. That of the first era is
// 0, as of a store that tells none.
func firstTerm(era core.Era) uint64 {
	if era <= firstEra {
		return 0
	}
	return uint64(era) << termEraShift
}

// firstFence returns a number that is not below the fences of earlier eras.
func firstFence(era core.Era) int64 {
	if era <= firstEra {
		return 0
	}
	return int64(era-firstEra) << fenceEraShift
}

// RecordEra returns the era to which the record of a service belongs while the
// store is in an era. A store in its first era may not tell it.
func RecordEra(store core.Era) core.Era {
	if store <= firstEra {
		return 0
	}
	return store
}

// unverified is the holder of the rows of which the record does not tell who holds
// them.
var unverified = Holder{Instance: "?"}

// BeginEra returns the record with which an era begins. former is the newest record
// of earlier eras that the node knows, or the zero value. No row is verified if runs
// may hold keys.
func BeginEra(era core.Era, service core.Service, former Assignment, mayBeHeld bool) Assignment {
	a := Assignment{Service: service, Term: firstTerm(era), NextFence: max(former.NextFence, firstFence(era)+1)}
	if mayBeHeld {
		a.Rows = []Row{{Span: Span{0, KeyCount - 1}, Holder: unverified}}
	}
	return a
}

// Verified reports whether the record tells of each row who holds it.
func (a *Assignment) Verified() bool {
	return !slices.ContainsFunc(a.Rows, func(r Row) bool { return r.Holder == unverified })
}

// WithUnverifiedFrom returns the rows of the record in which those that are not
// verified are as in an earlier record. They tell where a request should go, not who
// holds a key.
func (a *Assignment) WithUnverifiedFrom(former []Row) []Row {
	var out []Row
	for _, r := range a.Rows {
		if r.Holder != unverified {
			out = append(out, r)
			continue
		}
		next := r.From
		for _, f := range overlappingRows(former, r.Span) {
			f.From, f.To, f.Handover = max(f.From, r.From), min(f.To, r.To), ""
			out = append(out, f)
			next = f.To + 1
		}
		if next <= r.To {
			r.From = next
			out = append(out, r)
		}
	}
	return out
}

// Claim is what a member has under a lease that was valid when it sent the claim.
type Claim struct {
	// Term is the coordinator's term for which the rows are claimed.
	Term uint64
	Rows []Row
}

// takeClaim takes in a member's claim. After earlierLeasesEnd the claim proves
// nothing, since the lease under which it was made has ended.
func (c *Coordinator) takeClaim(now clock.Instant, state *memberState, claim *Claim) {
	if claim == nil || claim.Term != c.record.Term || state.claimed {
		return
	}
	state.claimed = true
	c.claimedAt, c.claimsUnwritten = now, c.claimsUnwritten || len(claim.Rows) > 0
	for _, r := range claim.Rows {
		if r.Holder.Node == state.node && r.From >= 0 && r.From <= r.To && r.To < KeyCount {
			c.claims = append(c.claims, r)
		}
	}
	c.applyClaims()
}

// claimWriteDelay is how long claims wait for further ones before they are written,
// since the members report at different times.
const claimWriteDelay = 300 * time.Millisecond

// mustWriteClaims reports whether the record is to be written because of claims.
func (c *Coordinator) mustWriteClaims(now clock.Instant) bool {
	return c.claimsUnwritten && now.Sub(c.claimedAt) >= claimWriteDelay
}

// applyClaims gives the unverified rows of the record to those who claim them.
func (c *Coordinator) applyClaims() {
	if len(c.claims) == 0 || c.record.Verified() {
		return
	}
	rows := c.record.Rows
	for _, claim := range c.claims {
		rows = claimRow(rows, claim)
	}
	c.indexRows(mergeRows(rows))
}

// claimRow returns a copy of rows in which the unverified parts of a claimed row are
// as claimed.
func claimRow(rows []Row, claim Row) []Row {
	out := make([]Row, 0, len(rows)+2)
	for _, r := range rows {
		if r.Holder != unverified || !r.Overlaps(claim.Span) {
			out = append(out, r)
			continue
		}
		part := claim
		part.From, part.To = max(r.From, claim.From), min(r.To, claim.To)
		if part.Span != claim.Span {
			part.Handover = "" // it names the state of the whole row
		}
		if r.From < part.From {
			left := r
			left.To = part.From - 1
			out = append(out, left)
		}
		out = append(out, part)
		if part.To < r.To {
			r.From = part.To + 1
			out = append(out, r)
		}
	}
	return out
}

// wantsClaim reports whether the member has to tell which rows it has before it gets
// a lease.
func (c *Coordinator) wantsClaim(state *memberState) bool {
	return !state.claimed && !c.record.Verified()
}

// claim returns the claim for which the coordinator has asked, or nil. It has no
// rows unless the lease is valid.
func (m *Member) claim(now clock.Instant) *Claim {
	if m.claimTerm == 0 {
		return nil
	}
	claim := &Claim{Term: m.claimTerm}
	if now.Before(m.leaseEnd) {
		claim.Rows = m.grantableRows()
	}
	return claim
}
