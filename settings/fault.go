package settings

import (
	"strconv"
	"strings"
)

// Fault is one fault of a settings file.
type Fault struct {
	File string
	// Line is the line of the field, or of the object that lacks it.
	Line  int
	Field string
	// Limit states what the field must be.
	Limit string
}

// Error implements error.
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

// Faults lists every fault of a file, ordered by line.
type Faults []Fault

// Error implements error on one line.
func (f Faults) Error() string {
	texts := make([]string, len(f))
	for i, fault := range f {
		texts[i] = fault.Error()
	}
	return strings.Join(texts, "; ")
}
