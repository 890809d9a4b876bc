// Package slotqueue decides which requests are sent to a backend server. All
// requests for the backend server pass one queue, so that it never runs more
// than it has slots. The others wait in order of priority, or are refused at
// once if they could not be answered in time. It uses no network and starts no
// goroutine.
package slotqueue
