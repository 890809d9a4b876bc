// Package report holds the recorded slopes and runs the command "marjoramshore
// capacity".
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

// recordedJSON holds the measurements from which docs/CAPACITY.md is generated.
//
//go:embed recorded.json
var recordedJSON []byte

// Options selects what Run does.
type Options struct {
	// Measure runs all measurements instead of using the recorded ones.
	Measure bool
	// OnlySlope names the one slope to print instead of all tables.
	OnlySlope string
	// RecordFile is the file to write the slopes to, as JSON, and PageFile is
	// the page whose generated part is replaced. An empty name writes no file.
	RecordFile, PageFile string
}

// FileError is a failure to read, write, encode or decode recorded slopes or
// the page.
type FileError struct {
	Operation string
	Cause     error
}

// Error implements error.
func (e *FileError) Error() string { return "capacity: " + e.Operation + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// UnknownSlopeError reports that the measurements have no slope of this name.
type UnknownSlopeError struct{ Name string }

// Error implements error.
func (e *UnknownSlopeError) Error() string { return "capacity: unknown slope " + e.Name }

// LoadRecorded returns the measurements that are embedded in the program.
func LoadRecorded() (*capacity.Measurements, error) {
	measurements := new(capacity.Measurements)
	if err := json.Unmarshal(recordedJSON, measurements); err != nil {
		return nil, &FileError{"decode recorded slopes", err}
	}
	return measurements, nil
}

// Run writes the tables to out, from the recorded slopes or from new ones. New
// slopes are also written as JSON.
func Run(out io.Writer, options Options) error {
	load := LoadRecorded
	if options.Measure {
		load = slopes.Measure
	}
	measurements, err := load()
	if err != nil {
		return err
	}
	if options.OnlySlope != "" {
		return printSlope(out, measurements, options.OnlySlope)
	}
	generated, err := capacity.GeneratedText(measurements)
	if err != nil {
		return err
	}
	encoded, err := json.MarshalIndent(measurements, "", " ")
	if err != nil {
		return &FileError{"encode slopes", err}
	}
	fmt.Fprintln(out, generated)
	if options.Measure {
		fmt.Fprintln(out, string(encoded))
	}
	if options.RecordFile != "" {
		if err := os.WriteFile(options.RecordFile, append(encoded, '\n'), 0o644); err != nil {
			return &FileError{"write slopes", err}
		}
	}
	return updatePage(options.PageFile, generated)
}

// printSlope writes a single slope as a table and as JSON.
func printSlope(out io.Writer, measurements *capacity.Measurements, name string) error {
	s, ok := measurements.FindSlope(name)
	if !ok {
		return &UnknownSlopeError{name}
	}
	encoded, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return &FileError{"encode slope", err}
	}
	fmt.Fprintf(out, "%s\n%s\n", capacity.FormatSlopes([]capacity.Slope{s}), encoded)
	return nil
}

// updatePage replaces the generated part of the file; an empty name does
// nothing.
func updatePage(file, generated string) error {
	if file == "" {
		return nil
	}
	old, err := os.ReadFile(file)
	if err != nil {
		return &FileError{"read page", err}
	}
	page, err := capacity.ReplaceGenerated(string(old), generated)
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, []byte(page), 0o644); err != nil {
		return &FileError{"write page", err}
	}
	return nil
}
