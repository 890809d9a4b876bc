package intent

import (
	"strconv"
	"strings"

	"marjoramshore.example/core"
)

// Fault is one fault of a declaration.
type Fault struct {
	// Line is the line in the decoded text, or zero.
	Line int `json:"line,omitempty"`
	// Field is a path such as services[0].customers[2].weight.
	Field string `json:"field"`
	// Limit states what the field must be.
	Limit string `json:"limit"`
}

// Error implements error.
func (f Fault) Error() string {
	s := f.Field + ": " + f.Limit
	if f.Line > 0 {
		s = "line " + strconv.Itoa(f.Line) + ": " + s
	}
	return s
}

// Faults lists every fault.
type Faults []Fault

// Error implements error on one line.
func (f Faults) Error() string {
	texts := make([]string, len(f))
	for i, fault := range f {
		texts[i] = fault.Error()
	}
	return strings.Join(texts, "; ")
}

// ConflictError refuses a plan because the configuration changed after it was
// made.
type ConflictError struct {
	Base    core.Revision `json:"base"`
	Current core.Revision `json:"current"`
	// LaterEntries lists the changes after Base, oldest first.
	LaterEntries []HistoryEntry `json:"since"`
	// Incomplete reports that the history no longer reaches back to Base.
	Incomplete bool `json:"incomplete,omitempty"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	s := "made from revision " + strconv.FormatUint(uint64(e.Base), 10) +
		", but revision " + strconv.FormatUint(uint64(e.Current), 10) + " is current"
	for _, entry := range e.LaterEntries {
		s += "; " + entry.String()
	}
	return s
}
