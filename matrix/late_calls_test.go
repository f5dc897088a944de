package matrix

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/standin/worker"
)

// lateCalls is a target that is isolated, or whose worker is, after calls to the worker got no answer;
// they extend the lease when they are carried out later.
type lateCalls struct {
	name       string
	ofPlanner  bool // the target's process plans; it is cut off from the store, too
	workerOnly bool // only the worker is cut off, from its target's process
	// The times count from the isolation; 0 is for never.
	restartAt      time.Duration // of the target's process
	plannerChanges time.Duration // when the process that plans is killed, unless it is that of the target
}

// Guards against a task that was done and is done again, because a process that does not know that
// a lease was extended acknowledges the end. If the process that sent the calls is restarted, its
// successor knows nothing of them, and a new planner knows nothing of the runs that the former one has
// given up.
func TestLateCallsOfIsolatedTarget(t *testing.T) {
	onlyFirstShard(t)
	tests := []lateCalls{
		{name: "the process lives on"},
		{name: "the process is restarted", restartAt: 4 * time.Second},
		{name: "the process is restarted at the end of the isolation", restartAt: isolation},
		{name: "the process is restarted, the planner changes before the runs are given up", restartAt: 4 * time.Second, plannerChanges: 6 * time.Second},
		{name: "the process is restarted, the planner changes afterwards", restartAt: 4 * time.Second, plannerChanges: 13500 * time.Millisecond},
		{name: "the process of the planner lives on", ofPlanner: true},
		{name: "the process of the planner is restarted", ofPlanner: true, restartAt: 4 * time.Second},
		{name: "the process of the planner is restarted, the planner changes again", ofPlanner: true, restartAt: 4 * time.Second, plannerChanges: 16 * time.Second},
		{name: "only the worker is cut off", workerOnly: true},
		{name: "only the worker is cut off, the planner changes", workerOnly: true, plannerChanges: 16 * time.Second},
		{name: "only the worker is cut off, the process is restarted", workerOnly: true, restartAt: 4 * time.Second},
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
				s.wg.Go(func() { tt.play(s, p) })
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

// lateTime is how long calls to the worker are late, from the isolation on.
const lateTime = 3 * time.Second

// acknowledgement is the time after the isolation within which the worker's ends are acknowledged,
// after its lease has lapsed.
const acknowledgement = 13 * time.Second

// play isolates a target, and makes calls to its worker late that are sent in the first seconds.
func (c lateCalls) play(s *Site, p *proc) {
	s.hist.update((*history).beginFault)
	defer s.hist.update((*history).endFault)
	w := s.workerOfTarget(p)
	s.markAffected(workerHostOf(p.host), p.host)
	var heal []func()
	if !c.workerOnly {
		heal = append(heal, s.isolate(p))
	}
	if c.ofPlanner {
		heal = append(heal, s.cut(p.host, platformHost), s.cut(platformHost, p.host))
	}
	w.SetFaults(worker.Faults{LateShare: 1, LateMillis: 8000, LateMaxMillis: 9000, LateHolds: true, LeaseFromArrival: true})
	after := func(d time.Duration, f func()) {
		if d > 0 {
			time.AfterFunc(d, f)
		}
	}
	after(lateTime, func() {
		w.SetFaults(worker.Faults{})
		if c.workerOnly {
			s.net.Cut(p.host, workerHostOf(p.host))
			s.net.Cut(workerHostOf(p.host), p.host)
		}
	})
	after(c.restartAt, func() { s.kill(p, false) })
	after(c.restartAt+500*time.Millisecond, func() {
		if c.restartAt > 0 {
			s.restart(p)
		}
	})
	after(c.plannerChanges, func() {
		if q := s.planner(); q != p {
			s.markAffected(q.host)
			s.replace(q)
		}
	})
	time.Sleep(isolation)
	for _, f := range heal {
		f()
	}
	s.net.Heal(p.host, workerHostOf(p.host))
	s.net.Heal(workerHostOf(p.host), p.host)
	time.Sleep(acknowledgement)
}
