package settings

import (
	"strconv"
	"strings"
)

// Fault is one fault of a settings file.
type Fault struct {
	File string
	// Line is the line of the field, or of the object that lacks it, counted
	// from 1. It is 0 if the fault has no line, such as a file that is absent.
	Line int
	// Field is the path of the field, such as listen.peer, or empty.
	Field string
	// Limit states the requirement that the field or file violates.
	Limit string
}

// Error returns the file, line, field and requirement.
func (f Fault) Error() string {
	s := f.File
	if f.Line > 0 {
		s += ":" + strconv.Itoa(f.Line)
	}
	if f.Field != "" {
		s += ": " + f.Field
	}
	return s + ": " + f.Limit
}

// Faults lists the faults of a file, ordered by line. It is an error.
type Faults []Fault

// Error returns all faults on one line.
func (f Faults) Error() string {
	texts := make([]string, len(f))
	for i, fault := range f {
		texts[i] = fault.Error()
	}
	return strings.Join(texts, "; ")
}
