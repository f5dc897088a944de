package soak

import (
	"context"
	"math/rand/v2"
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

// regressions are the seeds of runs that have failed, each with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

func faultsOfSeed(seed uint64) []fault {
	return drawFaults(rand.New(rand.NewPCG(seed, 0)), DefaultLength) //nolint:gosec // reproducible draws
}

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
	r, err := Run(t.Context(), Config{
		Binary: binary, Dir: t.TempDir(), Seed: seed, Length: length, Finish: DefaultFinish,
		Entries: DefaultEntries, Targets: DefaultTargets, Callers: DefaultCallers,
	})
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
