package configsync

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"
	"storj.io/drpc"

	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/protocol/entryrpc"
	"github.com/medlargrade/medlargrade/state/rows"
)

// fakeClient calls an entry's server side directly.
type fakeClient struct {
	entryrpc.DRPCEntryClient
	sync   *EntrySync
	silent bool
}

func (c *fakeClient) DRPCConn() drpc.Conn { return nil }

func (c *fakeClient) FetchConfig(ctx context.Context, in *entryrpc.FetchConfigRequest) (*entryrpc.FetchConfigReply, error) {
	if c.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return c.sync.FetchConfig(ctx, in)
}

// site is a store, entries and targets in one bubble.
type site struct {
	t       *testing.T
	store   *fakeStore
	clients sync.Map // *fakeClient by address
}

func newSite(t *testing.T) *site {
	return &site{t: t, store: newFakeStore()}
}

// startEntry starts or restarts an entry; stop ends it.
func (s *site) startEntry(address string) (x *EntrySync, stop func()) {
	ctx, cancel := context.WithCancel(s.t.Context())
	x = NewEntrySync(s.store, new(Holder), zerolog.Nop())
	s.clients.Store(address, &fakeClient{sync: x})
	go x.Run(ctx)
	return x, func() {
		cancel()
		<-x.stopped
		s.clients.Delete(address)
	}
}

func (s *site) startTarget(entries ...string) (x *TargetSync, stop func()) {
	ctx, cancel := context.WithCancel(s.t.Context())
	x = NewTargetSync(new(Holder), func(_ context.Context, address string) (entryrpc.DRPCEntryClient, error) {
		if c, ok := s.clients.Load(address); ok {
			return c.(*fakeClient), nil
		}
		return nil, errors.New("connection refused")
	}, zerolog.Nop())
	x.SetEntries(entries)
	go x.Run(ctx)
	return x, func() {
		cancel()
		<-x.stopped
	}
}

// apply makes one more generation.
func (s *site) apply() uint64 {
	s.t.Helper()
	head, _, err := readHead(s.t.Context(), s.store)
	qt.Assert(s.t, err, qt.IsNil)
	generation, err := Apply(s.t.Context(), s.store, head.Generation, testConfig(int(head.Generation)+1))
	qt.Assert(s.t, err, qt.IsNil)
	return generation
}

func (s *site) holds(h *Holder, generation uint64) {
	s.t.Helper()
	synctest.Wait()
	got := h.Current()
	qt.Assert(s.t, got.Generation, qt.Equals, generation)
	if generation > 0 {
		qt.Assert(s.t, got.Config.Equal(testConfig(int(generation))), qt.IsTrue)
	}
}

// Guards against changes that don't reach entries and targets within a second
// or two, by differences or by a snapshot.
func TestChangesSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		a, stopA := s.startEntry("a")
		defer stopA()
		target, stopTarget := s.startTarget("a")
		defer stopTarget()
		synctest.Wait()
		qt.Assert(t, a.IsReady() && target.IsReady(), qt.IsTrue) // Nothing was ever applied.
		s.holds(a.holder, 0)

		changed := a.holder.Changed()
		for range 3 {
			s.apply()
		}
		time.Sleep(PollPeriod)
		<-changed
		s.holds(a.holder, 3)
		target.Learn(3, "a")
		synctest.Wait()
		s.holds(target.holder, 3)

		s.apply()
		time.Sleep(PollPeriod)
		s.holds(a.holder, 4)
		reply, err := a.FetchConfig(t.Context(), &entryrpc.FetchConfigRequest{After: 3})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reply.GetChanges(), qt.HasLen, 1)
		qt.Assert(t, reply.GetSnapshot(), qt.IsNil)
		target.Learn(4, "gone") // The sender has left; another entry serves.
		synctest.Wait()
		s.holds(target.holder, 4)

		for range maxReadChanges + 1 {
			s.apply()
		}
		a.Learn(5) // Polls at once.
		synctest.Wait()
		s.holds(a.holder, 4+maxReadChanges+1)

		s.apply()
		s.store.set(func() { delete(s.store.rows, rows.TableConfig+"/"+rows.ChangeKey(4+maxReadChanges+2)) })
		time.Sleep(PollPeriod)
		s.holds(a.holder, 4+maxReadChanges+2) // The snapshot replaces the missing change.
	})
}

