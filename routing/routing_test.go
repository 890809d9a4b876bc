package routing

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// A fixed seed makes CI run the same cases each time; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

func member(i int) core.Member {
	return core.Member{Node: core.NodeID(fmt.Sprintf("n%d", i)), Incarnation: 7, Address: fmt.Sprintf("10.0.0.%d:1", i)}
}

// drawTable draws a table with gaps, ranges without an owner and members in any
// order.
func drawTable(t *rapid.T, v core.Token) *core.Table {
	out := &core.Table{Group: core.GroupID{Service: "s", Number: 1}, Version: v}
	for _, i := range rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "order")[:rapid.IntRange(1, 4).Draw(t, "n")] {
		out.Members = append(out.Members, member(i))
	}
	cuts := rapid.SliceOfNDistinct(rapid.Uint64Range(0, 40), 2, 16, rapid.ID).Draw(t, "cuts")
	slices.Sort(cuts)
	for i := 0; i+1 < len(cuts); i++ {
		if rapid.IntRange(0, 9).Draw(t, "gap") == 0 {
			continue
		}
		out.Entries = append(out.Entries, core.Entry{
			Range: core.Range{Lo: core.Hash(cuts[i]), Hi: core.Hash(cuts[i+1] - 1)},
			Owner: rapid.IntRange(core.NoOwner, len(out.Members)-1).Draw(t, "owner"),
			Token: core.Token{Term: 1, Sequence: rapid.Uint64Range(1, 2).Draw(t, "seq")}})
	}
	return out
}

// drawChangedTable draws a change of a few entries and members of old, as a
// coordinator makes it.
func drawChangedTable(t *rapid.T, old *core.Table) *core.Table {
	next := &core.Table{Group: old.Group, Version: core.Token{Term: 2}, Members: slices.Clone(old.Members), Entries: slices.Clone(old.Entries)}
	for i := range next.Entries {
		if rapid.IntRange(0, 4).Draw(t, "touch") == 0 {
			next.Entries[i].Owner = rapid.IntRange(core.NoOwner, len(next.Members)-1).Draw(t, "owner")
		}
	}
	if i := rapid.IntRange(0, len(next.Entries)).Draw(t, "split"); i < len(next.Entries) {
		if r := next.Entries[i].Range; r.Lo < r.Hi {
			right := next.Entries[i]
			next.Entries[i].Range.Hi, right.Range.Lo = r.Lo, r.Lo+1
			next.Entries = slices.Insert(next.Entries, i+1, right)
		}
	}
	if rapid.Bool().Draw(t, "join") {
		next.Members = slices.Insert(next.Members, 0, member(9))
		for i := range next.Entries {
			if next.Entries[i].Owner != core.NoOwner {
				next.Entries[i].Owner++
			}
		}
	}
	return next
}

// Guards against a delta that loses a range, duplicates it or gives it to the
// wrong owner.
func TestApplyDiffEqualsNewTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old := drawTable(t, core.Token{Term: 1})
		next := drawChangedTable(t, old)
		if rapid.Bool().Draw(t, "unrelated") {
			next = drawTable(t, core.Token{Term: 2})
		}
		must.NoError(t, old.Validate())
		got, err := Apply(old, Diff(old, next))
		must.NoError(t, err)
		must.Eq(t, next.Members, got.Members)
		must.SliceLen(t, len(next.Entries), got.Entries)
		for i := range got.Entries {
			must.Eq(t, next.Entries[i], got.Entries[i])
		}
	})
}

// Guards against a delta as large as the table after a single move.
func TestDiffOfOneMoveHasOneEntry(t *testing.T) {
	old := evenTable(1, 4096)
	next := &core.Table{Group: old.Group, Version: core.Token{Term: 2}, Members: old.Members, Entries: slices.Clone(old.Entries)}
	next.Entries[77].Owner = 3
	must.SliceLen(t, 1, Diff(old, next).Entries)
}

