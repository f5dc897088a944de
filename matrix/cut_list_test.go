package matrix

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/standin/caller"
	"github.com/medlargrade/medlargrade/standin/worker"
	"github.com/medlargrade/medlargrade/state/job"
)

// taskQueue is the route of kind tasks.
var taskQueue = caller.Queue{Host: "matrix.example", Prefix: "/tasks/"}

// onlyLabel is the label that one worker has.
const onlyLabel = "b"

// labelWorker starts the worker of a target again as the only one with onlyLabel, and waits until the
// planner knows it.
func (s *Site) labelWorker(p *proc) *worker.Worker {
	w := s.workerOfTarget(p)
	w.SetHardwareType(onlyLabel)
	w.Restart(true)
	time.Sleep(2 * worker.DefaultHeartbeatInterval)
	return w
}

// submitTasks submits a job by its route to the second entry, and repeats that until it is accepted.
func (s *Site) submitTasks(j caller.Job) {
	client := s.net.Host(callerHost).HTTPClient()
	defer client.CloseIdleConnections()
	api := caller.New(client.Transport)
	for range 10 {
		ctx, cancel := context.WithTimeout(s.t.Context(), 3*time.Second)
		resp, err := api.Submit(ctx, entryHost(1)+":4", taskQueue, j)
		cancel()
		if err == nil && resp.OK() {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	s.t.Errorf("job %s was not accepted", j.ID)
}

// taskState returns the state of a job at the second entry.
func (s *Site) taskState(id string) string {
	client := s.net.Host(callerHost).HTTPClient()
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(s.t.Context(), 3*time.Second)
	defer cancel()
	resp, err := caller.New(client.Transport).State(ctx, entryHost(1)+":4", taskQueue, id)
	if err != nil {
		return err.Error()
	}
	return resp.State
}

// Guards against tasks that are done again because a worker has more ends than it lists at a time when
// the planner changes. The new planner does not know whether a run that the list lacks was started.
func TestPlannerChangesBesideManyEnds(t *testing.T) {
	const (
		jobs, tasks = 4, 200
		runTime     = 8 * time.Second
		// settled is longer than a former process of a target may keep leases alive.
		settled = 25 * time.Second
	)
	tests := []struct {
		name       string
		beside     bool          // the process beside the worker plans
		killBefore time.Duration // how long before the ends the planner is killed
		silent     bool          // its connections hang
		restart    bool          // the process beside the worker is restarted, too
	}{
		{name: "killed 300 ms before the ends", killBefore: 300 * time.Millisecond},
		{name: "killed just before the ends", killBefore: time.Millisecond},
		{name: "killed after the ends", killBefore: -50 * time.Millisecond},
		{name: "its connections hang", killBefore: 300 * time.Millisecond, silent: true},
		{name: "the planner is beside the worker", killBefore: 300 * time.Millisecond, beside: true},
		{name: "the process beside the worker is restarted, too", killBefore: 300 * time.Millisecond, restart: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if !inShardOf(t.Name()) {
				return
			}
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t)
				defer s.close()
				planner := s.planner()
				p := planner
				if !tt.beside {
					p = s.targets[(slices.Index(s.targets, planner)+1)%len(s.targets)]
				}
				w := s.labelWorker(p)
				time.Sleep(settled)
				id := func(i int) string { return fmt.Sprintf("%016x", 0xc0+i) }
				for i := range jobs {
					s.submitTasks(caller.Job{ID: id(i), Payload: fmt.Sprintf(`{"RunMillis": %d}`, runTime.Milliseconds()), Steps: []caller.Step{
						{Tasks: tasks, CPU: 100, MemoryMB: 50, EstimateMillis: runTime.Milliseconds(), Label: onlyLabel},
					}})
				}
				for len(w.RunningTasks()) < jobs*tasks {
					time.Sleep(10 * time.Millisecond)
				}
				firstEnd := s.workerSite.Records()[0].Arrived.Add(runTime)
				time.Sleep(time.Until(firstEnd.Add(-tt.killBefore)))
				s.kill(planner, tt.silent)
				if tt.restart {
					s.replace(p)
				}
				time.Sleep(500 * time.Millisecond)
				s.restart(planner)
				time.Sleep(40 * time.Second)
				for i := range jobs {
					qt.Check(t, s.taskState(id(i)), qt.Equals, "completed")
				}
				records := s.workerSite.Records()
				noGang := func(job.TaskName) int { return 1 }
				found := worker.CheckOnce(records, noGang, time.Now())
				qt.Check(t, found[:min(len(found), 3)], qt.HasLen, 0, qt.Commentf("%d violations in %d runs", len(found), len(records)))
			})
		})
	}
}

// Guards against a task that runs without the label that its job requires, because its worker starts
// again under its ID as one of another kind while the start is under way.
func TestWorkerStartsAgainWithAnotherLabel(t *testing.T) {
	for _, healAt := range []time.Duration{300 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(healAt.String(), func(t *testing.T) {
			if !inShardOf(t.Name()) {
				return
			}
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t)
				defer s.close()
				p := s.targets[(slices.Index(s.targets, s.planner())+1)%len(s.targets)]
				w := s.labelWorker(p)
				began := time.Now()
				s.cutWorker(p)
				s.submitTasks(caller.Job{ID: "00000000000000b1", Payload: `{"RunMillis": 300}`, Steps: []caller.Step{
					{Tasks: 1, CPU: 100, MemoryMB: 50, EstimateMillis: 300, Label: onlyLabel},
				}})
				time.Sleep(time.Until(began.Add(200 * time.Millisecond)))
				w.SetHardwareType("a")
				w.Restart(false)
				time.Sleep(time.Until(began.Add(healAt)))
				s.healWorker(p)
				time.Sleep(10 * time.Second)
				qt.Check(t, worker.CheckLabels(s.workerSite.Records()), qt.HasLen, 0)
				s.labelWorker(s.targets[0])
				time.Sleep(10 * time.Second)
				qt.Check(t, s.taskState("00000000000000b1"), qt.Equals, "completed")
			})
		})
	}
}
