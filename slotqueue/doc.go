// Package slotqueue decides which requests a backend server works on. It knows
// every request of the backend server, so that no more than its slots are ever
// sent; the others wait here by priority, or are refused at once when they
// could not be answered in time. It uses no network and no goroutine.
package slotqueue
