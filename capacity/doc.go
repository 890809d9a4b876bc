// Package capacity works out what each role of a process costs at the size
// that is expected within two years, from slopes that were measured at smaller
// sizes. It is pure arithmetic: package slopes measures, package report keeps
// the recorded slopes and writes docs/CAPACITY.md.
package capacity
