// Package cli implements the commands of the marjoramshore binary. Their exit
// codes are 0 for success, 1 for a failure or a failed check, and 2 for wrong
// usage; the operators' commands use the exit codes of package operator.
package cli
