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

// Seed, length and callers of the run in CI in which the planner is cut off. There are twice as many
// callers as usual, so that its worker has runs in most cases.
const (
	plannerCutSeed    = 4
	plannerCutLength  = 18 * time.Second
	plannerCutCallers = 2 * DefaultCallers
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

// Guards against a planner that is taken for ended because its address refuses connections, while it
// goes on beside its worker and extends the leases there: tasks that are done are done again.
func TestPlannerIsCutOff(t *testing.T) {
	runConfig(t, Config{Binary: buildBinary(t), Seed: plannerCutSeed, Length: plannerCutLength, Callers: plannerCutCallers, PlannerCuts: true})
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
