package placement

import "fmt"

// ExportFault tells why an export was rejected.
type ExportFault string

const (
	FaultTruncated        ExportFault = "truncated"
	FaultUnknownVersion   ExportFault = "unknown version"
	FaultForeignSpan      ExportFault = "span differs from that of the group"
	FaultValueOutOfBounds ExportFault = "value out of bounds"
	FaultTooManyMembers   ExportFault = "too many reporting members"
)

// ExportError is returned for an export that the LoadAggregator rejects.
type ExportError struct{ Fault ExportFault }

func (e *ExportError) Error() string { return fmt.Sprintf("load export rejected: %s", e.Fault) }
