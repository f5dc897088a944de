package shard_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

const (
	evacuationTable  = "op"
	evacuationPrefix = "evacuate/"
	evacuationBound  = 5 * time.Second
)

// feedStore is a store whose feed and reads of evacuationTable can be silent, while everything
// else works: the planner then records and orders starts without learning of requests.
type feedStore struct {
	table.Store
	mu     sync.Mutex
	silent bool
}

func (f *feedStore) toggleSilent() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = !f.silent
}

func (f *feedStore) isSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent
}

func (f *feedStore) Watch(ctx context.Context, name string, after uint64, wait time.Duration) (table.Changes, error) {
	if name == evacuationTable && f.isSilent() {
		time.Sleep(wait + unreachableTimeout)
		return table.Changes{}, &table.UnavailableError{Err: errStoreUnreachable}
	}
	c, err := f.Store.Watch(ctx, name, after, wait)
	if name == evacuationTable && f.isSilent() {
		return table.Changes{}, &table.UnavailableError{Err: errStoreUnreachable}
	}
	return c, err
}

func (f *feedStore) Read(ctx context.Context, r table.Range) (table.Page, error) {
	if r.Table == evacuationTable && f.isSilent() {
		time.Sleep(unreachableTimeout)
		return table.Page{}, &table.UnavailableError{Err: errStoreUnreachable}
	}
	return f.Store.Read(ctx, r)
}

// evacuationSite is a site with two data centres of two targets each.
type evacuationSite struct {
	*testSite
	feed      *feedStore // of all processes
	random    *rand.Rand
	processes map[string]*process
	jobs      int
	down      bool
	since     map[string]time.Time // acknowledged request of each evacuated data centre
	late      []string             // starts later than the bound
	checked   map[string]int       // starts of each target that are checked
}

func newEvacuationSite(s *testSite, seed uint64) *evacuationSite {
	e := &evacuationSite{
		testSite: s, feed: &feedStore{Store: s.store}, random: rand.New(rand.NewPCG(seed, 1)), processes: make(map[string]*process),
		since: make(map[string]time.Time), checked: make(map[string]int),
	}
	s.evacuation = evacuationBound
	_, err := s.store.Commit(s.c.Context(), table.Tx{}.WithWrite(evacuationTable, "c", nil))
	s.c.Assert(err, qt.IsNil)
	for i, name := range []string{"a", "b", "c", "d"} {
		s.targets[name].update(func(x *fakeAgent) { x.dataCentre = fmt.Sprintf("dc%d", i/2+1) })
		e.processes[name] = s.startProcess(name, e.feed)
	}
	time.Sleep(settleTime)
	return e
}

// addJob accepts a job of one or more tasks.
func (e *evacuationSite) addJob() {
	e.jobs++
	j := job.Job{
		ID: fmt.Sprintf("j%d", e.jobs), Kind: "long", Workspace: "w1", Pool: "pool",
		Steps: []job.Step{{Tasks: 1 + e.random.IntN(4), Accelerators: 4, EstimateMillis: 1000, Gang: e.random.IntN(2) == 0}},
	}
	// A failure means that the store is down, and the job is not accepted.
	_, _ = e.store.Commit(e.c.Context(), table.Tx{Part: part}.WithWrite(job.TableJobs, j.ID, j.Encode()))
}

// finishSome ends about half of the runs.
func (e *evacuationSite) finishSome() {
	for _, x := range e.targets {
		var tasks []string
		x.view(func(x *fakeAgent) {
			for task := range x.running {
				tasks = append(tasks, task)
			}
		})
		for _, task := range tasks {
			if e.random.IntN(2) == 0 {
				x.finish(task)
			}
		}
	}
}

func (e *evacuationSite) setEvacuated(dc string, evacuated bool) {
	tx := table.Tx{}.WithWrite(evacuationTable, evacuationPrefix+dc, []byte("any value"))
	if !evacuated {
		tx = table.Tx{}.WithDeletion(evacuationTable, evacuationPrefix+dc)
	}
	if _, err := e.store.Commit(e.c.Context(), tx); err != nil {
		return
	}
	if _, ok := e.since[dc]; evacuated && !ok {
		e.since[dc] = time.Now()
	} else if !evacuated {
		delete(e.since, dc)
	}
}

// step makes one random change to the site.
func (e *evacuationSite) step() {
	dc := fmt.Sprintf("dc%d", 1+e.random.IntN(2))
	_, evacuated := e.since[dc]
	switch e.random.IntN(13) {
	case 0, 1:
		e.setEvacuated(dc, !evacuated)
	case 2:
		// A restart of the planner's process, of another one, or of one in the data centre.
		name := string(rune('a' + e.random.IntN(4)))
		e.processes[name].stop()
		e.processes[name] = e.startProcess(name, e.feed)
	case 3:
		// The history is lost, with the change in it.
		e.store.Delete(evacuationTable, "", "other", true)
	case 4:
		e.down = !e.down
		e.store.SetDown(e.down)
	case 5:
		x := e.targets[string(rune('a'+e.random.IntN(4)))]
		x.update(func(x *fakeAgent) { x.unreachable = !x.unreachable })
	case 6:
		e.feed.toggleSilent()
	case 7, 8:
		e.finishSome()
	default:
		e.addJob()
	}
}

// check records the starts since the last check that are later than the bound. It is called
// before each change, so that each of these starts was under the same requests.
func (e *evacuationSite) check() {
	for name, x := range e.targets {
		x.view(func(x *fakeAgent) {
			for i := e.checked[name]; i < len(x.starts); i++ {
				if since, ok := e.since[x.dataCentre]; ok && x.startTimes[i].Sub(since) > evacuationBound {
					e.late = append(e.late, fmt.Sprintf("%s on %s, %v after the request", x.starts[i], name, x.startTimes[i].Sub(since)))
				}
			}
			e.checked[name] = len(x.starts)
		})
	}
}

// settle ends all faults and evacuations and waits until the site starts work again.
func (e *evacuationSite) settle() int {
	e.store.SetDown(false)
	if e.feed.isSilent() {
		e.feed.toggleSilent()
	}
	for _, x := range e.targets {
		x.update(func(x *fakeAgent) { x.unreachable = false })
	}
	for _, dc := range []string{"dc1", "dc2"} {
		e.setEvacuated(dc, false)
	}
	starts := func() int {
		n := 0
		for _, x := range e.targets {
			x.view(func(x *fakeAgent) { n += len(x.starts) })
		}
		return n
	}
	before := starts()
	for range 20 {
		time.Sleep(time.Second)
		e.addJob()
		for range 4 {
			e.finishSome()
		}
	}
	return starts() - before
}

// Guards against a start in an evacuated data centre later than the bound, in random orders of
// requests, withdrawals, changes of the planner, outages of the store, lost history and
// unreachable agents; and against a site that starts nothing afterwards.
func TestNoStartInEvacuatedDataCentre(t *testing.T) {
	for seed := range uint64(30) {
		runSite(t, 4, func(s *testSite) {
			e := newEvacuationSite(s, seed)
			for range 120 {
				e.check()
				e.step()
				time.Sleep(time.Duration(e.random.IntN(1500)) * time.Millisecond)
			}
			e.check()
			s.c.Check(e.late, qt.HasLen, 0, qt.Commentf("seed %d", seed))
			s.c.Check(e.settle() > 4, qt.IsTrue, qt.Commentf("seed %d", seed))
		})
	}
}
