// Package ctxtime waits for times that a context may cut short.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for a time or until the context ends, and reports whether the time has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
