package core

import "slices"

// NoOwner marks an entry whose range is assigned to nobody.
const NoOwner = -1

// Entry assigns one range.
type Entry struct {
	Range Range
	// Owner is an index into Table.Members, or NoOwner.
	Owner int
	// Token is the fencing token under which the range was assigned.
	Token Token
}

// Table is one version of the assignment of a group. It is immutable once
// published: changes make a new Table.
type Table struct {
	Group GroupID
	// Version grows with every change of the assignment.
	Version Token
	Members []Member
	// Entries are ordered by Range.Lo and do not overlap.
	Entries []Entry
}

// Find returns the entry that contains h.
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

// Owner returns the member that owns h and its token, or false.
func (t *Table) Owner(h Hash) (Member, Token, bool) {
	e, ok := t.Find(h)
	if !ok || e.Owner == NoOwner {
		return Member{}, Token{}, false
	}
	return t.Members[e.Owner], e.Token, true
}

// IndexOf returns the position of the member with this run, or NoOwner.
func (t *Table) IndexOf(m Member) int {
	return slices.IndexFunc(t.Members, m.SameRun)
}

// Validate reports the first structural fault as an *Error with CodeInvalid:
// unordered or overlapping entries, inverted ranges, or owners out of bounds.
func (t *Table) Validate() error {
	for i, e := range t.Entries {
		switch {
		case e.Range.Lo > e.Range.Hi:
			return Fail(CodeInvalid, "table: inverted range")
		case e.Owner < NoOwner || e.Owner >= len(t.Members):
			return Fail(CodeInvalid, "table: owner out of bounds")
		case i > 0 && e.Range.Lo <= t.Entries[i-1].Range.Hi:
			return Fail(CodeInvalid, "table: unordered or overlapping ranges")
		}
	}
	return nil
}
