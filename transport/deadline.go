package transport

import (
	"context"
	"time"
)

// withDeadline returns a context with the deadline, or without one if it is
// zero.
func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}
