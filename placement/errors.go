package placement

import "fmt"

// Fault tells why an export was not accepted.
type Fault string

// Faults of an export.
const (
	FaultTruncated Fault = "truncated"
	FaultVersion   Fault = "unknown version"
	FaultSpan      Fault = "span of another group layout"
	FaultValue     Fault = "value out of bounds"
	FaultMembers   Fault = "too many members"
)

// ExportError reports an export that Loads did not accept.
type ExportError struct{ Fault Fault }

// Error implements error.
func (e *ExportError) Error() string { return fmt.Sprintf("load export rejected: %s", e.Fault) }
