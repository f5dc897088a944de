package matrix

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/standin/worker"
)

// Guards against a task that was done and is done again, because a process that does not know that
// a lease was extended acknowledges the end: a target is isolated, calls to its worker get no answer
// and extend the lease when they are carried out later, and the process that sent them is restarted
// meanwhile. Its successor knows nothing of them, and a new planner knows nothing of the runs that
// the former one has given up.
func TestTargetRestartsWhileIsolated(t *testing.T) {
	onlyFirstShard(t)
	tests := []struct {
		name           string
		ofPlanner      bool // the target's process plans; it is cut off from the store, too
		restart        bool
		restartAt      time.Duration // after the isolation, as the next times
		plannerChanges time.Duration // when the planner is killed; 0 for never
	}{
		{name: "the process lives on"},
		{name: "the process is restarted", restart: true, restartAt: 4 * time.Second},
		{name: "the process is restarted at the end of the isolation", restart: true, restartAt: isolation},
		{name: "the process is restarted, the planner changes before the runs are given up", restart: true, restartAt: 4 * time.Second, plannerChanges: 6 * time.Second},
		{name: "the process is restarted, the planner changes afterwards", restart: true, restartAt: 4 * time.Second, plannerChanges: 13500 * time.Millisecond},
		{name: "the process of the planner lives on", ofPlanner: true},
		{name: "the process of the planner is restarted", ofPlanner: true, restart: true, restartAt: 4 * time.Second},
		{name: "the process of the planner is restarted, the planner changes again", ofPlanner: true, restart: true, restartAt: 4 * time.Second, plannerChanges: 16 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sc := scenario{start: func(s *Site) {
				p := s.planner()
				if !tt.ofPlanner {
					p = s.targets[(slices.Index(s.targets, p)+1)%len(s.targets)]
				}
				// One task on each target, so that one is on p.
				for _, label := range []string{"a", "b", "c", "d"} {
					s.startRequest(planRequest(label, 1, slotCount, isolation/2))
				}
				time.Sleep(time.Second)
				s.wg.Go(func() { isolateAndRestart(s, p, tt.ofPlanner, tt.restart, tt.restartAt, tt.plannerChanges) })
			}}
			h, _ := runScenario(t, sc, func(*Site) []*trigger { return nil })
			qt.Check(t, violations(h), qt.HasLen, 0, qt.Commentf("%s\n%s", h.log, h.trace()))
			qt.Check(t, slices.ContainsFunc(h.executions, func(x execution) bool { return x.Run > 1 }), qt.IsTrue, qt.Commentf("no task was started elsewhere"))
		})
	}
}

// isolation is how long the target is isolated: until after its runs are given up, and before the
// lease lapses that a late call has extended.
const isolation = 17 * time.Second

// acknowledgement is the time after the isolation within which the worker's ends are acknowledged,
// after its lease has lapsed.
const acknowledgement = 13 * time.Second

// isolateAndRestart isolates a target, and makes calls to its worker late that are sent in the first
// seconds. It restarts the target's process, and kills the planner.
func isolateAndRestart(s *Site, p *proc, cutOffFromStore, restart bool, restartAt, plannerChanges time.Duration) {
	s.hist.update((*history).beginFault)
	defer s.hist.update((*history).endFault)
	w := s.workerOfTarget(p)
	s.markAffected(workerHostOf(p.host), p.host)
	heal := s.isolate(p)
	if cutOffFromStore {
		out, in := s.cut(p.host, platformHost), s.cut(platformHost, p.host)
		healOthers := heal
		heal = func() { healOthers(); out(); in() }
	}
	w.SetFaults(worker.Faults{LateShare: 1, LateMillis: 8000, LateMaxMillis: 9000, LateHolds: true, LeaseFromArrival: true})
	go func() {
		time.Sleep(3 * time.Second)
		w.SetFaults(worker.Faults{})
	}()
	if restart {
		go func() {
			time.Sleep(restartAt)
			s.kill(p, false)
			time.Sleep(500 * time.Millisecond)
			s.restart(p)
		}()
	}
	if plannerChanges > 0 {
		go func() {
			time.Sleep(plannerChanges)
			if q := s.planner(); q != p {
				s.markAffected(q.host)
				s.replace(q)
			}
		}()
	}
	time.Sleep(isolation)
	heal()
	time.Sleep(acknowledgement)
}
