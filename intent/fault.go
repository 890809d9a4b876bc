package intent

import (
	"strconv"
	"strings"

	"marjoramshore.example/core"
)

// Fault is one fault of a declaration, plan or stored configuration.
type Fault struct {
	// Line is the line in the decoded text, counted from 1, or 0 if the fault
	// has no line.
	Line int `json:"line,omitempty"`
	// Field is a path such as services[0].customers[2].weight.
	Field string `json:"field"`
	// Limit states the requirement that the field violates.
	Limit string `json:"limit"`
}

// Error returns the line, the field and the requirement.
func (f Fault) Error() string {
	s := f.Field + ": " + f.Limit
	if f.Line > 0 {
		s = "line " + strconv.Itoa(f.Line) + ": " + s
	}
	return s
}

// Faults lists every fault that was found. It is an error.
type Faults []Fault

// Error returns all faults on one line.
func (f Faults) Error() string {
	texts := make([]string, len(f))
	for i, fault := range f {
		texts[i] = fault.Error()
	}
	return strings.Join(texts, "; ")
}

// ConflictError reports that a plan cannot be confirmed, because the
// configuration has changed since the plan was computed.
type ConflictError struct {
	// Base is the revision that the plan was computed from, and Current the
	// revision in force.
	Base    core.Revision `json:"base"`
	Current core.Revision `json:"current"`
	// LaterEntries lists the changes after Base, oldest first.
	LaterEntries []HistoryEntry `json:"since"`
	// Incomplete reports that the history no longer reaches back to Base.
	Incomplete bool `json:"incomplete,omitempty"`
}

// Error returns both revisions and the changes between them.
func (e *ConflictError) Error() string {
	s := "made from revision " + strconv.FormatUint(uint64(e.Base), 10) +
		", but revision " + strconv.FormatUint(uint64(e.Current), 10) + " is current"
	for _, entry := range e.LaterEntries {
		s += "; " + entry.String()
	}
	return s
}
