package admission

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/operator"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// config has workspaces "w0", "w1", ... with the given guarantees.
func config(limit int, guarantees ...int) operator.Config {
	cfg := operator.NewConfig(operator.NewSite("s"))
	for i, g := range guarantees {
		cfg = cfg.WithWorkspace(operator.NewWorkspace(fmt.Sprintf("w%d", i)).
			WithGuarantee(operator.NewShape(1, g)).WithQueueLimit(limit))
	}
	return cfg
}

func item(id, workspace string, class operator.Class) Item {
	return Item{ID: id, Workspace: workspace, Class: class, Cost: 1}
}

// order returns the IDs in the order of offers, with the decisions of visit.
func order(q *Queue, visit func(Item) Decision) string {
	var ids []string
	q.Scan(start, func(it Item) Decision {
		ids = append(ids, it.ID)
		return visit(it)
	})
	return strings.Join(ids, " ")
}

// Guards against short work behind long work, preempted work behind new work, and
// one blocked item that hides those behind it.
func TestScan(t *testing.T) {
	tests := []struct {
		name  string
		visit func(Item) Decision
		want  string
	}{
		{"all", func(Item) Decision { return Take }, "s1 b1 s2 b2 front l1 f1"},
		{"skipped items keep the order", func(Item) Decision { return Skip }, "s1 b1 s2 b2 front l1 f1"},
		{"class", func(Item) Decision { return SkipClass }, "s1 b1 front f1"},
		{"workspace", func(Item) Decision { return SkipWorkspace }, "s1 b1"},
		{"stop", func(Item) Decision { return Stop }, "s1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := NewQueue(config(100, 8, 8))
			for _, it := range []Item{
				item("f1", "w0", operator.ClassFill), item("l1", "w0", operator.ClassLong), item("s1", "w0", operator.ClassShort),
				item("s2", "w0", operator.ClassShort), item("b1", "w1", operator.ClassLong), item("b2", "w1", operator.ClassLong),
			} {
				_, ok := q.Push(it, start)
				qt.Assert(t, ok, qt.IsTrue)
			}
			qt.Assert(t, q.PushFront(item("front", "w0", operator.ClassLong)), qt.IsTrue)
			qt.Assert(t, q.PushFront(item("front", "w0", operator.ClassLong)), qt.IsFalse)
			qt.Assert(t, order(q, tt.visit), qt.Equals, tt.want)
		})
	}
}

// Guards against a deadlock or a second start if the queue changes while an item is
// offered: a cancellation, or preempted work that comes back.
func TestScanWithChanges(t *testing.T) {
	q := NewQueue(config(100, 8, 8))
	q.Push(item("other", "w1", operator.ClassLong), start)
	for _, id := range []string{"l1", "l2", "l3"} {
		q.Push(item(id, "w0", operator.ClassLong), start)
	}
	q.Push(item("f1", "w0", operator.ClassFill), start)
	visit := func(it Item) Decision {
		q.Remove("other") // next in turn when l1 is offered
		if it.ID == "l2" {
			q.Remove("l2")
			q.PushFront(item("back", "w0", operator.ClassLong))
		}
		return Take
	}
	qt.Assert(t, order(q, visit), qt.Equals, "l1 l2 f1")
	qt.Assert(t, order(q, visit), qt.Equals, "back l3")
	qt.Assert(t, q.Len(""), qt.Equals, 0)
}

// Guards against queues that grow without bound, against long work that shuts out
// short work, and against refusals without a usable retry time.
func TestPushRefuses(t *testing.T) {
	q := NewQueue(config(8, 8))
	for i := range 6 {
		_, ok := q.Push(item(fmt.Sprintf("l%d", i), "w0", operator.ClassLong), start)
		qt.Assert(t, ok, qt.IsTrue)
	}
	refusal, ok := q.Push(item("l6", "w0", operator.ClassLong), start)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, refusal, qt.Equals, outcome.NotRun{Reason: outcome.ReasonQueueFull, RetryAfter: defaultRetry})
	_, ok = q.Push(item("s", "w0", operator.ClassShort), start)
	qt.Assert(t, ok, qt.IsTrue)
	refusal, _ = q.Push(item("x", "gone", operator.ClassLong), start)
	qt.Assert(t, refusal.Reason, qt.Equals, outcome.ReasonInvalid)

	// Two long items in 4 s: three remain, so a new one waits for 6 s.
	for range 2 {
		q.Scan(start, func(it Item) Decision {
			if it.ID == "s" || it.ID == "l0" || it.ID == "l1" {
				return Take
			}
			return Stop
		})
	}
	qt.Assert(t, q.Remove("l5"), qt.IsTrue)
	qt.Assert(t, q.Remove("l5"), qt.IsFalse)
	late := item("l7", "w0", operator.ClassLong)
	late.Deadline = at(9 * time.Second)
	refusal, ok = q.Push(late, at(4*time.Second))
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, refusal.Reason, qt.Equals, outcome.ReasonNoCapacity)
	qt.Assert(t, refusal.RetryAfter, qt.Equals, 2600*time.Millisecond)
	late.Deadline = at(11 * time.Second)
	_, ok = q.Push(late, at(4*time.Second))
	qt.Assert(t, ok, qt.IsTrue)

	dropped := q.Configure(config(8))
	qt.Assert(t, dropped, qt.HasLen, 4)
	qt.Assert(t, q.Len(""), qt.Equals, 0)
}

