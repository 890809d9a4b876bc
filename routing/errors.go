package routing

import (
	"fmt"

	"marjoramshore.example/core"
)

// SpanError reports a group whose span is inverted, empty, listed twice or
// overlaps the span of another group.
type SpanError struct {
	Service core.Service
	Group   uint32
}

// Error implements error.
func (e *SpanError) Error() string {
	return fmt.Sprintf("group span conflicts: service=%s group=%d", e.Service, e.Group)
}

// BaseError reports a delta that does not start from the version held.
type BaseError struct {
	Group core.GroupID
	// Base is the version that the delta starts from.
	Base core.Token
	// Held is the version known here, or zero.
	Held core.Token
}

// Error implements error.
func (e *BaseError) Error() string {
	return fmt.Sprintf("table delta has another base: service=%s group=%d base=%d.%d held=%d.%d",
		e.Group.Service, e.Group.Number, e.Base.Term, e.Base.Sequence, e.Held.Term, e.Held.Sequence)
}
