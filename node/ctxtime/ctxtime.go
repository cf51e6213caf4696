// Package ctxtime provides waits that end early when a context ends.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for the duration or until the context ends, and reports whether the duration has passed.
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
