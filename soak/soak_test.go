package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Length and seed of the run in CI.
const (
	shortLength = 12 * time.Second
	shortSeed   = 7
)

// Length and callers of the runs in CI in which the planner is cut off. There are twice as many
// callers as usual, so that its worker has runs in most cases.
const (
	plannerCutLength  = 18 * time.Second
	plannerCutCallers = 2 * DefaultCallers
)

// Lengths, seeds and callers of the runs in CI with restarts of workers, and with many ends.
const (
	restartLength   = 20 * time.Second
	restartSeed     = 300
	manyEndsSeed    = 200
	manyEndsCallers = 3
)

// regressions are the seeds of runs that have failed, each with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// buildBinary builds the medlargrade binary and returns its path.
func buildBinary(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "medlargrade")
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
	defer cancel()
	out, err := exec.CommandContext(ctx, "go", "build", "-o", path, "../cmd/medlargrade").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return path
}

func runSeed(t *testing.T, binary string, seed uint64, length time.Duration) {
	t.Helper()
	runConfig(t, Config{Binary: binary, Seed: seed, Length: length, Callers: DefaultCallers})
}

// runConfig makes a run with the number of processes and the time for unfinished jobs that are the
// default.
func runConfig(t *testing.T, cfg Config) {
	t.Helper()
	cfg.Dir, cfg.Finish, cfg.Entries, cfg.Targets = t.TempDir(), DefaultFinish, DefaultEntries, DefaultTargets
	r, err := Run(t.Context(), cfg)
	qt.Assert(t, err, qt.IsNil)
	t.Log(r)
	qt.Check(t, r.Violations, qt.HasLen, 0, qt.Commentf("faults: %v", r.Faults))
	qt.Check(t, r.Accepted > 0 && r.Runs > 0, qt.IsTrue)
}

// Guards against promises that hold in the fault matrix, which runs in one process in a
// synctest bubble, but not between separate processes.
func TestShortRun(t *testing.T) {
	runSeed(t, buildBinary(t), shortSeed, shortLength)
}

// Guards against tasks that are done again after their planner was cut off from all other processes,
// while it went on beside its worker or was restarted there.
func TestPlannerIsCutOff(t *testing.T) {
	tests := []struct {
		name string
		seed uint64
	}{
		{name: "its address refuses connections, and it counts as ended", seed: 4},
		{name: "its next process does not know which of its calls may have extended leases", seed: 701},
	}
	binary := buildBinary(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runConfig(t, Config{Binary: binary, Seed: tt.seed, Length: plannerCutLength, Callers: plannerCutCallers, PlannerCuts: true})
		})
	}
}

// Guards against tasks that are done again, or run without the label that they require, because a worker
// starts again under its ID behind a cut and carries out calls for its former incarnation.
func TestWorkersStartAgainBehindCuts(t *testing.T) {
	runConfig(t, Config{Binary: buildBinary(t), Seed: restartSeed, Length: restartLength, Callers: 2 * DefaultCallers, WorkerRestarts: true})
}

// Guards against tasks that are done again because their ends are not in the first list that a new
// planner gets: the worker has more of them than it lists at a time.
func TestPlannerChangesBesideManyEnds(t *testing.T) {
	runConfig(t, Config{Binary: buildBinary(t), Seed: manyEndsSeed, Length: DefaultLength, Callers: manyEndsCallers, ManyEnds: true})
}

// Guards against failures that earlier runs found. Only the newest regression runs
// unless SOAK_REGRESSIONS is true.
func TestRegressions(t *testing.T) {
	list := regressions
	if all, _ := strconv.ParseBool(os.Getenv("SOAK_REGRESSIONS")); !all && len(list) > 1 {
		list = list[len(list)-1:]
	}
	if len(list) == 0 {
		return
	}
	binary := buildBinary(t)
	for _, x := range list {
		t.Run(strconv.FormatUint(x.seed, 10), func(t *testing.T) {
			t.Log(x.cause)
			runSeed(t, binary, x.seed, DefaultLength)
		})
	}
}
