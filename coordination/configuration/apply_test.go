package configuration

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/table"
	"github.com/medlargrade/medlargrade/state/table/tabletest"
)

// testConfig returns a configuration with queue limit n. It is valid if n is positive.
func testConfig(n int) operator.Config {
	site := operator.NewSite("north").WithDataCentre(operator.NewDataCentre("dc1").WithRack("r1", 3))
	return operator.NewConfig(site).
		WithWorkspace(operator.NewWorkspace("web").WithQueueLimit(n)).
		WithKind(operator.NewKind("web", "render", operator.ClassLong))
}

// Guards against a change that is lost, applied twice or misreported when the answer
// to its conditional write is lost.
func TestApplyOutcomes(t *testing.T) {
	tests := []struct {
		name      string
		results   []tabletest.CommitResult // of the commits in order; the last one repeats
		storeDown bool                     // the store becomes unavailable 1 ms after the first commit
		race      bool                     // another operator's change is committed just before the first commit
		want      string
		accepted  bool
		unknown   bool
	}{
		{name: "acknowledged", results: []tabletest.CommitResult{tabletest.Normal}, accepted: true},
		{name: "lost after the effect", results: []tabletest.CommitResult{tabletest.ReplyLost}, accepted: true},
		{name: "lost before the effect, then repeated", results: []tabletest.CommitResult{tabletest.RequestLost, tabletest.Normal}, accepted: true},
		{name: "lost twice", results: []tabletest.CommitResult{tabletest.RequestLost, tabletest.ReplyLost}, accepted: true},
		{name: "refused", results: []tabletest.CommitResult{tabletest.Rejected}, want: `write configuration store: store unavailable: injected fault`},
		{name: "lost for good", results: []tabletest.CommitResult{tabletest.RequestLost}, unknown: true, want: `change to version 2 may or may not be accepted: .*`},
		{name: "lost, then down", results: []tabletest.CommitResult{tabletest.ReplyLost}, storeDown: true, unknown: true, accepted: true, want: `change to version 2 may or may not be accepted: .*unavailable.*`},
		{name: "race", results: []tabletest.CommitResult{tabletest.Normal}, race: true, want: `configuration is at version 2, expected 1`},
		{name: "race with a lost answer", results: []tabletest.CommitResult{tabletest.RequestLost}, race: true, want: `configuration is at version 2, expected 1`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := t.Context()
				store := tabletest.New()
				_, err := Apply(ctx, store, 0, testConfig(1))
				qt.Assert(t, err, qt.IsNil)
				commits := 0
				store.OnCommit(func(table.Tx) tabletest.CommitResult {
					commits++
					if commits == 1 && tt.race {
						store.OnCommit(nil)
						_, err := Apply(ctx, store, 1, testConfig(3))
						qt.Check(t, err, qt.IsNil)
					}
					if commits == 1 && tt.storeDown {
						time.AfterFunc(time.Millisecond, func() { store.SetDown(true) })
					}
					return tt.results[min(commits, len(tt.results))-1]
				})
				version, err := Apply(ctx, store, 1, testConfig(2))
				store.SetDown(false)
				store.OnCommit(nil)
				if tt.want != "" {
					qt.Assert(t, err, qt.ErrorMatches, tt.want)
				} else {
					qt.Assert(t, err, qt.IsNil)
					qt.Assert(t, version, qt.Equals, uint64(2))
				}
				var unknown *OutcomeUnknownError
				qt.Assert(t, errors.As(err, &unknown), qt.Equals, tt.unknown)
				s, err := Read(ctx, store)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, s.Config.Equal(testConfig(2)), qt.Equals, tt.accepted)
			})
		})
	}
}

// Guards against a rejected change that writes to the store, and against a new
// version for an unchanged configuration.
func TestApplyWritesNothing(t *testing.T) {
	ctx := t.Context()
	store := tabletest.New()
	_, err := Apply(ctx, store, 0, testConfig(0))
	var invalid *InvalidConfigError
	qt.Assert(t, errors.As(err, &invalid), qt.IsTrue)
	qt.Assert(t, err, qt.ErrorMatches, `.*Workspaces\[0\].QueueLimit: 0 must be positive`)
	for i := range 2 {
		_, err := Apply(ctx, store, uint64(i), testConfig(1+i))
		qt.Assert(t, err, qt.IsNil)
	}
	before := store.Keys()
	_, err = Apply(ctx, store, 1, testConfig(9))
	var conflict *VersionConflictError
	qt.Assert(t, errors.As(err, &conflict), qt.IsTrue)
	qt.Assert(t, *conflict, qt.Equals, VersionConflictError{Expected: 1, Found: 2})
	version, err := Apply(ctx, store, 2, testConfig(2))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, version, qt.Equals, uint64(2))
	qt.Assert(t, store.Keys(), qt.DeepEquals, before)
	old, err := ReadAt(ctx, store, 1)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, old.Config.Equal(testConfig(1)), qt.IsTrue)
	_, err = ReadAt(ctx, store, 3)
	qt.Assert(t, err, qt.ErrorIs, ErrNoVersion)
}