// Guards against a workspace that gets more than its weighted share while others
// wait: the normalised service of two backlogged workspaces differs by at most
// the largest item of each.
func TestFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := []int{rapid.IntRange(1, 32).Draw(t, "w0"), rapid.IntRange(1, 32).Draw(t, "w1"), 8}
		q := NewQueue(config(10000, weights...))
		largest, served := make([]float64, 3), make([]float64, 3)
		for i := range 3 {
			for j := range 200 {
				it := item(fmt.Sprintf("%d-%d", i, j), fmt.Sprintf("w%d", i), operator.ClassLong)
				it.Cost = rapid.Float64Range(0.1, 50).Draw(t, "cost")
				largest[i] = max(largest[i], it.Cost)
				if _, ok := q.Push(it, start); !ok {
					t.Fatal("refused")
				}
			}
		}
		n := 0
		q.Scan(start, func(it Item) Decision {
			served[it.Workspace[1]-'0'] += it.Cost
			for a := range 3 {
				for b := range 3 {
					wa, wb := float64(weights[a]), float64(weights[b])
					if math.Abs(served[a]/wa-served[b]/wb) > largest[a]/wa+largest[b]/wb+1e-9 {
						t.Fatalf("served %v with weights %v", served, weights)
					}
				}
			}
			if n++; q.spaces[0].len() < 2 || q.spaces[1].len() < 2 || q.spaces[2].len() < 2 {
				return Stop
			}
			return Take
		})
	})
}

// Guards against retries that multiply the load of a failing site.
func TestRetryBudget(t *testing.T) {
	var b RetryBudget
	for range 100 {
		b.First(start)
	}
	retries := func(now time.Time) (n int) {
		for b.Retry(now) {
			n++
		}
		return n
	}
	qt.Assert(t, retries(at(5*time.Second)), qt.Equals, 20)
	qt.Assert(t, retries(at(11*time.Second)), qt.Equals, 0)
	qt.Assert(t, retries(at(16*time.Second)), qt.Equals, 10)
}

// Guards against a limiter that ignores refusals or late replies, that never
// recovers, or that shuts out a request for more slots than its limit.
func TestLimiter(t *testing.T) {
	l := NewLimiter(8, 16)
	reply := func(r Reply, times int) {
		for i := range times {
			n := 0
			for n < 4 && l.Acquire(2) {
				n++
			}
			for range n {
				l.Release(2, r, at(time.Duration(i)*time.Second))
			}
		}
	}
	limits := func() string {
		s, c := l.Limits()
		return fmt.Sprint(s, c)
	}
	reply(Reply{Overhead: time.Millisecond}, 2)
	qt.Assert(t, limits(), qt.Equals, "8 16")
	reply(Reply{Busy: true, Overhead: time.Millisecond}, 5)
	qt.Assert(t, limits(), qt.Equals, "1 16")
	qt.Assert(t, l.Acquire(8), qt.IsTrue)
	qt.Assert(t, l.Acquire(1), qt.IsFalse)
	l.Abandon(8)
	reply(Reply{Overhead: 20 * time.Millisecond}, 20)
	_, connections := l.Limits()
	qt.Assert(t, connections < 4, qt.IsTrue)
	// The new overhead is learned. Four connections in use raise the limit to 8.
	reply(Reply{Overhead: 20 * time.Millisecond}, 200)
	qt.Assert(t, limits(), qt.Equals, "8 8")
}

// Guards against a lane that is sized by a short burst, by a long past demand, or
// beyond a quarter of the site, and against one that moves from target to target.
func TestLane(t *testing.T) {
	var l Lane
	qt.Assert(t, l.Size(88, start), qt.Equals, 1)
	l.Observe(4, start)
	l.Observe(60, at(98*time.Second))
	l.Observe(4, at(100*time.Second))
	qt.Assert(t, l.Size(88, at(100*time.Second)), qt.Equals, 4)
	l.Observe(60, at(100*time.Second))
	qt.Assert(t, l.Size(88, at(120*time.Second)), qt.Equals, 22)
	l.Observe(0, at(120*time.Second))
	for i := range 7 {
		l.Size(88, at(time.Duration(i+3)*time.Minute))
	}
	qt.Assert(t, l.Size(88, at(10*time.Minute)), qt.Equals, 1)

	sites := []LaneTarget{
		{Name: "a1", Rack: "a", Slots: 8},
		{Name: "a2", Rack: "a", Slots: 8},
		{Name: "b1", Rack: "b", Slots: 8, Short: 3},
	}
	qt.Assert(t, Spread(6, sites), qt.DeepEquals, map[string]int{"b1": 1, "a1": 2})
	qt.Assert(t, Spread(0, sites), qt.HasLen, 0)
}
