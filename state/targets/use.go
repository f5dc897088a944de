package targets

import (
	"cmp"
	"slices"
	"time"
)

// Use is the number of slots that the tasks of one workspace and class have on a
// target.
type Use struct {
	Workspace string
	Class     string
	Slots     int
}

// EachUse calls f with the use of all live targets, as the sums of Tasks, in no
// particular order. It takes time for each target and not for each task. f must
// not call methods of v.
func (v *View) EachUse(now time.Time, f func(target string, u Use)) {
	for _, s := range v.shards() {
		s.mu.Lock()
		for name, t := range s.targets {
			if t.live(now) {
				t.eachUse(now, func(u Use) { f(name, u) })
			}
		}
		s.mu.Unlock()
	}
}

// eachUse calls f with the reported sums and, as corrections of them, with the
// entry's own recent effects.
func (t *target) eachUse(now time.Time, f func(Use)) {
	if t.use == nil {
		t.use = t.sumUse()
	}
	for _, u := range t.use {
		f(u)
	}
	t.eachMasked(now, func(task Task, _ effect) { f(Use{task.Workspace, task.Class, -task.Slots}) })
	t.eachSent(now, func(_ string, e effect) { f(Use{e.task.Workspace, e.task.Class, e.task.Slots}) })
}

// sumUse adds up the reported tasks. The result is kept until they change.
func (t *target) sumUse() []Use {
	sums := make([]Use, 0, 4)
	for _, r := range t.tasks {
		i := slices.IndexFunc(sums, func(u Use) bool { return u.Workspace == r.task.Workspace && u.Class == r.task.Class })
		if i < 0 {
			sums = append(sums, Use{Workspace: r.task.Workspace, Class: r.task.Class})
			i = len(sums) - 1
		}
		sums[i].Slots += r.task.Slots
	}
	slices.SortFunc(sums, func(a, b Use) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Class, b.Class))
	})
	return sums
}
