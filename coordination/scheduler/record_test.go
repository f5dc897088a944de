package scheduler

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/rows"
	"github.com/medlargrade/medlargrade/state/rows/rowstest"
)

// randomFates returns write fates drawn from a seeded source. About half of the
// writes meet a fault.
func randomFates(seed uint64) func([]rows.Write) rowstest.Fate {
	r := rand.New(rand.NewPCG(seed, 1))
	return func([]rows.Write) rowstest.Fate {
		f := rowstest.Fate{Delay: time.Duration(r.IntN(100)) * time.Millisecond}
		switch r.IntN(8) {
		case 0:
			f.Kind = rowstest.Refused
		case 1:
			f.Kind = rowstest.LostBefore
		case 2:
			f.Kind = rowstest.LostAfter
		case 3:
			f.Kind = rowstest.Late
			f.After = time.Duration(r.IntN(3000)) * time.Millisecond
		}
		return f
	}
}

func testJob(id string) rows.Job {
	return rows.Job{Token: rows.NewToken(), ID: id, State: rows.JobQueued, Request: []byte(`{}`)}
}

// Guards against two entries that both believe to own a key, and against an
// entry that is told of the wrong owner, when answers of the store are lost or
// writes land late.
func TestClaimHasOneWinner(t *testing.T) {
	const entries = 4
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			store := rowstest.New()
			store.SetWriteFate(randomFates(seed))
			type end struct {
				job   rows.Job
				found rows.Job
				mine  bool
				err   error
			}
			ends := make(chan end)
			for i := range entries {
				go func() {
					r := &recorder{store: store, entry: fmt.Sprintf("e%d", i)}
					ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
					defer cancel()
					job := testJob(fmt.Sprintf("j%d", i))
					found, mine, err := r.claim(ctx, "ws", "k", job)
					ends <- end{job, found, mine, err}
				}()
			}
			var all []end
			for range entries {
				all = append(all, <-ends)
			}
			store.Wait()
			row, err := (&recorder{store: store}).read(t.Context(), "ws", "k")
			for _, e := range all {
				var undecided *undecidedError
				switch {
				case e.err == nil:
					qt.Assert(t, err, qt.IsNil, qt.Commentf("seed %d", seed))
					qt.Assert(t, e.found.ID, qt.Equals, row.ID, qt.Commentf("seed %d", seed))
					qt.Assert(t, e.mine, qt.Equals, e.job.ID == row.ID, qt.Commentf("seed %d", seed))
				case !errors.As(e.err, &undecided) && err == nil:
					// A definite error means that the claim never takes effect.
					qt.Assert(t, row.ID, qt.Not(qt.Equals), e.job.ID, qt.Commentf("seed %d", seed))
				}
			}
		})
	}
}

// Guards against two entries that both replace the same value of a row, and
// against a definite error for a write that took effect.
func TestReplaceHasOneWinner(t *testing.T) {
	const entries = 4
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			store := rowstest.New()
			first := testJob("j")
			_, _, err := (&recorder{store: store}).claim(t.Context(), "ws", "k", first)
			qt.Assert(t, err, qt.IsNil)
			store.SetWriteFate(randomFates(seed))
			type end struct {
				token string
				err   error
			}
			ends := make(chan end)
			for range entries {
				go func() {
					r := &recorder{store: store}
					ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
					defer cancel()
					next := first
					next.Token = rows.NewToken()
					ends <- end{next.Token, r.replace(ctx, "ws", "k", []string{first.Token}, next)}
				}()
			}
			var all []end
			for range entries {
				all = append(all, <-ends)
			}
			store.Wait()
			row, err := (&recorder{store: store}).read(t.Context(), "ws", "k")
			qt.Assert(t, err, qt.IsNil)
			for _, e := range all {
				var undecided *undecidedError
				switch {
				case e.err == nil:
					qt.Assert(t, row.Token, qt.Equals, e.token, qt.Commentf("seed %d", seed))
				case !errors.As(e.err, &undecided):
					qt.Assert(t, row.Token, qt.Not(qt.Equals), e.token, qt.Commentf("seed %d: %v", seed, e.err))
				}
			}
		})
	}
}
