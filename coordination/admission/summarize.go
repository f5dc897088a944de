package admission

import (
	"cmp"
	"slices"
	"time"
)

// Kind is a kind of the configuration.
type Kind struct {
	Queue    string
	Pool     string // empty for any worker
	Priority int    // 0 is the highest
}

// Work is a unit that waits, or tasks that run.
type Work struct {
	Kind
	OnTime       bool          // a waiting unit can still meet its objective
	Tasks        int           // of which each needs Accelerators
	Accelerators int           // of a task
	Time         time.Duration // predicted run time, or the remaining time of running tasks
}

func (w Work) accelerators() int { return w.Tasks * w.Accelerators }

func (w Work) work() time.Duration { return time.Duration(w.accelerators()) * w.Time }

// Capacity counts the accelerators of a pool's workers.
type Capacity struct {
	Total int // of all workers that are connected or have runs, also of those that get no new work for a while
	Free  int // neither in use nor claimed, of workers that get new work
}

// Input is what a planner knows.
type Input struct {
	Now           time.Duration // store's clock
	ConfigVersion uint64
	Kinds         []Kind
	Waiting       []Work
	Running       []Work
	Pools         map[string]Capacity // by name; "" has the workers of all pools
}

// level is a pool and a priority.
type level struct {
	pool     string
	priority int
}

// total sums work up.
type total struct {
	work    time.Duration // times accelerators
	longest time.Duration
}

func (t total) plus(o total) total { return total{t.work + o.work, max(t.longest, o.longest)} }

// sums are the sums of an input, so that the cost of a row grows with the number of kinds and
// that of the units, but not with their product.
type sums struct {
	waiting, onTime, running map[level]total
	byQueue                  map[string]KindLoad
}

func (in Input) sum() sums {
	s := sums{make(map[level]total), make(map[level]total), make(map[level]total), make(map[string]KindLoad)}
	for _, w := range in.Waiting {
		l, t := level{w.Pool, w.Priority}, total{w.work(), w.Time}
		s.waiting[l] = s.waiting[l].plus(t)
		if w.OnTime {
			s.onTime[l] = s.onTime[l].plus(t)
		}
		k := s.byQueue[w.Queue]
		k.Tasks += w.Tasks
		k.WorkMillis += w.work().Milliseconds()
		s.byQueue[w.Queue] = k
	}
	for _, w := range in.Running {
		l := level{w.Pool, w.Priority}
		s.running[l] = s.running[l].plus(total{w.work(), w.Time})
		k := s.byQueue[w.Queue]
		k.Drain += w.accelerators()
		s.byQueue[w.Queue] = k
	}
	return s
}

// Summarize returns the row of the load.
func Summarize(in Input) Row {
	r := Row{AtMillis: in.Now.Milliseconds(), ConfigVersion: in.ConfigVersion}
	s := in.sum()
	for _, k := range in.Kinds {
		l := s.byQueue[k.Queue]
		l.Queue, l.Free = k.Queue, in.Pools[k.Pool].Free
		for c, size := range classSizes {
			l.WaitMillis[c] = s.wait(k, in.Pools[k.Pool].Total, size).Milliseconds()
		}
		r.Kinds = append(r.Kinds, l)
	}
	slices.SortFunc(r.Kinds, func(x, y KindLoad) int { return cmp.Compare(x.Queue, y.Queue) })
	r.Kinds = slices.CompactFunc(r.Kinds, func(x, y KindLoad) bool { return x.Queue == y.Queue })
	return r
}

// wait returns a lower estimate of the time until a unit of a kind with a number of
// accelerators can start, of all that the workers of its pool have. The work ahead of it can't
// take less time than with all accelerators in use. It need not have ended, but what still runs
// then leaves room for the unit: that is taken to be as long as the longest of the work ahead,
// on all other accelerators. There is no wait without workers, since they may come at any time.
func (s sums) wait(k Kind, all, accelerators int) time.Duration {
	queued, running := s.onTime[level{k.Pool, k.Priority}], total{}
	for l, t := range s.waiting {
		if l.pool == k.Pool && l.priority < k.Priority {
			queued = queued.plus(t)
		}
	}
	if all <= 0 || queued.work == 0 {
		return 0
	}
	for l, t := range s.running {
		if l.pool == k.Pool && l.priority <= k.Priority {
			running = running.plus(t)
		}
	}
	ahead := queued.plus(running)
	return max(ahead.work-time.Duration(max(all-accelerators, 0))*ahead.longest, 0) / time.Duration(all)
}
