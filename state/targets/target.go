package targets

import (
	"cmp"
	"slices"
	"time"
)

// maxSuperseded is the number of former incarnations of which late reports are
// recognised.
const maxSuperseded = 4

// target is the state of one target, guarded by the lock of its shard.
type target struct {
	last       Report // counters and flags; the lists are kept below
	heard      time.Time
	listed     uint64 // sequence up to which tasks and results are known; 0 for none
	tasks      map[string]reported
	results    map[[2]string]Result
	sorted     []Result // nil after a change of results
	use        []Use    // sums of tasks; nil after a change of tasks
	effects    map[string]effect
	sent       map[string]struct{} // IDs of the effects that have not ended
	superseded []uint64            // former incarnations, the newest last
}

// reported is a task as of the time of its report.
type reported struct {
	task Task
	at   time.Time
}

// effect is an action of the entry that the target has not reported yet.
type effect struct {
	kind  effectKind
	task  Task   // if dispatched or claimed
	claim string // if preempted: the claim for which it must stop
	at    time.Time
}

type effectKind int

const (
	dispatched effectKind = iota
	claimed               // dispatched onto slots of preempted work
	freed
	preempted // asked to stop, slots still in use
)

func (k effectKind) ended() bool { return k >= freed }

func newTarget() *target {
	return &target{
		tasks:   make(map[string]reported),
		results: make(map[[2]string]Result),
		effects: make(map[string]effect),
		sent:    make(map[string]struct{}),
	}
}

func (t *target) live(now time.Time) bool { return now.Sub(t.heard) <= Expiry }

func (t *target) apply(r Report, now time.Time) (needFull bool) {
	switch {
	case slices.Contains(t.superseded, r.Incarnation):
		return false
	case r.Incarnation != t.last.Incarnation:
		if r.Base != 0 {
			return true
		}
		t.reset(r.Incarnation)
	case r.Sequence <= t.last.Sequence:
		return false
	}
	// Changes that build on an older state than the one listed can lack the
	// removal of a task that both started and ended in between, so only
	// changes to exactly the listed state are taken.
	needFull = r.Base != 0 && r.Base != t.listed
	if !needFull {
		t.takeLists(r, now)
	}
	r.Tasks, r.Removed, r.Results = nil, nil, nil
	t.last, t.heard = r, now
	t.expire(now)
	return needFull
}

// reset prepares t for a new incarnation, which knows no earlier task.
func (t *target) reset(incarnation uint64) {
	superseded := t.superseded
	if t.last.Incarnation != 0 {
		superseded = append(superseded, t.last.Incarnation)
	}
	if n := len(superseded) - maxSuperseded; n > 0 {
		superseded = superseded[n:]
	}
	*t = *newTarget()
	t.superseded = superseded
	t.last.Incarnation = incarnation
}

func (t *target) takeLists(r Report, now time.Time) {
	if r.Base == 0 {
		clear(t.tasks)
		clear(t.results)
	}
	for _, id := range r.Removed {
		delete(t.tasks, id)
	}
	for _, task := range r.Tasks {
		id := task.ID()
		task.Target = r.Target
		t.tasks[id] = reported{task: task, at: now}
	}
	for _, res := range r.Results {
		t.results[[2]string{res.Workspace, res.Kind}] = res
	}
	if len(r.Results) > 0 || r.Base == 0 {
		t.sorted = nil
	}
	if len(r.Removed) > 0 || len(r.Tasks) > 0 || r.Base == 0 {
		t.use = nil
	}
	t.listed = r.Sequence
	t.confirm(r)
}

// confirm drops the effects that the report agrees with.
func (t *target) confirm(r Report) {
	for id, e := range t.effects {
		_, listed := t.tasks[id]
		// A dispatched task that the report names as ended was confirmed too.
		if listed != e.kind.ended() || !e.kind.ended() && slices.Contains(r.Removed, id) {
			t.drop(id)
		}
	}
}

func (t *target) expire(now time.Time) {
	for id, e := range t.effects {
		if now.Sub(e.at) > EffectExpiry {
			t.drop(id)
		}
	}
}

func (t *target) dispatched(task Task, kind effectKind, now time.Time) {
	id := task.ID()
	if _, ok := t.tasks[id]; ok {
		return
	}
	t.sent[id] = struct{}{}
	if e, ok := t.effects[id]; ok && !e.kind.ended() {
		task.Slots += e.task.Slots
	}
	task.Target = t.last.Target
	t.effects[id] = effect{kind: kind, task: task, at: now}
}

