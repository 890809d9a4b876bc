package core

import "slices"

// NoOwner is the Entry.Owner of a range that is assigned to no member.
const NoOwner = -1

// Entry assigns one range to a member.
type Entry struct {
	Range Range
	// Owner is an index into Table.Members, or NoOwner.
	Owner int
	// Token is the fencing token of the assignment.
	Token Token
}

// Table is one version of the assignment of a group's ranges to its members. A
// published Table is immutable; a change of the assignment makes a new one.
type Table struct {
	Group GroupID
	// Version increases with every change of the assignment.
	Version Token
	Members []Member
	// Entries are ordered by Range.Lo and do not overlap.
	Entries []Entry
}

// Find returns the entry whose range contains h, or false.
func (t *Table) Find(h Hash) (Entry, bool) {
	lo, hi := 0, len(t.Entries)
	for lo < hi {
		mid := int(uint(lo+hi) >> 1)
		if t.Entries[mid].Range.Hi < h {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo < len(t.Entries) && t.Entries[lo].Range.Contains(h) {
		return t.Entries[lo], true
	}
	return Entry{Owner: NoOwner}, false
}

// Owner returns the member that owns h and its fencing token, or false if h has
// no owner.
func (t *Table) Owner(h Hash) (Member, Token, bool) {
	e, ok := t.Find(h)
	if !ok || e.Owner == NoOwner {
		return Member{}, Token{}, false
	}
	return t.Members[e.Owner], e.Token, true
}

// IndexOf returns the index in Members of the same run as m, or NoOwner.
func (t *Table) IndexOf(m Member) int {
	return slices.IndexFunc(t.Members, m.SameRun)
}

// Validate returns an *Error with CodeInvalid if entries are unordered or
// overlap, if a range has Lo greater than Hi, or if an owner is not an index
// into Members.
func (t *Table) Validate() error {
	for i, e := range t.Entries {
		switch {
		case e.Range.Lo > e.Range.Hi:
			return Fail(CodeInvalid, "assignment table: range with Lo greater than Hi")
		case e.Owner < NoOwner || e.Owner >= len(t.Members):
			return Fail(CodeInvalid, "assignment table: owner index out of bounds")
		case i > 0 && e.Range.Lo <= t.Entries[i-1].Range.Hi:
			return Fail(CodeInvalid, "assignment table: unordered or overlapping ranges")
		}
	}
	return nil
}
