package routing

import (
	"fmt"

	"marjoramshore.example/core"
)

// GroupRangeError reports a group whose range is inverted or overlaps the range
// of another group, a group that is listed twice, or a table without entries
// for a group that was not declared.
type GroupRangeError struct {
	Service core.Service
	Group   uint32
}

func (e *GroupRangeError) Error() string {
	return fmt.Sprintf("group range is inverted, empty, duplicate or overlapping: service=%s group=%d", e.Service, e.Group)
}

// BaseMismatchError reports a delta whose base is not the version held.
type BaseMismatchError struct {
	Group core.GroupID
	// Base is the version to which the delta applies.
	Base core.Token
	// Held is the version of the table in the View, or zero if there is none.
	Held core.Token
}

func (e *BaseMismatchError) Error() string {
	return fmt.Sprintf("table delta does not apply to the version held: service=%s group=%d base=%d.%d held=%d.%d",
		e.Group.Service, e.Group.Number, e.Base.Term, e.Base.Sequence, e.Held.Term, e.Held.Sequence)
}
