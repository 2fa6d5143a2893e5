// Package clock holds waits that end with a context.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether it passed; false means that ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
