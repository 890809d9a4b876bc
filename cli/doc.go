// Package cli holds the commands of the marjoramshore binary. Exit codes are 0
// for success, 1 for a refusal or a failed check, 2 for wrong usage, and those
// of package operator for the operators' commands.
package cli
