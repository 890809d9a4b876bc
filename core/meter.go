package core

import "sync/atomic"

// ByteMeter counts the bytes of a group of connections. A nil meter counts
// nothing.
type ByteMeter struct{ read, written atomic.Int64 }

// CountRead adds bytes that were received.
func (m *ByteMeter) CountRead(n int) {
	if m != nil {
		m.read.Add(int64(n))
	}
}

// CountWritten adds bytes that were sent.
func (m *ByteMeter) CountWritten(n int) {
	if m != nil {
		m.written.Add(int64(n))
	}
}

// Totals returns the bytes received and sent so far.
func (m *ByteMeter) Totals() (read, written int64) { return m.read.Load(), m.written.Load() }