type applyInput struct {
	read     bool
	expected uint64
	content  int
}

type applyOutput struct {
	version uint64
	content int
	err     error
}

type registerState struct {
	version uint64
	content int
}

// registerModel models the configuration as a compare-and-set register.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(registerState), input.(applyInput), output.(applyOutput)
		if in.read {
			if out.err == nil && s == (registerState{out.version, out.content}) {
				return []any{s}
			}
			return nil
		}
		next := registerState{in.expected + 1, in.content}
		var conflict *VersionConflictError
		var unknown *OutcomeUnknownError
		switch {
		case out.err == nil:
			if s.version == in.expected && out.version == next.version {
				return []any{next}
			}
			return nil
		case errors.As(out.err, &conflict):
			if s.version == in.expected {
				return nil
			}
		case errors.As(out.err, &unknown):
			if s.version == in.expected {
				return []any{s, next}
			}
		}
		return []any{s}
	},
}

// Guards against two concurrent changes to the same version that are both reported
// as accepted, and against an accepted change that disappears.
func TestApplyIsLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			store := tabletest.New()
			store.SetDelays(seed)
			var rngMu sync.Mutex
			rng := rand.New(rand.NewPCG(seed, 2))
			store.OnCommit(func(table.Tx) tabletest.CommitResult {
				rngMu.Lock()
				defer rngMu.Unlock()
				return []tabletest.CommitResult{tabletest.Normal, tabletest.Normal, tabletest.ReplyLost, tabletest.RequestLost, tabletest.Rejected}[rng.IntN(5)]
			})
			var clock atomic.Int64
			var mu sync.Mutex
			var history []porcupine.Operation
			var wg sync.WaitGroup
			for client := range 4 {
				wg.Go(func() {
					for i := range 6 {
						ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
						in := applyInput{read: true}
						call := clock.Add(1)
						s, err := Read(ctx, store)
						out := applyOutput{err: err}
						if err != nil {
							s = NewSnapshot(0, testConfig(1))
						}
						out.version = s.Version
						if w := s.Config.Workspaces(); err == nil && len(w) > 0 {
							out.content = w[0].QueueLimit()
						}
						mu.Lock()
						history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: clock.Add(1)})
						mu.Unlock()

						in = applyInput{expected: s.Version, content: 100*(client+1) + i}
						call = clock.Add(1)
						out = applyOutput{}
						out.version, out.err = Apply(ctx, store, in.expected, testConfig(in.content))
						cancel()
						end := clock.Add(1)
						var unknown *OutcomeUnknownError
						if errors.As(out.err, &unknown) {
							end = 1 << 40 // The write may still take effect.
						}
						mu.Lock()
						history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			history = slices.DeleteFunc(history, func(op porcupine.Operation) bool {
				return op.Input.(applyInput).read && op.Output.(applyOutput).err != nil
			})
			model := registerModel.ToModel()
			qt.Assert(t, porcupine.CheckOperations(model, history), qt.IsTrue, qt.Commentf("seed %d: %s", seed, fmt.Sprint(history)))
		})
	}
}

// Guards against a change whose answer was lost and that takes effect after the operator has
// confirmed the configuration that it would replace.
func TestConfirmedConfigurationIsKept(t *testing.T) {
	tests := []struct {
		name   string
		result tabletest.CommitResult // of the first attempt to confirm it
	}{
		{"answered", tabletest.Normal},
		{"answer lost", tabletest.ReplyLost},
		{"not carried out", tabletest.RequestLost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, store := t.Context(), tabletest.New()
				_, err := Apply(ctx, store, 0, testConfig(1))
				qt.Assert(t, err, qt.IsNil)
				carryOut := store.HoldCommits()
				_, err = Apply(ctx, store, 1, testConfig(2))
				var unknown *OutcomeUnknownError
				qt.Assert(t, errors.As(err, &unknown), qt.IsTrue)
				store.OnCommit(func(table.Tx) tabletest.CommitResult {
					store.OnCommit(nil)
					return tt.result
				})
				version, err := Apply(ctx, store, 1, testConfig(1))
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, version, qt.Equals, uint64(1))
				carryOut(ctx)
				s, err := Read(ctx, store)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, s.Config.Equal(testConfig(1)), qt.IsTrue)
			})
		})
	}
}
