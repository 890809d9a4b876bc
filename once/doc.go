// Package once keeps at-most-once records: which non-idempotent requests have
// begun on an owner, and how they ended.
//
// A Table belongs to one goroutine, holds no lock and reads no clock.
package once