// Guards against an entry that stops serving, reverts, or reads the store in a
// storm when the store is down, silent or has lost a change.
func TestEntryThroughOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.apply()
		first := s.store.rows[rows.TableConfig+"/"+rows.HeadKey]
		a, stopA := s.startEntry("a")
		defer stopA()
		qt.Assert(t, a.WaitReady(t.Context()), qt.IsNil)
		s.apply()
		qt.Assert(t, a.Fresh(t.Context()), qt.IsNil)
		s.holds(a.holder, 2)

		s.store.set(func() { s.store.tablesDown = true })
		time.Sleep(time.Minute)
		s.holds(a.holder, 2)
		reply, err := a.FetchConfig(t.Context(), &entryrpc.FetchConfigRequest{After: 1})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reply.GetGeneration(), qt.Equals, uint64(2))
		_, err = a.FetchConfig(t.Context(), &entryrpc.FetchConfigRequest{After: 1, Fresh: true})
		qt.Assert(t, err, qt.ErrorMatches, `fresh configuration: read configuration head store: .*`)

		s.store.set(func() { s.store.tablesDown, s.store.silent = false, true })
		start := time.Now()
		qt.Assert(t, a.Fresh(t.Context()), qt.IsNotNil)
		qt.Assert(t, time.Since(start) <= 2*headTimeout, qt.IsTrue)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		time.Sleep(time.Second)
		qt.Assert(t, a.Fresh(ctx), qt.ErrorIs, context.DeadlineExceeded)
		s.store.set(func() { s.store.silent = false })
		time.Sleep(3 * time.Second)

		s.apply()
		s.store.set(func() { s.store.objectsDown = true }) // Changes don't need the object store.
		time.Sleep(PollPeriod)
		s.holds(a.holder, 3)

		s.store.set(func() { // The store loses the last two changes.
			s.store.objectsDown = false
			s.store.rows[rows.TableConfig+"/"+rows.HeadKey] = first
		})
		time.Sleep(PollPeriod)
		s.holds(a.holder, 3)
	})
}

// Guards against one read of the head row for each of many targets that start
// at the same time, and against sharing a read that began too early.
func TestFreshSharesReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.apply()
		a, stopA := s.startEntry("a")
		defer stopA()
		synctest.Wait()
		s.store.set(func() { s.store.lateAnswer = PollPeriod / 2 })
		before := s.store.headReads
		results := make(chan error)
		for range 100 {
			go func() { results <- a.Fresh(t.Context()) }()
		}
		for range 100 {
			qt.Assert(t, <-results, qt.IsNil)
		}
		// The first read starts with some of the callers; all others arrive while
		// it is in flight and share the second.
		qt.Assert(t, s.store.headReads-before <= 2, qt.IsTrue)
		s.store.set(func() { s.store.lateAnswer = PollPeriod / 2 })
		time.Sleep(PollPeriod)
		synctest.Wait() // A read of generation 1 is in flight.
		s.apply()
		qt.Assert(t, a.Fresh(t.Context()), qt.IsNil)
		s.holds(a.holder, 2)
	})
}

// The counter-example of the design page: entry A reads generation 7, acts on
// it and dies before a peer has heard of it; the store goes down; A restarts.
// Guards against A, or a target that restarts, going back to generation 6.
func TestRestartDuringOutageDoesNotRevert(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		for range 6 {
			s.apply()
		}
		b, stopB := s.startEntry("b")
		defer stopB()
		synctest.Wait()
		s.holds(b.holder, 6)
		time.Sleep(PollPeriod / 2) // b polls after the outage has begun.
		s.apply()
		a, stopA := s.startEntry("a")
		synctest.Wait()
		s.holds(a.holder, 7) // A acts on it.
		stopA()
		s.store.set(func() { s.store.tablesDown = true })

		a, stopA = s.startEntry("a")
		target, stopTarget := s.startTarget("a", "b")
		defer stopTarget()
		a.Learn(6)
		target.Learn(6, "b")
		time.Sleep(10 * time.Minute)
		s.holds(b.holder, 6) // Serves on.
		qt.Assert(t, a.IsReady(), qt.IsFalse)
		qt.Assert(t, target.IsReady(), qt.IsFalse)
		s.holds(a.holder, 0)
		s.holds(target.holder, 0)
		_, err := a.FetchConfig(t.Context(), &entryrpc.FetchConfigRequest{After: 6})
		qt.Assert(t, err, qt.ErrorIs, ErrNotReady)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		qt.Assert(t, target.WaitReady(ctx), qt.ErrorIs, ErrNotReady)

		s.store.set(func() { s.store.tablesDown = false })
		time.Sleep(3 * time.Second)
		qt.Assert(t, a.IsReady() && target.IsReady(), qt.IsTrue)
		for _, h := range []*Holder{a.holder, b.holder, target.holder} {
			s.holds(h, 7)
		}
		stopA()
		qt.Assert(t, a.Fresh(t.Context()), qt.ErrorIs, ErrStopped)
	})
}

