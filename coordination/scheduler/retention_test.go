package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/rows"
	"github.com/medlargrade/medlargrade/state/rows/rowstest"
)

// Guards against rows that stay forever, and against an idempotency key that is
// forgotten early because its job was started again or its janitor is new.
func TestJanitor(t *testing.T) {
	tests := []struct {
		name    string
		restart bool // after half of the retention
		again   bool // the job is started again after half of the retention
		age     time.Duration
		left    bool
	}{
		{name: "young", age: keyRetention - time.Hour, left: true},
		{name: "old", age: keyRetention + time.Hour, left: false},
		{name: "old but the entry was restarted", restart: true, age: keyRetention + time.Hour, left: true},
		{name: "old after a restart", restart: true, age: 2 * keyRetention, left: false},
		{name: "old but started again", again: true, age: keyRetention + time.Hour, left: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := t.Context()
				store := rowstest.New()
				r := &recorder{store: store, entry: "e1"}
				job := testJob("j")
				_, _, err := r.claim(ctx, "ws", "k", job)
				qt.Assert(t, err, qt.IsNil)
				final := job
				final.Token, final.State = rows.NewToken(), rows.JobRan
				mark, err := r.endedWrite(ctx, "ws", "k", final.Token)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, r.replace(ctx, "ws", "k", []string{job.Token}, final, mark), qt.IsNil)

				j := newJanitor(store)
				for end := time.Now().Add(tt.age); time.Now().Before(end); time.Sleep(time.Hour) {
					_, err := j.sweep(ctx)
					qt.Assert(t, err, qt.IsNil)
					if time.Until(end) != tt.age-keyRetention/2 {
						continue
					}
					if tt.restart {
						j = newJanitor(store)
					}
					if tt.again {
						next := job
						next.Token = rows.NewToken()
						qt.Assert(t, r.replace(ctx, "ws", "k", []string{final.Token}, next), qt.IsNil)
					}
				}
				_, err = j.sweep(ctx)
				qt.Assert(t, err, qt.IsNil)
				_, err = r.read(ctx, "ws", "k")
				qt.Assert(t, err == nil, qt.Equals, tt.left, qt.Commentf("%v", err))
			})
		})
	}
}
