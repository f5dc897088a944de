package table

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an estimate of the store's clock that runs ahead of it for good, because the local
// clock is faster: rows would count as older than they are, and a silent planner as alive for longer.
func TestClock(t *testing.T) {
	type reply struct {
		after     time.Duration // since the reply before
		duration  time.Duration // of the call
		storeTime time.Duration
	}
	first := reply{storeTime: 10 * time.Second}
	tests := []struct {
		name    string
		replies []reply
		want    time.Duration // the estimate when the last of them arrives
	}{
		{"first reply", []reply{first}, 10 * time.Second},
		{"slower reply", []reply{first, {time.Second, 500 * time.Millisecond, 11200 * time.Millisecond}}, 11500 * time.Millisecond},
		{"the first reply was slower", []reply{first, {time.Second, 0, 12 * time.Second}}, 12 * time.Second},
		{"the local clock has gained time", []reply{first, {time.Hour, 10 * time.Millisecond, time.Hour + 9*time.Second}}, time.Hour + 9*time.Second},
		{"the local clock has lost time", []reply{first, {time.Hour, 10 * time.Millisecond, time.Hour + 11*time.Second}}, time.Hour + 11*time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &Clock{}
				_, ok := c.Now()
				qt.Check(t, ok, qt.IsFalse)
				for _, r := range tt.replies {
					time.Sleep(r.after)
					sent := time.Now()
					time.Sleep(r.duration)
					c.Observe(r.storeTime, sent)
				}
				got, ok := c.Now()
				qt.Check(t, ok, qt.IsTrue)
				qt.Check(t, got, qt.Equals, tt.want)
			})
		})
	}
}