// Guards against a starting target that waits for silent or dead entries while
// another one could serve it, and against differences that don't apply.
func TestTargetFindsEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.apply()
		_, stopA := s.startEntry("a")
		defer stopA()
		for i := range 7 {
			s.clients.Store(fmt.Sprint("silent", i), &fakeClient{silent: true})
		}
		start := time.Now()
		target, stop := s.startTarget("silent0", "silent1", "silent2", "silent3", "silent4", "silent5", "silent6", "dead", "a")
		defer stop()
		qt.Assert(t, target.WaitReady(t.Context()), qt.IsNil)
		qt.Assert(t, time.Since(start) <= 2*freshTimeout, qt.IsTrue)
		s.holds(target.holder, 1)

		// The target's configuration differs from the one that the change builds on.
		target.holder.current.Store(&Snapshot{Generation: 1, Config: testConfig(99)})
		s.apply()
		time.Sleep(PollPeriod)
		synctest.Wait()
		target.Learn(2, "silent0") // Has left in the meantime.
		time.Sleep(4 * fetchTimeout)
		s.holds(target.holder, 2)
		target.Learn(50, "a") // No entry has it.
		time.Sleep(time.Minute)
		s.holds(target.holder, 2)
	})
}

// Guards against a holder that goes down, serves gaps or keeps every change.
func TestHolder(t *testing.T) {
	changes := make([]Change, 0, MaxChanges+10)
	for g := uint64(1); g <= MaxChanges+10; g++ {
		var old operator.Config
		if g > 1 {
			old = testConfig(int(g) - 1)
		}
		body, err := encodeChange("token", operator.NewDelta(old, testConfig(int(g))))
		qt.Assert(t, err, qt.IsNil)
		changes = append(changes, Change{Generation: g, Body: body})
	}
	var h Holder
	qt.Assert(t, h.AdvanceBy(changes[1:]), qt.ErrorMatches, `change 2 does not follow generation 0`)
	qt.Assert(t, h.AdvanceBy(changes), qt.IsNil)
	qt.Assert(t, h.Generation(), qt.Equals, uint64(MaxChanges+10))
	qt.Assert(t, h.Advance(Snapshot{Generation: 5}), qt.IsFalse)
	qt.Assert(t, h.AdvanceBy(changes[:5]), qt.IsNil)
	qt.Assert(t, h.Generation(), qt.Equals, uint64(MaxChanges+10))
	_, got, ok := h.Since(10)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, got, qt.DeepEquals, changes[10:])
	_, _, ok = h.Since(9)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, h.Advance(Snapshot{Generation: MaxChanges + 20}), qt.IsTrue)
	_, _, ok = h.Since(MaxChanges + 10)
	qt.Assert(t, ok, qt.IsFalse)
}

// step is one event of a random history.
type step struct {
	Op    string
	Name  string        // of the process that restarts
	Pause time.Duration // after it
}

// Guards against a process that reverts or serves unlearned configurations under
// any order of changes, outages, restarts and messages.
func TestNeverReverts(t *testing.T) {
	names := []string{"a", "b", "target"}
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Op:    rapid.SampledFrom([]string{"apply", "outage", "silence", "end", "restart", "learn"}).Draw(t, "op"),
			Name:  rapid.SampledFrom(names).Draw(t, "name"),
			Pause: time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond,
		}
	}), 1, 30)
	rapid.Check(t, func(rt *rapid.T) {
		history := steps.Draw(rt, "history")
		var faults []string // rapid must not be used in the bubble.
		synctest.Test(t, func(t *testing.T) { faults = runHistory(t, names, history) })
		if len(faults) > 0 {
			rt.Fatal(faults)
		}
	})
}

// runHistory returns what processes did wrong.
func runHistory(t *testing.T, names []string, history []step) (faults []string) {
	type process struct {
		stop  func()
		held  func() uint64
		ready func() bool
		learn func()
		floor uint64 // accepted when the process started, or held since
	}
	s := newSite(t)
	accepted := s.apply()
	processes := make(map[string]*process)
	start := func(name string) {
		if name == "target" {
			x, stop := s.startTarget("a", "b")
			learn := func() { x.Learn(accepted, "a") }
			processes[name] = &process{stop: stop, held: x.holder.Generation, ready: x.IsReady, learn: learn, floor: accepted}
			return
		}
		x, stop := s.startEntry(name)
		learn := func() { x.Learn(accepted) }
		processes[name] = &process{stop: stop, held: x.holder.Generation, ready: x.IsReady, learn: learn, floor: accepted}
	}
	for _, name := range names {
		start(name)
	}
	for _, step := range history {
		switch step.Op {
		case "apply":
			if !s.store.tablesDown && !s.store.silent {
				accepted = s.apply()
			}
		case "outage":
			s.store.set(func() { s.store.tablesDown = true })
		case "silence":
			s.store.set(func() { s.store.silent = true })
		case "end":
			s.store.set(func() { s.store.tablesDown, s.store.silent = false, false })
		case "restart":
			processes[step.Name].stop()
			start(step.Name)
		case "learn":
			for _, p := range processes {
				p.learn()
			}
		}
		time.Sleep(step.Pause)
		synctest.Wait()
		for name, p := range processes {
			if p.ready() && p.held() < p.floor {
				faults = append(faults, fmt.Sprintf("%s serves generation %d after %d", name, p.held(), p.floor))
			}
			p.floor = max(p.floor, p.held())
		}
	}
	for _, p := range processes {
		p.stop()
	}
	return faults
}
