package process

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/medlargrade/medlargrade/coordination/executor"
	"github.com/medlargrade/medlargrade/protocol/targetrpc"
)

// groupRetention is how long the size of a group is kept. It equals the result
// retention of a target.
const groupRetention = 10 * time.Minute

// taskGroups runs the tasks of a gang that share a worker as one member: each
// call for the member becomes a call for each of its tasks. Members with a single
// task pass through unchanged.
type taskGroups struct {
	worker executor.Worker

	mu     sync.Mutex
	groups map[string]taskGroup // by the ID of the member
}

type taskGroup struct {
	tasks int
	used  time.Time // by the latest call; leases are renewed every few seconds
}

func newTaskGroups(w executor.Worker) *taskGroups {
	return &taskGroups{worker: w, groups: make(map[string]taskGroup)}
}

// ids returns the IDs of the member's tasks on the worker.
func (g *taskGroups) ids(id string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := g.groups[id]
	if x.tasks <= 1 {
		return []string{id}
	}
	n := x.tasks
	x.used = time.Now()
	g.groups[id] = x
	ids := make([]string, n)
	for i := range ids {
		ids[i] = id + "." + strconv.Itoa(i)
	}
	return ids
}

// add notes the size of a group and forgets old ones.
func (g *taskGroups) add(id string, tasks int) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for old, x := range g.groups {
		if now.Sub(x.used) > groupRetention {
			delete(g.groups, old)
		}
	}
	g.groups[id] = taskGroup{tasks: tasks, used: now}
}

// each calls f for all tasks of a member at once and returns the first error.
func (g *taskGroups) each(ctx context.Context, id string, f func(ctx context.Context, id string) error) error {
	ids := g.ids(id)
	if len(ids) == 1 {
		return f(ctx, ids[0])
	}
	eg, ctx := errgroup.WithContext(ctx)
	for _, id := range ids {
		eg.Go(func() error { return f(ctx, id) })
	}
	return eg.Wait()
}

// Launch implements executor.Worker. A group is always launched held, so a group
// of which some tasks were refused has not run and is given up as a whole.
func (g *taskGroups) Launch(ctx context.Context, l executor.Launch) (*executor.Result, error) {
	if l.Tasks <= 1 {
		return g.worker.Launch(ctx, l)
	}
	if !l.Held {
		return nil, &executor.RefusedError{Reason: "several tasks of one member must be launched held"}
	}
	g.add(l.ID, l.Tasks)
	err := g.each(ctx, l.ID, func(ctx context.Context, id string) error {
		one := l
		one.ID, one.Slots, one.Tasks = id, l.Slots/l.Tasks, 1
		_, err := g.worker.Launch(ctx, one)
		return err
	})
	if err != nil {
		// Tasks that were taken are held: if a stop fails, their lease ends them
		// without user code having run.
		_ = g.Stop(context.WithoutCancel(ctx), l.ID)
	}
	return nil, err
}

// Release implements executor.Worker.
func (g *taskGroups) Release(ctx context.Context, id string) error {
	return g.each(ctx, id, g.worker.Release)
}

// Wait implements executor.Worker. A task that failed or was stopped ends the
// wait for the whole group.
func (g *taskGroups) Wait(ctx context.Context, id string, wait time.Duration) (*executor.Result, error) {
	ids := g.ids(id)
	if len(ids) == 1 {
		return g.worker.Wait(ctx, id, wait)
	}
	results := make([]*executor.Result, len(ids))
	errEnded := errors.New("a task ended without a result")
	eg, gctx := errgroup.WithContext(ctx)
	for i, id := range ids {
		eg.Go(func() error {
			res, err := g.worker.Wait(gctx, id, wait)
			results[i] = res
			if err == nil && res != nil && (res.Failed || res.Stopped) {
				return errEnded
			}
			return err
		})
	}
	err := eg.Wait()
	if i := slices.IndexFunc(results, func(r *executor.Result) bool { return r != nil && (r.Failed || r.Stopped) }); i >= 0 {
		return results[i], nil
	}
	if err != nil {
		return nil, err
	}
	return joined(results)
}

// joined returns the result of a group, or nil if a task has not ended.
func joined(results []*executor.Result) (*executor.Result, error) {
	bodies := &targetrpc.Bodies{}
	for _, r := range results {
		if r == nil {
			return nil, nil
		}
		bodies.Bodies = append(bodies.Bodies, r.Body)
	}
	b, err := proto.Marshal(bodies)
	if err != nil {
		return nil, err
	}
	return &executor.Result{Body: b}, nil
}

// Checkpoint implements executor.Worker.
func (g *taskGroups) Checkpoint(ctx context.Context, id string) error {
	return g.each(ctx, id, g.worker.Checkpoint)
}

// Throttle implements executor.Worker.
func (g *taskGroups) Throttle(ctx context.Context, id string) error {
	return g.each(ctx, id, g.worker.Throttle)
}

// Stop implements executor.Worker. All tasks are asked to stop even if one of
// them does not confirm it.
func (g *taskGroups) Stop(ctx context.Context, id string) error {
	ids := g.ids(id)
	errs := make([]error, len(ids))
	var wg sync.WaitGroup
	for i, id := range ids {
		wg.Go(func() { errs[i] = g.worker.Stop(ctx, id) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// Renew implements executor.Worker. A member is lost if one of its tasks is.
func (g *taskGroups) Renew(ctx context.Context, ids []string, lease time.Duration) ([]string, error) {
	var all []string
	owner := make(map[string]string)
	for _, id := range ids {
		for _, task := range g.ids(id) {
			owner[task] = id
			all = append(all, task)
		}
	}
	lost, err := g.worker.Renew(ctx, all, lease)
	members := make([]string, 0, len(lost))
	for _, task := range lost {
		members = append(members, owner[task])
	}
	slices.SortFunc(members, strings.Compare)
	return slices.Compact(members), err
}

// Usage implements executor.Worker.
func (g *taskGroups) Usage(ctx context.Context) (executor.Usage, error) { return g.worker.Usage(ctx) }
