// Package capacity calculates what each role of a process costs at the fleet
// size expected within two years, from slopes that were measured at smaller
// sizes. It only does arithmetic: package slopes measures, and package report
// holds the recorded slopes and writes docs/CAPACITY.md.
package capacity
