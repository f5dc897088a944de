package matrix

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/standin/worker"
)

// restartBehindCut is a worker that starts again under its ID while it is cut off from its target. The
// times count from the start of the cut.
type restartBehindCut struct {
	name      string
	runTime   time.Duration // of the tasks that are ordered behind the cut
	restartAt time.Duration
	healAt    time.Duration
	ofPlanner bool // the target's process plans
	// The target's process is killed and started again, or the process that plans is, after the cut;
	// 0 is for neither.
	targetRestartsAt, plannerChangesAt time.Duration
}

// Guards against calls for one incarnation of a worker that the next one under the same ID carries
// out. A start runs a task there that no planner expects, and a hold with the number of an end of the
// former incarnation discards an end that nobody has seen, so that the task is done again.
func TestWorkerStartsAgainBehindCut(t *testing.T) {
	tests := []restartBehindCut{
		{name: "short tasks", runTime: 300 * time.Millisecond, restartAt: 200 * time.Millisecond, healAt: 400 * time.Millisecond},
		{name: "tasks that last until the heartbeat", runTime: 2 * time.Second, restartAt: 200 * time.Millisecond, healAt: 400 * time.Millisecond},
		{name: "a longer cut", runTime: 300 * time.Millisecond, restartAt: 600 * time.Millisecond, healAt: 900 * time.Millisecond},
		{name: "a cut longer than two attempts", runTime: 300 * time.Millisecond, restartAt: 600 * time.Millisecond, healAt: 2700 * time.Millisecond},
		{name: "restart just before the end of the cut", runTime: 300 * time.Millisecond, restartAt: 390 * time.Millisecond, healAt: 400 * time.Millisecond},
		{name: "worker of the planner", runTime: 300 * time.Millisecond, restartAt: 200 * time.Millisecond, healAt: 400 * time.Millisecond, ofPlanner: true},
		{
			name: "the target's process is restarted", runTime: 300 * time.Millisecond, restartAt: 200 * time.Millisecond,
			healAt: 400 * time.Millisecond, targetRestartsAt: 900 * time.Millisecond,
		},
		{
			name: "the planner changes", runTime: 300 * time.Millisecond, restartAt: 200 * time.Millisecond,
			healAt: 400 * time.Millisecond, plannerChangesAt: 900 * time.Millisecond,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if !inShardOf(t.Name()) {
				return
			}
			var incarnation string   // the next one of the worker
			var reportedAt time.Time // its first heartbeat did not arrive earlier
			sc := scenario{
				prepare: func(s *Site) {
					// Each worker lists ends that are acknowledged.
					for round := range 3 {
						for i := range targetCount {
							s.startRequest(planRequest(fmt.Sprintf("before-%d-%d", round, i), 1, slotCount, 200*time.Millisecond))
						}
						time.Sleep(time.Second)
					}
				},
				start: func(s *Site) { s.wg.Go(func() { incarnation, reportedAt = tt.play(s) }) },
			}
			h, _ := runScenario(t, sc, func(*Site) []*trigger { return nil })
			found := violations(h)
			for _, x := range h.executions {
				if x.Incarnation == incarnation && x.Start.Before(reportedAt) {
					found = append(found, fmt.Sprintf("%s run %d was started on %s before that incarnation was reported", x.TaskID, x.Run, x.Incarnation))
				}
			}
			qt.Check(t, found, qt.HasLen, 0, qt.Commentf("%s\n%s", h.log, h.trace()))
		})
	}
}

// cutWorker cuts the worker of a target off from its process. If it starts again before healWorker, its
// first heartbeat fails, so that it answers calls for a while before the agent knows of it.
func (s *Site) cutWorker(p *proc) {
	s.net.CutBoth(p.host, workerHostOf(p.host))
	s.net.SetRefuse(workerHostOf(p.host), p.host, true)
}

func (s *Site) healWorker(p *proc) {
	s.net.Reset(p.host, workerHostOf(p.host))
	s.net.SetRefuse(workerHostOf(p.host), p.host, false)
	s.net.HealBoth(p.host, workerHostOf(p.host))
}

// play restarts the worker and returns its next incarnation and the earliest time at which a heartbeat
// of that can have arrived.
func (c restartBehindCut) play(s *Site) (incarnation string, reportedAt time.Time) {
	s.hist.update((*history).beginFault)
	defer s.hist.update((*history).endFault)
	planner := s.planner()
	p := planner
	if !c.ofPlanner {
		p = s.targets[(slices.Index(s.targets, planner)+1)%len(s.targets)]
	}
	w := s.workerOfTarget(p)
	s.markAffected(workerHostOf(p.host), p.host)
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	s.cutWorker(p)
	at(100 * time.Millisecond)
	for i := range targetCount {
		s.startRequest(planRequest(fmt.Sprintf("behind-%d", i), 1, slotCount, c.runTime))
	}
	at(c.restartAt)
	w.Restart(false)
	incarnation, reportedAt = incarnationID(w.Incarnation()), time.Now().Add(worker.DefaultHeartbeatInterval)
	at(c.healAt)
	s.healWorker(p)
	if c.targetRestartsAt > 0 {
		at(c.targetRestartsAt)
		s.replace(p)
	}
	if c.plannerChangesAt > 0 {
		at(c.plannerChangesAt)
		s.markAffected(planner.host)
		s.replace(planner)
	}
	return incarnation, reportedAt
}
