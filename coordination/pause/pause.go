// Package pause provides waits that end early when a context is done or a channel
// can be received from.
//
// # Usage
//
//	for !done() {
//		if !pause.For(ctx, 200*time.Millisecond) {
//			return ctx.Err()
//		}
//	}
package pause

import (
	"context"
	"time"
)

// For waits for d. It returns false if ctx is done first.
func For(ctx context.Context, d time.Duration) bool { return ForOrWake(ctx, nil, d) }

// ForOrWake waits for d or until wake can be received from. It returns false if ctx
// is done first. A nil wake does not end the wait.
func ForOrWake(ctx context.Context, wake <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wake:
	case <-t.C:
	}
	return true
}
