// Package report keeps the recorded slopes and carries out the command
// "marjoramshore capacity".
package report

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"marjoramshore.example/capacity"
	"marjoramshore.example/capacity/slopes"
)

// recorded is the run on which docs/CAPACITY.md rests.
//
//go:embed recorded.json
var recorded []byte

// Options selects what Main does.
type Options struct {
	// Measure runs all measurements instead of using the recorded ones.
	Measure bool
	// OnlySlope limits the printed slopes to one name.
	OnlySlope string
	// RecordFile and PageFile name files to write: the slopes as JSON, and the page
	// whose generated part is replaced. Empty writes none.
	RecordFile, PageFile string
}

// FileError is a failure to read or write a file.
type FileError struct {
	Doing string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return "capacity: " + e.Doing + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// NameError reports a slope that is not known.
type NameError struct{ Name string }

// Error implements error.
func (e *NameError) Error() string { return "capacity: no slope " + e.Name }

// Recorded returns the recorded slopes.
func Recorded() (*capacity.Record, error) {
	r := new(capacity.Record)
	if err := json.Unmarshal(recorded, r); err != nil {
		return nil, &FileError{"decode recorded slopes", err}
	}
	return r, nil
}

// Run writes the tables, from the recorded slopes or from new ones. New
// slopes are also written as JSON.
func Run(out io.Writer, o Options) error {
	source := Recorded
	if o.Measure {
		source = slopes.Measure
	}
	r, err := source()
	if err != nil {
		return err
	}
	if o.OnlySlope != "" {
		return one(out, r, o.OnlySlope)
	}
	text, err := capacity.Text(r)
	if err != nil {
		return err
	}
	js, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return &FileError{"encode slopes", err}
	}
	fmt.Fprintln(out, text)
	if o.Measure {
		fmt.Fprintln(out, string(js))
	}
	if o.RecordFile != "" {
		if err := os.WriteFile(o.RecordFile, append(js, '\n'), 0o644); err != nil {
			return &FileError{"write slopes", err}
		}
	}
	return update(o.PageFile, text)
}

// one writes a single slope as a table and as JSON.
func one(out io.Writer, r *capacity.Record, name string) error {
	s, ok := r.Find(name)
	if !ok {
		return &NameError{name}
	}
	js, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return &FileError{"encode slope", err}
	}
	fmt.Fprintf(out, "%s\n%s\n", capacity.SlopeTable([]capacity.Slope{s}), js)
	return nil
}

// update replaces the generated part of the page.
func update(file, text string) error {
	if file == "" {
		return nil
	}
	old, err := os.ReadFile(file)
	if err != nil {
		return &FileError{"read page", err}
	}
	page, err := capacity.Replace(string(old), text)
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, []byte(page), 0o644); err != nil {
		return &FileError{"write page", err}
	}
	return nil
}
