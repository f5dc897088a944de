package targets

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// View is what an entry knows of the targets. The zero View knows none.
type View struct {
	mu    sync.RWMutex
	racks map[rackKey]*shard
	homes map[string]rackKey // target name to its rack
}

// rackKey names a rack; rack names are unique within a data centre only.
type rackKey struct{ dataCentre, rack string }

type shard struct {
	mu      sync.Mutex
	targets map[string]*target
}

// Apply takes in a heartbeat that arrived at now. It returns true if the view
// lacks the state that the report's changes build on; the counters and flags of
// such a report still take effect, and the sender should report in full.
// Reports that arrive late or belong to a replaced incarnation are ignored.
func (v *View) Apply(r Report, now time.Time) (needFull bool) {
	needFull, forgotten := v.shardFor(r).apply(r, now)
	if len(forgotten) > 0 {
		v.mu.Lock()
		defer v.mu.Unlock()
		for _, name := range forgotten {
			delete(v.homes, name)
		}
	}
	return needFull
}

// Live returns snapshots of all targets that were heard from within Expiry,
// sorted by name. Leaving targets and targets that are not ready are included
// and marked.
func (v *View) Live(now time.Time) []Target {
	var out []Target
	for _, s := range v.shards() {
		s.mu.Lock()
		for _, t := range s.targets {
			if t.live(now) {
				out = append(out, t.snapshot(now))
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b Target) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Get returns the snapshot of a live target.
func (v *View) Get(name string, now time.Time) (Target, bool) {
	var out Target
	ok := false
	v.withTarget(name, func(t *target) {
		if t.live(now) {
			out, ok = t.snapshot(now), true
		}
	})
	return out, ok
}

// Tasks returns the tasks of all live targets, sorted by target and attempt, with
// the entry's recent effects applied and the times advanced to now.
func (v *View) Tasks(now time.Time) []Task {
	var out []Task
	for _, s := range v.shards() {
		s.mu.Lock()
		for name, t := range s.targets {
			if t.live(now) {
				out = t.appendTasks(out, name, now)
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b Task) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Number, b.Number))
	})
	return out
}

// Dispatched records that the entry has sent task to the target, so that its
// slots count as taken. A task that the target already reports is left alone.
// Several members of one attempt on one target are recorded as one task with the
// sum of their slots.
func (v *View) Dispatched(name string, task Task, now time.Time) {
	v.withTarget(name, func(t *target) { t.dispatched(task, dispatched, now) })
}

// Freed records that the attempt has ended on the target, so that its slots
// count as free.
func (v *View) Freed(name, job string, number uint32, now time.Time) {
	v.withTarget(name, func(t *target) { t.freed(ID(job, number), now) })
}

// Preempted records that the entry has asked the target to stop the attempt for the
// claim of the given ID. The attempt is no longer a task, so that it is not chosen
// again, but its slots are free only once it has ended: call Claimed for the claim,
// and Freed when the end is known.
func (v *View) Preempted(name, job string, number uint32, claim string, now time.Time) {
	v.withTarget(name, func(t *target) { t.preempted(ID(job, number), claim, now) })
}

// Claimed is like Dispatched for a task that waits for the slots of work preempted
// for it. Slots that it needs beyond those are taken at once.
func (v *View) Claimed(name string, task Task, now time.Time) {
	v.withTarget(name, func(t *target) { t.dispatched(task, claimed, now) })
}

// shardFor returns the shard of the report's rack. A target that reports from
// another rack than before is dropped from its former rack.
func (v *View) shardFor(r Report) *shard {
	key := rackKey{r.DataCentre, r.Rack}
	v.mu.RLock()
	s, home := v.racks[key], v.homes[r.Target]
	v.mu.RUnlock()
	if s != nil && home == key {
		return s
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.racks == nil {
		v.racks = make(map[rackKey]*shard)
		v.homes = make(map[string]rackKey)
	}
	if old, ok := v.homes[r.Target]; ok && old != key {
		if o := v.racks[old]; o != nil {
			o.mu.Lock()
			delete(o.targets, r.Target)
			o.mu.Unlock()
		}
	}
	v.homes[r.Target] = key
	s = v.racks[key]
	if s == nil {
		s = &shard{targets: make(map[string]*target)}
		v.racks[key] = s
	}
	return s
}

func (v *View) shards() []*shard {
	v.mu.RLock()
	defer v.mu.RUnlock()
	out := make([]*shard, 0, len(v.racks))
	for _, s := range v.racks {
		out = append(out, s)
	}
	return out
}

// withTarget calls f with the target under the lock of its shard.
func (v *View) withTarget(name string, f func(*target)) {
	v.mu.RLock()
	s := v.racks[v.homes[name]]
	v.mu.RUnlock()
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.targets[name]; t != nil {
		f(t)
	}
}

// apply also returns the names of targets that it has forgotten.
func (s *shard) apply(r Report, now time.Time) (needFull bool, forgotten []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[r.Target]
	if t == nil {
		if r.Base != 0 {
			return true, nil
		}
		forgotten = s.forgetLocked(now)
		t = newTarget()
		s.targets[r.Target] = t
	}
	return t.apply(r, now), forgotten
}

// forgetLocked drops targets that have long been silent and returns their names.
func (s *shard) forgetLocked(now time.Time) []string {
	var forgotten []string
	for name, t := range s.targets {
		if now.Sub(t.heard) > forgetAfter {
			delete(s.targets, name)
			forgotten = append(forgotten, name)
		}
	}
	return forgotten
}
