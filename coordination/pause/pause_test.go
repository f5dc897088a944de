package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a wait that continues after its context is done or its wake channel
// is closed, and against a result that does not tell whether the context ended it.
func TestForOrWake(t *testing.T) {
	tests := []struct {
		name   string
		end    time.Duration // of the context; 0 for never
		wake   time.Duration // 0 for never
		want   bool
		waited time.Duration
	}{
		{name: "time", want: true, waited: time.Second},
		{name: "context", end: 300 * time.Millisecond, want: false, waited: 300 * time.Millisecond},
		{name: "wake", wake: 200 * time.Millisecond, want: true, waited: 200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if tt.end > 0 {
					time.AfterFunc(tt.end, cancel)
				}
				var wake chan struct{}
				if tt.wake > 0 {
					wake = make(chan struct{})
					time.AfterFunc(tt.wake, func() { close(wake) })
				}
				begin := time.Now()
				qt.Check(t, ForOrWake(ctx, wake, time.Second), qt.Equals, tt.want)
				qt.Check(t, time.Since(begin), qt.Equals, tt.waited)
			})
		})
	}
}
