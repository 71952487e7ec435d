// Package wait provides sleeps that end with a context.
package wait

import (
	"context"
	"time"
)

// For waits until d has passed or ctx ends. It reports whether d has passed.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Until waits until the given time or until ctx ends. It reports whether the time was reached.
func Until(ctx context.Context, at time.Time) bool { return For(ctx, time.Until(at)) }
