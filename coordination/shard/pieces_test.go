package shard_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

// Guards against jobs that never start because the orders of one pass for one worker are larger than
// a message between processes may be: they were not sent, and repeated together each second.
func TestOrdersOfOnePassAreSentInPieces(t *testing.T) {
	tests := []struct {
		name    string
		jobs    int
		tasks   int // of each job
		payload int // bytes of each task's payload
	}{
		{name: "one piece", jobs: 1, tasks: 10, payload: 100},
		{name: "just above the limit of a message", jobs: 11, tasks: 200, payload: 3990},
		{name: "review/9", jobs: 13, tasks: 200, payload: 3990},
		{name: "many orders without a payload", jobs: 8, tasks: 400},
		{name: "large payloads", jobs: 200, tasks: 1, payload: 60_000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runSite(t, 1, func(s *testSite) {
				for i := range tt.jobs {
					j := job.Job{
						ID: fmt.Sprintf("j%d", i), Kind: "long", Workspace: "w1", Pool: "pool", Payload: strings.Repeat("x", tt.payload),
						Steps: []job.Step{{Tasks: tt.tasks, CPU: 1, EstimateMillis: 3000}},
					}
					_, err := s.store.Commit(s.c.Context(), table.Tx{Part: part}.WithWrite(job.TableJobs, j.ID, j.Encode()))
					s.c.Assert(err, qt.IsNil)
				}
				s.startProcess("a", s.store)
				time.Sleep(10 * time.Second)
				s.c.Check(s.startsExcept(nil), qt.Equals, tt.jobs*tt.tasks)
				s.targets["a"].view(func(a *fakeAgent) { s.c.Check(a.running, qt.HasLen, tt.jobs*tt.tasks) })
			})
		})
	}
}