// Guards against applying a delta to a version other than its base.
func TestApplyRejectsAnotherBase(t *testing.T) {
	old, next := evenTable(1, 64), evenTable(2, 64)
	d := Diff(old, next)
	d.Full = false
	for _, held := range []*core.Table{nil, next} {
		var mismatch *BaseMismatchError
		_, err := Apply(held, d)
		must.True(t, errors.As(err, &mismatch))
	}
}

// Guards against a View that goes back to an older table, also when its group
// is removed and declared again.
func TestTableVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var v *View
		var newest core.Token
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			table := drawTable(t, core.Token{Term: rapid.Uint64Range(1, 4).Draw(t, "term"), Sequence: rapid.Uint64Range(0, 4).Draw(t, "seq")})
			var err error
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0:
				v, err = v.WithGroups("s", nil)
				must.NoError(t, err)
			case 1:
				v, err = v.WithGroups("s", []GroupRange{{Range: core.FullRange, Group: 1}})
				must.NoError(t, err)
			case 2:
				v, _, _ = v.WithDelta(Diff(v.Table(table.Group), table))
			default:
				v, _, _ = v.WithTable(table)
			}
			if held := v.Table(table.Group); held != nil {
				must.False(t, held.Version.Less(newest))
				newest = held.Version
			}
		}
	})
}

// Guards against lookups that disagree with a scan of every entry, including
// the status of hashes without an owner, table or group.
func TestLookupMatchesScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := drawTable(t, core.Token{Term: 1})
		v, err := (*View)(nil).WithGroups("s", []GroupRange{
			{Range: core.Range{Lo: 50, Hi: 60}, Group: 2}, {Range: core.Range{Lo: 0, Hi: 45}, Group: 1}})
		must.NoError(t, err)
		v, _, err = v.WithTable(table)
		must.NoError(t, err)
		for h := range core.Hash(65) {
			r, st := v.Lookup("s", h)
			m := findOwnerByScan(v, "s", h)
			must.Eq(t, m, r.Member)
			must.Eq(t, m != nil, st == Found)
			must.Eq(t, h >= 50 && h <= 60, st == NoTable)
			must.Eq(t, h > 60 || h > 45 && h < 50, st == NoGroup)
		}
		_, st := v.Lookup("other", 1)
		must.Eq(t, NoService, st)
	})
}

// Guards against two groups whose ranges contain the same hash.
func TestOverlappingGroupsAreRejected(t *testing.T) {
	v, _, err := (*View)(nil).WithTable(evenTable(1, 16))
	must.NoError(t, err)
	other := evenTable(1, 16)
	other.Group.Number = 2
	var rangeErr *GroupRangeError
	_, _, err = v.WithTable(other)
	must.True(t, errors.As(err, &rangeErr))
	_, err = v.WithGroups("s", []GroupRange{{Range: core.FullRange, Group: 1}, {Range: core.Range{Lo: 5, Hi: 5}, Group: 2}})
	must.True(t, errors.As(err, &rangeErr))
}

var allCodes = rapid.Uint8Range(0, uint8(core.CodeTooLarge)+1)

