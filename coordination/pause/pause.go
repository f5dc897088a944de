// Package pause waits for a time that the end of a context, or news, cuts short.
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

// For waits for a time and reports whether it has passed before ctx ended.
func For(ctx context.Context, d time.Duration) bool { return Until(ctx, nil, d) }

// Until waits for a time or until wake can be received from. It reports whether ctx
// did not end the wait. A nil wake never does.
func Until(ctx context.Context, wake <-chan struct{}, d time.Duration) bool {
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
