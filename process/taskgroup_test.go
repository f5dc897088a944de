package process

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/medlargrade/medlargrade/coordination/executor"
	"github.com/medlargrade/medlargrade/protocol/targetrpc"
	"github.com/medlargrade/medlargrade/standin/pipenet"
	standin "github.com/medlargrade/medlargrade/standin/worker"
	"github.com/medlargrade/medlargrade/transport/worker"
)

const (
	testLease = 6 * time.Second
	usageLag  = time.Minute // more than the lag of the worker's usage reports
)

// inGroup runs f in a bubble with the groups of a stand-in worker of 4 slots.
func inGroup(t *testing.T, f func(ctx context.Context, g *taskGroups, w *standin.Worker)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var network pipenet.Network
		w := standin.New(standin.Settings{Slots: 4}, zerolog.Nop())
		defer w.Close()
		client := network.TestHTTP(t, "target", "worker:80", w)
		f(t.Context(), newTaskGroups(workerOf{worker.New(client, worker.Settings{Address: "http://worker:80"})}), w)
	})
}

func launch(tasks, slots int, payload string) executor.Launch {
	return executor.Launch{ID: "j/1", Slots: slots, Tasks: tasks, Held: true, Lease: testLease, Payload: []byte(payload)}
}

// Guards against a member whose answer lacks one of its tasks.
func TestGroupAnswer(t *testing.T) {
	inGroup(t, func(ctx context.Context, g *taskGroups, _ *standin.Worker) {
		_, err := g.Launch(ctx, launch(3, 3, `{"RunMillis": 100, "Result": 7}`))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, g.Release(ctx, "j/1"), qt.IsNil)
		lost, err := g.Renew(ctx, []string{"j/1"}, testLease)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, lost, qt.HasLen, 0)
		res, err := g.Wait(ctx, "j/1", 10*time.Millisecond)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, res, qt.IsNil)
		res, err = g.Wait(ctx, "j/1", time.Second)
		qt.Assert(t, err, qt.IsNil)
		var bodies targetrpc.Bodies
		qt.Assert(t, proto.Unmarshal(res.Body, &bodies), qt.IsNil)
		qt.Assert(t, bodies.GetBodies(), qt.DeepEquals, [][]byte{[]byte("7"), []byte("7"), []byte("7")})
	})
}

// Guards against tasks of a member that run although the worker refused one of
// them, and against a refusal that is not recognized as such.
func TestGroupRefused(t *testing.T) {
	inGroup(t, func(ctx context.Context, g *taskGroups, w *standin.Worker) {
		_, err := g.Launch(ctx, launch(5, 5, `{}`))
		var refused *executor.RefusedError
		qt.Assert(t, errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
		time.Sleep(usageLag)
		qt.Assert(t, w.History(), qt.HasLen, 0)
		qt.Assert(t, w.Usage().UsedSlots, qt.Equals, 0)
	})
}

// Guards against tasks of a member that go on after another has ended badly or
// the member was stopped.
func TestGroupEnds(t *testing.T) {
	tests := []struct {
		name string
		end  func(ctx context.Context, g *taskGroups) (*executor.Result, error)
		want func(r *executor.Result) bool
	}{
		{
			name: "stop",
			end: func(ctx context.Context, g *taskGroups) (*executor.Result, error) {
				if err := g.Stop(ctx, "j/1"); err != nil {
					return nil, err
				}
				return g.Wait(ctx, "j/1", time.Second)
			},
			want: func(r *executor.Result) bool { return r.Stopped },
		},
		{
			name: "lease",
			end: func(ctx context.Context, g *taskGroups) (*executor.Result, error) {
				return g.Wait(ctx, "j/1", 2*testLease)
			},
			want: func(r *executor.Result) bool { return r.Stopped },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inGroup(t, func(ctx context.Context, g *taskGroups, w *standin.Worker) {
				_, err := g.Launch(ctx, launch(2, 4, `{"RunMillis": 60000}`))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, g.Release(ctx, "j/1"), qt.IsNil)
				res, err := tt.end(ctx, g)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, tt.want(res), qt.IsTrue)
				time.Sleep(usageLag)
				qt.Assert(t, w.Usage().UsedSlots, qt.Equals, 0)
			})
		})
	}
}
