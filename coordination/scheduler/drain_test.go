package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/state/rows"
	"github.com/medlargrade/medlargrade/state/rows/rowstest"
)

// Guards against a graceful stop that loses the answer of a recorded job: its
// caller has the answer, but the row says that the job still runs, and the target
// that keeps the answer may stop as well.
func TestDrainWaitsForRows(t *testing.T) {
	tests := []struct {
		name    string
		down    time.Duration // outage of the store at the end of the job
		drain   time.Duration
		drained bool
		state   rows.JobState
	}{
		{name: "slow store", drain: time.Minute, drained: true, state: rows.JobRan},
		{name: "outage that ends", down: 20 * time.Second, drain: time.Minute, drained: true, state: rows.JobRan},
		{name: "outage beyond the drain time", down: 2 * time.Minute, drain: time.Minute, state: rows.JobQueued},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := rowstest.New()
				s := New(Settings{Entry: "e1"}, Peers{Store: store, Config: &fixedConfig{}}, zerolog.Nop(), metrics.NewSet())
				j, err := s.newJob(spec{request: Request{Workspace: "ws", Key: "k"}}, true)
				qt.Assert(t, err, qt.IsNil)
				_, mine, err := s.rec.claim(t.Context(), "ws", "k", j.Record())
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, mine, qt.IsTrue)
				store.SetWriteFate(func([]rows.Write) rowstest.Fate { return rowstest.Fate{Delay: 500 * time.Millisecond} })
				if tt.down > 0 {
					store.SetDown(true)
					time.AfterFunc(tt.down, func() { store.SetDown(false) })
				}

				r := &run{s: s, job: j, recorded: true, tokens: []string{j.Record().Token}}
				r.finish(outcome.Ran{Answer: outcome.Answer{Parts: [][]byte{[]byte("1")}}})
				ctx, cancel := context.WithTimeout(t.Context(), tt.drain)
				defer cancel()
				qt.Check(t, s.Drain(ctx) == nil, qt.Equals, tt.drained)
				s.Close()
				store.SetDown(false)
				row, err := s.rec.read(t.Context(), "ws", "k")
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, row.State, qt.Equals, tt.state)
				time.Sleep(tt.down) // lets the outage's timer end
			})
		})
	}
}
