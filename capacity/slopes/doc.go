// Package slopes measures how the costs of the modules grow with size. It runs
// the real state machines in memory on virtual time and encodes real messages.
// Counts of bytes and calls are the same in every run. Times and heap sizes
// vary, so no test depends on them.
package slopes
