// Package ringgraph finds out, from the source of a program, which goroutines push to
// which rings under which policy, and which of them wait for one another.
//
// The reader of a ring is the function that waits for its elements: with Next, Ready or
// ring.Consume. A reader waits for another one if anything that it calls pushes to a ring
// with policy ring.Block, or waits for a ring.Reply that the other one sends. A cycle of
// such waits can stop all of its readers for ever.
//
// The call graph follows calls of interfaces and of function values by their types. It
// does not follow values that pass through an atomic.Pointer or another process, and it
// leaves out functions started by a go statement and tasks handed to a worker pool, whose
// callers do not wait for them. Channels other than those of rings and replies are not
// looked at.
package ringgraph
