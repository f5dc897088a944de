package overview_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/evacuation"
	"github.com/medlargrade/medlargrade/coordination/overview"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
	"github.com/medlargrade/medlargrade/state/table/tabletest"
)

const part = "p"

// siteStore returns a store with an owner, two targets, of which one is silent, and three jobs:
// one that runs, one that waits and one that has ended.
func siteStore(t *testing.T) *tabletest.Store {
	s := tabletest.New()
	put(t, s, "Shard", "Owner", `{"Name": "t1", "Address": "10.0.0.1:7000", "Epoch": 3, "BeatMillis": 0, "Silent": {"t2": 5}, "New": {}}`)
	put(t, s, "Targets", "t1", `{"Address": "10.0.0.1:7000"}`)
	put(t, s, "Targets", "t2", `{"Address": "10.0.0.2:7000"}`)
	for _, id := range []string{"runs", "waits", "ended"} {
		j := job.Job{ID: id, Workspace: "w1", Kind: "k", Steps: []job.Step{{Tasks: 2, Accelerators: 4}}}
		put(t, s, job.TableJobs, id, string(j.Encode()))
	}
	put(t, s, job.TableJobs, job.CancelKey("ended"), "")
	place := job.Incarnation{Target: "t2", Worker: "i-1", Born: 5}
	put(t, s, job.TableProgress, job.ProgressKey("runs", 0), string(job.Progress{Job: "runs", State: job.Running, Begun: true, Steps: []job.StepProgress{{Tasks: []job.Task{
		{LastRun: 3, Active: []job.Run{{Number: 3, Place: place}}, Failures: 2, Crashes: []job.Crash{{Worker: "i-0", Born: 1, AfterMillis: 10}}}, {LastRun: 1, Done: true},
	}}}}.Encode()))
	put(t, s, job.TableProgress, job.ProgressKey("ended", 0), string(job.Progress{Job: "ended", State: job.Cancelled}.Encode()))
	return s
}

func put(t *testing.T, s *tabletest.Store, name, key, value string) {
	t.Helper()
	_, err := s.Commit(t.Context(), table.Tx{Part: part}.WithWrite(name, key, []byte(value)))
	qt.Assert(t, err, qt.IsNil)
}

func snapshot() *configuration.Snapshot {
	return configuration.NewSnapshot(7, operator.NewConfig(operator.NewSite("s")).
		WithWorkspace(operator.NewWorkspace("w1").WithExtraGuaranteedAccelerators(8)).WithWorkspace(operator.NewWorkspace("idle"))).
		WithEvacuations(evacuation.NewSet(evacuation.Request{DataCentre: "dc2", Reason: "power"}))
}

// wantSite is the overview of siteStore but for the age of the owner's row.
func wantSite() overview.Overview {
	return overview.Overview{
		ConfigVersion: 7, Ended: 1, Evacuated: []evacuation.Request{{DataCentre: "dc2", Reason: "power"}},
		Planner:    overview.Planner{Name: "t1", Address: "10.0.0.1:7000", Epoch: 3},
		Targets:    []overview.Target{{Name: "t1", Address: "10.0.0.1:7000"}, {Name: "t2", Address: "10.0.0.2:7000", Silent: true, Runs: 1}},
		Workspaces: []overview.Workspace{{Name: "idle"}, {Name: "w1", Guaranteed: 8, InUse: 4, Waiting: 1}},
		Jobs: []overview.Job{
			{ID: "runs", Workspace: "w1", Kind: "k", State: job.Running, Tasks: 2, Done: 1, Running: 1, Accelerators: 4, Failures: 2, Crashes: 1},
			{ID: "waits", Workspace: "w1", Kind: "k", State: job.Queued, Tasks: 2},
		},
	}
}

// Guards against parts of the site that the overview leaves out or counts wrongly.
func TestRead(t *testing.T) {
	o, err := overview.Read(t.Context(), siteStore(t), part, snapshot())
	qt.Assert(t, err, qt.IsNil)
	age, err := time.ParseDuration(o.Planner.Age)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, age >= 0 && age < time.Minute, qt.IsTrue, qt.Commentf("age %v", age))
	o.Planner.Age = ""
	qt.Check(t, o, qt.DeepEquals, wantSite())
}

// Guards against an empty site that can't be shown.
func TestReadEmptySite(t *testing.T) {
	o, err := overview.Read(t.Context(), tabletest.New(), part, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, o, qt.DeepEquals, overview.Overview{})
}

// Guards against a row of another writer that hides the whole site from operators.
func TestReadWithMalformedRows(t *testing.T) {
	s := siteStore(t)
	put(t, s, "Targets", "t3", `{"Address": 7}`)
	put(t, s, job.TableJobs, "bad", `<job>`)
	put(t, s, job.TableProgress, job.ProgressKey("bad", 0), `[]`)
	o, err := overview.Read(t.Context(), s, part, snapshot())
	qt.Assert(t, err, qt.IsNil)
	o.Planner.Age = ""
	want := wantSite()
	want.Malformed = []string{"Jobs/bad", "Progress/bad/0", "Targets/t3"}
	qt.Check(t, o, qt.DeepEquals, want)

	put(t, s, "Shard", "Owner", `"t1"`)
	o, err = overview.Read(t.Context(), s, part, snapshot())
	qt.Assert(t, err, qt.IsNil)
	want.Planner, want.Malformed = overview.Planner{}, append(want.Malformed[:2:2], "Shard/Owner", "Targets/t3")
	want.Targets[1].Silent = false // the owner's row names the silent targets
	qt.Check(t, o, qt.DeepEquals, want)
}

// Guards against an overview of a part of the site without an error.
func TestReadWithoutStore(t *testing.T) {
	s := siteStore(t)
	s.SetDown(true)
	_, err := overview.Read(t.Context(), s, part, snapshot())
	qt.Check(t, err, qt.ErrorMatches, "read the progress of the jobs: .*")
}