// freed masks the task until a report lacks it. The mask is kept even if the task
// was never reported: a report sent while it ran may still be on its way.
func (t *target) freed(id string, now time.Time) {
	t.effects[id] = effect{kind: freed, at: now}
	delete(t.sent, id)
}

// preempted masks the task until a report lacks it, for the claim of that ID.
func (t *target) preempted(id, claim string, now time.Time) {
	t.effects[id] = effect{kind: preempted, claim: claim, at: now}
	delete(t.sent, id)
}

// drop removes an effect.
func (t *target) drop(id string) {
	delete(t.effects, id)
	delete(t.sent, id)
}

// free returns the free slots with the effects applied. Until its victims have
// ended, a claim uses their slots; what they have beyond the claim is not free.
func (t *target) free(now time.Time) int {
	n := t.last.Free
	t.eachMasked(now, func(task Task, e effect) {
		if e.kind == freed {
			n += task.Slots
		}
	})
	t.eachSent(now, func(id string, e effect) {
		if e.kind == claimed {
			n -= max(e.task.Slots-t.stopping(id, now), 0)
		} else {
			n -= e.task.Slots
		}
	})
	return min(max(n, 0), t.last.Slots)
}

// isMasked reports whether the entry knows that a listed task has ended or is
// being stopped.
func (t *target) isMasked(id string, now time.Time) bool {
	e, ok := t.effects[id]
	return ok && e.kind.ended() && now.Sub(e.at) <= EffectExpiry
}

// eachMasked calls f with the listed tasks that the entry knows to have ended or
// to be stopped. It walks over the shorter one of the two lists: each short request
// leaves an ended effect until the next report, so there can be thousands of them.
func (t *target) eachMasked(now time.Time, f func(Task, effect)) {
	if len(t.effects)-len(t.sent) < len(t.tasks) {
		for id, e := range t.effects {
			if r, listed := t.tasks[id]; listed && t.isMasked(id, now) {
				f(r.task, e)
			}
		}
		return
	}
	for id, r := range t.tasks {
		if t.isMasked(id, now) {
			f(r.task, t.effects[id])
		}
	}
}

// eachSent calls f with the attempts and effects of the dispatched tasks that are
// not listed.
func (t *target) eachSent(now time.Time, f func(string, effect)) {
	for id := range t.sent {
		e := t.effects[id]
		if _, listed := t.tasks[id]; !listed && now.Sub(e.at) <= EffectExpiry {
			f(id, e)
		}
	}
}

// stopping returns the slots of work that is being stopped for the claim.
func (t *target) stopping(claim string, now time.Time) int {
	n := 0
	for id, e := range t.effects {
		if e.kind == preempted && e.claim == claim && now.Sub(e.at) <= EffectExpiry {
			n += t.tasks[id].task.Slots
		}
	}
	return n
}

func (t *target) snapshot(now time.Time) Target {
	if t.sorted == nil {
		t.sorted = make([]Result, 0, len(t.results))
		for _, r := range t.results {
			t.sorted = append(t.sorted, r)
		}
		slices.SortFunc(t.sorted, func(a, b Result) int {
			return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Kind, b.Kind))
		})
	}
	return Target{
		Name:        t.last.Target,
		Address:     t.last.Address,
		DataCentre:  t.last.DataCentre,
		Rack:        t.last.Rack,
		Incarnation: t.last.Incarnation,
		Generation:  t.last.Generation,
		Slots:       t.last.Slots,
		Connections: t.last.Connections,
		Free:        t.free(now),
		Leaving:     t.last.Leaving,
		Ready:       t.last.Ready,
		Heard:       t.heard,
		Results:     t.sorted,
	}
}

func (t *target) appendTasks(out []Task, name string, now time.Time) []Task {
	for id, r := range t.tasks {
		if t.isMasked(id, now) {
			continue
		}
		if d := now.Sub(r.at); r.task.Released && d > 0 {
			r.task.Run += d
			r.task.SinceCheckpoint += d
		}
		out = append(out, r.task)
	}
	t.eachSent(now, func(_ string, e effect) {
		task := e.task
		task.Target = name
		if d := now.Sub(e.at); task.Released && d > 0 {
			task.Run += d
			task.SinceCheckpoint += d
		}
		out = append(out, task)
	})
	return out
}