// Guards against a second run of non-idempotent work, an attempt after the
// deadline, and an answer that claims that a request did not run when it may
// have.
func TestRetrySafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewRetryPolicy(rand.New(rand.NewPCG(1, 2)).Uint64)
		now := clock.Instant(time.Hour)
		f := Failure{Code: core.Code(allCodes.Draw(t, "code")), Idempotent: rapid.Bool().Draw(t, "idem"),
			MayHaveReachedBackend: rapid.Bool().Draw(t, "sent"), BodyConsumed: rapid.Bool().Draw(t, "spent"),
			Attempts: rapid.IntRange(1, 6).Draw(t, "attempt"),
			Deadline: now.Add(time.Duration(rapid.Int64Range(-1e7, 1e8).Draw(t, "left")))}
		if rapid.Bool().Draw(t, "hint") {
			f.Owner, f.Redirected = "10.0.0.1:1", rapid.Bool().Draw(t, "redirected")
		}
		d := p.Decide(now, f)
		mayHaveRun := f.MayHaveReachedBackend || !f.Code.NotRun()
		if d.Action == Stop {
			must.False(t, mayHaveRun && d.Code.NotRun())
			return
		}
		must.True(t, f.Idempotent || !mayHaveRun)
		must.False(t, f.BodyConsumed)
		must.True(t, f.Attempts < p.MaxAttempts)
		must.True(t, now.Before(f.Deadline.Add(-p.MinRemaining+1)))
		must.True(t, d.Wait <= f.Deadline.Sub(now))
		must.Eq(t, d.Action == RetryOwner, d.Owner != "")
	})
}

// Guards against the wrong action for the common failures, and against a
// Retry-After without jitter.
func TestDecideActionAndJitter(t *testing.T) {
	p := NewRetryPolicy(rand.New(rand.NewPCG(1, 2)).Uint64)
	for _, c := range []struct {
		f    Failure
		want Action
	}{
		{Failure{Code: core.CodeNotOwner, Owner: "a:1"}, RetryOwner},
		{Failure{Code: core.CodeNotOwner, Owner: "a:1", Redirected: true}, RefreshTable},
		{Failure{Code: core.CodeNotOwner}, RefreshTable},
		{Failure{Code: core.CodePeerUnreachable}, WaitForOwner},
		{Failure{Code: core.CodeNoOwner}, WaitForOwner},
		{Failure{Code: core.CodeUnknown, Idempotent: true, MayHaveReachedBackend: true}, RefreshTable},
		{Failure{Code: core.CodeOverloaded}, Stop},
		{Failure{Code: core.CodeQuarantined}, Stop},
		{Failure{Code: core.CodeAborted, Idempotent: true}, Stop},
	} {
		c.f.Attempts = 1
		must.Eq(t, c.want, p.Decide(0, c.f).Action, must.Sprintf("%+v", c.f))
	}
	seen := map[time.Duration]bool{}
	for range 100 {
		w := p.Decide(0, Failure{Code: core.CodeOverloaded, Attempts: 1, RetryAfter: time.Second}).Wait
		must.Between(t, time.Second, w, 1500*time.Millisecond)
		seen[w] = true
	}
	must.Greater(t, 90, len(seen))
}

// Guards against retries that amplify an overload: 95 in 100 attempts fail with
// codes that invite a retry, and attempts per request must stay under 1.1.
func TestAttemptsPerRequestInOverload(t *testing.T) {
	for seed := range uint64(8) {
		rng := rand.New(rand.NewPCG(seed, 5))
		p := NewRetryPolicy(rng.Uint64)
		codes := []core.Code{core.CodeNotOwner, core.CodeUnknown, core.CodeLeaseExpired, core.CodeDraining, core.CodeOverloaded}
		const requests = 20_000
		attempts, retryableFailures := 0, 0
		for i := range requests {
			now := clock.Instant(i) * clock.Instant(50*time.Microsecond)
			p.Budget.RecordFirstAttempt()
			for n := 1; ; n++ {
				attempts++
				if rng.IntN(100) >= 95 {
					break
				}
				f := Failure{Code: codes[rng.IntN(len(codes))], Idempotent: rng.IntN(2) == 0, Attempts: n, Deadline: now.Add(time.Second)}
				if actionFor(f) != Stop {
					retryableFailures++
				}
				if p.Decide(now, f).Action == Stop {
					break
				}
			}
		}
		perRequest := float64(attempts) / requests
		t.Logf("seed %d: attempts per request %.4f, retryable failures per request %.2f", seed, perRequest, float64(retryableFailures)/requests)
		must.Less(t, 1.1, perRequest)
	}
}
