package admission

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

// rowAt is the time of the store's clock of the rows in these tests.
const rowAt = time.Minute

var epoch = time.Unix(1_800_000_000, 0)

func longKind() operator.Kind {
	return operator.NewKind("", "long", operator.ClassLong).WithPriority(1).WithObjective(3, time.Second)
}

// gang returns a job of one gang of two tasks with 4 accelerators each.
func gang(id string, estimate time.Duration) job.Job {
	return job.Job{ID: id, Workspace: "w", Kind: "long", Steps: []job.Step{{Tasks: 2, Accelerators: 4, EstimateMillis: estimate.Milliseconds(), Gang: true}}}
}

// loaded returns a row in which jobs of the kind long wait for a time.
func loaded(wait time.Duration, free int) Row {
	ms := wait.Milliseconds()
	return Row{AtMillis: rowAt.Milliseconds(), ConfigVersion: 3, Kinds: []KindLoad{{Queue: "long", Tasks: 90, WorkMillis: 8 * ms, Free: free, WaitMillis: [Classes]int64{ms, ms, ms, ms}}}}
}

func holderOf(r Row) *Holder {
	h := NewHolder(zerolog.Nop())
	h.Apply([]table.Row{{Key: CurrentKey, Value: r.Encode()}})
	return h
}

// Guards against the refusal of a job that can be of value, is within a guarantee, finds free
// capacity or is judged by an old row, and against the acceptance of one that certainly can't.
func TestCheck(t *testing.T) {
	// The objective of a path of 2 s is 7 s. If the path is 5 s, the job is of value after a
	// wait of 3 * 16 s - 5 s = 43 s, which counts 1.5 times.
	const certain = 65 * time.Second
	recurring := gang("a", 2*time.Second)
	recurring.Times = 3
	tests := []struct {
		name       string
		row        *Row
		job        job.Job
		kind       operator.Kind
		guaranteed int
		age        time.Duration
		want       string
	}{
		{name: "no row", want: ReasonUnknown},
		{name: "certain", row: ptr(loaded(certain, 0)), want: ReasonTooLate},
		{name: "almost certain", row: ptr(loaded(63*time.Second, 0)), want: ReasonAdmitted},
		{name: "no wait", row: ptr(loaded(0, 0)), want: ReasonAdmitted},
		{name: "free", row: ptr(loaded(certain, 8)), want: ReasonFree},
		{name: "not enough free", row: ptr(loaded(certain, 7)), want: ReasonTooLate},
		{name: "old row", row: ptr(loaded(10*certain, 0)), age: MaxRowAge + time.Millisecond, want: ReasonUnknown},
		{name: "row of another store", row: ptr(loaded(10*certain, 0)), age: -MaxRowAge - time.Millisecond, want: ReasonUnknown},
		{name: "the queue may have drained", row: ptr(loaded(certain, 0)), age: MaxRowAge, want: ReasonAdmitted},
		{name: "other kind", row: ptr(loaded(certain, 0)), kind: operator.NewKind("", "batch", operator.ClassFill).WithObjective(3, time.Second), want: ReasonUnknown},
		{name: "no objective", row: ptr(loaded(certain, 0)), kind: operator.NewKind("", "long", operator.ClassLong), want: ReasonAdmitted},
		{name: "no declared time", row: ptr(loaded(certain, 0)), job: gang("a", 0), want: ReasonAdmitted},
		{name: "recurring", row: ptr(loaded(certain, 0)), job: recurring, want: ReasonAdmitted},
		{name: "guarantee of another priority", row: ptr(loaded(certain, 0)), guaranteed: 8, want: ReasonTooLate},
		{name: "guaranteed", row: ptr(loaded(certain, 0)), kind: longKind().WithPriority(0), guaranteed: 8, want: ReasonGuaranteed},
		{name: "beyond the guarantee", row: ptr(loaded(certain, 0)), kind: longKind().WithPriority(0), guaranteed: 7, want: ReasonTooLate},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := NewHolder(zerolog.Nop())
			if tt.row != nil {
				h = holderOf(*tt.row)
			}
			if tt.job.ID == "" {
				tt.job = gang("a", 2*time.Second)
			}
			if tt.kind.Name() == "" {
				tt.kind = longKind()
			}
			v := NewController(h).Check(NewDemand(tt.job, tt.kind, tt.guaranteed), rowAt+tt.age, epoch)
			qt.Check(t, v.Reason, qt.Equals, tt.want)
			qt.Check(t, v.Refused, qt.Equals, tt.want == ReasonTooLate)
			qt.Check(t, v.RetryAfter >= time.Second, qt.Equals, v.Refused)
		})
	}
}

func ptr(r Row) *Row { return &r }

// Guards against a wait that counts work which does not precede the job: what it may preempt or
// overtake, what is too late to precede it, and what runs in other pools.
func TestSummarize(t *testing.T) {
	long, urgent, fill := Kind{"long", "p", 1}, Kind{"urgent", "p", 0}, Kind{"fill", "p", 2}
	waiting := func(k Kind, onTime bool) Work {
		return Work{Kind: k, OnTime: onTime, Tasks: 40, Accelerators: 2, Time: 10 * time.Second}
	}
	running := func(k Kind) Work { return Work{Kind: k, Tasks: 4, Accelerators: 2, Time: 5 * time.Second} }
	tests := []struct {
		name             string
		waiting, running []Work
		workers          int           // of 8 accelerators
		want             time.Duration // of the kind long, for one accelerator
	}{
		{name: "nothing", workers: 1},
		{name: "no workers", waiting: []Work{waiting(long, true)}},
		// 80 accelerators times 10 s on 8 accelerators, of which 8 may still run for 10 s.
		{name: "same kind", waiting: []Work{waiting(long, true)}, workers: 1, want: 90 * time.Second},
		{name: "more urgent", waiting: []Work{waiting(urgent, false)}, workers: 1, want: 90 * time.Second},
		{name: "late", waiting: []Work{waiting(long, false)}, workers: 1},
		{name: "less urgent", waiting: []Work{waiting(fill, true)}, workers: 1},
		{name: "other pool", waiting: []Work{waiting(Kind{"other", "q", 0}, true)}, workers: 1},
		{name: "running", waiting: []Work{waiting(long, true)}, running: []Work{running(long)}, workers: 1, want: 95 * time.Second},
		{name: "running, may be preempted", waiting: []Work{waiting(long, true)}, running: []Work{running(fill)}, workers: 1, want: 90 * time.Second},
		{name: "only running", running: []Work{running(long)}, workers: 1},
		{name: "enough room", waiting: []Work{waiting(long, true)}, workers: 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := Summarize(Input{
				Now: rowAt, Kinds: []Kind{urgent, long, fill}, Waiting: tt.waiting, Running: tt.running,
				Pools: map[string]Capacity{"p": {Total: 8 * tt.workers}},
			})
			k, ok := r.Kind("long")
			qt.Assert(t, ok, qt.IsTrue)
			qt.Check(t, time.Duration(k.WaitMillis[0])*time.Millisecond, qt.Equals, tt.want)
			decoded, err := Decode(r.Encode())
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, decoded, qt.DeepEquals, r)
		})
	}
}

// Guards against a row that is larger than all entries may receive once a second, and against
// one that loses the kinds which wait.
func TestRowIsBounded(t *testing.T) {
	r := Row{AtMillis: 1}
	for i := range 700 {
		r.Kinds = append(r.Kinds, KindLoad{Queue: fmt.Sprintf("workspace-%03d/kind", i), Tasks: 1000, WorkMillis: 1e9, WaitMillis: [Classes]int64{int64(i), 1e6, 1e6, 1e6}})
	}
	value := r.Encode()
	qt.Check(t, len(value) <= MaxRowBytes, qt.IsTrue, qt.Commentf("%d bytes", len(value)))
	got, err := Decode(value)
	qt.Assert(t, err, qt.IsNil)
	_, ok := got.Kind("workspace-699/kind")
	qt.Check(t, ok, qt.IsTrue)
}

// Guards against refusals by a row that can't be understood, or no longer exists.
func TestUnusableRow(t *testing.T) {
	tests := []struct {
		name string
		row  table.Row
	}{
		{"empty", table.Row{}},
		{"no JSON", table.Row{Value: []byte("{")}},
		{"other type", table.Row{Value: []byte(`{"AtMillis": "now"}`)}},
		{"no time", table.Row{Value: []byte(`{"Kinds": []}`)}},
		{"negative", table.Row{Value: []byte(`{"AtMillis": 1, "Kinds": [{"Queue": "long", "Free": -1}]}`)}},
		{"wait too long", table.Row{Value: []byte(`{"AtMillis": 1, "Kinds": [{"Queue": "long", "WaitMillis": [1, 1, 1, 9223372036854775807]}]}`)}},
		{"time too late", table.Row{Value: []byte(`{"AtMillis": 9223372036854775807}`)}},
		{"out of order", table.Row{Value: []byte(`{"AtMillis": 1, "Kinds": [{"Queue": "b"}, {"Queue": "a"}]}`)}},
		{"deleted", table.Row{Deleted: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := holderOf(loaded(time.Hour, 0))
			qt.Assert(t, h.Row(), qt.IsNotNil)
			tt.row.Key = CurrentKey
			h.Apply([]table.Row{tt.row})
			qt.Check(t, h.Row(), qt.IsNil)
		})
	}
	h := holderOf(loaded(time.Hour, 0))
	h.Reset(nil)
	qt.Check(t, h.Row(), qt.IsNil)
}

// Guards against a row that is written more than once a second, or although nothing changes, and
// against one that is not renewed while work waits.
func TestPublisher(t *testing.T) {
	idle := func(at time.Duration, free int) Row {
		return Row{AtMillis: at.Milliseconds(), Kinds: []KindLoad{{Queue: "long", Free: free}}}
	}
	busy := idle(10*time.Second, 0)
	busy.Kinds = []KindLoad{{Queue: "long", Tasks: 1}}
	again := busy
	again.AtMillis += 1000
	tests := []struct {
		name string
		last Row
		next Row
		want bool
	}{
		{"first", Row{}, idle(10*time.Second, 100), true},
		{"same", idle(10*time.Second, 100), idle(time.Minute, 100), false},
		{"small change", idle(10*time.Second, 100), idle(time.Minute, 95), false},
		{"change", idle(10*time.Second, 100), idle(time.Minute, 89), true},
		{"change, too soon", idle(10*time.Second, 100), idle(10900*time.Millisecond, 0), false},
		{"work waits", busy, again, true},
		{"work no longer waits", busy, idle(11*time.Second, 0), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var p Publisher
			p.Published(tt.last)
			qt.Check(t, p.Due(tt.next), qt.Equals, tt.want)
		})
	}
}

// Guards against callers that return together, or when their jobs are of no value any more.
func TestRetryAfter(t *testing.T) {
	bySecond := make(map[time.Duration]int)
	for i := range 1000 {
		d := NewDemand(gang(fmt.Sprintf("%016x", i), 2*time.Second), longKind(), 0)
		v := NewController(holderOf(loaded(80*time.Second, 0))).Check(d, rowAt, epoch)
		qt.Assert(t, v.Refused, qt.IsTrue)
		qt.Assert(t, v.RetryAfter%time.Second, qt.Equals, time.Duration(0))
		qt.Assert(t, v.RetryAfter < v.Limit, qt.IsTrue)
		bySecond[v.RetryAfter]++
	}
	for s, n := range bySecond {
		qt.Check(t, n < 300, qt.IsTrue, qt.Commentf("%d of 1000 return after %v", n, s))
	}
}

// Guards against a caller that uses up its five attempts in an outage which is shorter than it
// could wait for, and against urgent callers that return late.
func TestRetryAfterOutage(t *testing.T) {
	for i := range 200 {
		id := fmt.Sprintf("%016x", i)
		qt.Assert(t, RetryAfterOutage(id, true, 5*time.Second), qt.Equals, time.Second)
		down := time.Duration(0)
		for range 4 {
			r := RetryAfterOutage(id, false, down)
			qt.Assert(t, r >= time.Second && r <= maxOutageRetry, qt.IsTrue, qt.Commentf("%v after %v", r, down))
			down += r
		}
		qt.Assert(t, down >= 5200*time.Millisecond, qt.IsTrue, qt.Commentf("the last attempt is after %v", down))
	}
}

// Guards against a caller that is refused again although it returns when it was told to, or
// after it changed its entry's memory for others: a workspace that floods must neither displace
// the callers of another one nor have all of its own accepted at their second attempts.
func TestReturns(t *testing.T) {
	controller := NewController(holderOf(loaded(70*time.Second, 0)))
	demand := func(workspace string, i int) Demand {
		j := gang(fmt.Sprintf("%s-%d", workspace, i), 2*time.Second)
		j.Workspace = workspace
		return NewDemand(j, longKind(), 0)
	}
	now := epoch
	const flood = 20_000
	for i := range flood {
		qt.Assert(t, controller.Check(demand("flood", i), rowAt, now).Refused, qt.IsTrue)
	}
	qt.Check(t, controller.Returns(), qt.Equals, maxReturnsShare)
	v := controller.Check(demand("quiet", 1), rowAt, now)
	qt.Assert(t, v.Refused, qt.IsTrue)

	// Too early, and by somebody else.
	now = now.Add(v.RetryAfter - time.Millisecond)
	v = controller.Check(demand("quiet", 1), rowAt, now)
	qt.Check(t, v.Refused, qt.IsTrue)
	now = now.Add(v.RetryAfter)
	qt.Check(t, controller.Check(demand("quiet", 2), rowAt, now).Refused, qt.IsTrue)
	accepted := 0
	for i := range flood {
		if !controller.Check(demand("flood", i), rowAt, now).Refused {
			accepted++
		}
	}
	qt.Check(t, accepted <= int(returnBurst/returnInterval), qt.IsTrue, qt.Commentf("%d accepted", accepted))
	v = controller.Check(demand("quiet", 1), rowAt, now)
	qt.Check(t, v.Reason, qt.Equals, ReasonReturning)
}

// Guards against refused jobs that would have been of value: a queue with an overload of work,
// whose declared times are wrong, is served in order, and every refused job is tracked.
func TestRefusedJobsWereLost(t *testing.T) {
	for seed := range uint64(8) {
		rng := rand.New(rand.NewPCG(seed, 7))
		const accelerators = 16
		free := make([]time.Duration, accelerators) // when each accelerator becomes free
		refused, wrong := 0, 0
		var queue []Work
		var ends []time.Duration // of the waiting work, at which it starts
		for now := time.Duration(0); now < 5*time.Minute; now += 200 * time.Millisecond {
			for len(ends) > 0 && ends[0] <= now {
				queue, ends = queue[1:], ends[1:]
			}
			declared := time.Duration(4+rng.IntN(6)) * time.Second
			actual := time.Duration(float64(declared) * (0.6 + rng.Float64()))
			var running []Work
			idle := 0
			for _, f := range free {
				if f <= now {
					idle++
				}
			}
			for range accelerators - idle {
				running = append(running, Work{Kind: Kind{"long", "", 1}, Tasks: 1, Accelerators: 1, Time: 2 * time.Second})
			}
			r := Summarize(Input{Now: rowAt, Kinds: []Kind{{"long", "", 1}}, Waiting: queue, Running: running, Pools: map[string]Capacity{"": {accelerators, idle}}})
			j := job.Job{ID: fmt.Sprint(now), Kind: "long", Steps: []job.Step{{Tasks: 1, Accelerators: 1, EstimateMillis: declared.Milliseconds()}}}
			v := NewController(holderOf(r)).Check(NewDemand(j, longKind(), 0), rowAt, epoch)
			earliest := 0
			for i := range free {
				if free[i] < free[earliest] {
					earliest = i
				}
			}
			start := max(free[earliest], now)
			if v.Refused {
				refused++
				if objective := 3*actual + time.Second; start+actual-now <= lostAfter*objective {
					wrong++
				}
				continue
			}
			free[earliest] = start + actual
			if start > now {
				queue = append(queue, Work{Kind: Kind{"long", "", 1}, OnTime: true, Tasks: 1, Accelerators: 1, Time: declared})
				ends = append(ends, start)
			}
		}
		qt.Check(t, wrong, qt.Equals, 0, qt.Commentf("seed %d: %d of %d", seed, wrong, refused))
		qt.Check(t, refused > 0, qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}

// Guards against a detail of a refusal that does not say why.
func TestDetail(t *testing.T) {
	v := Verdict{Wait: 70 * time.Second, Limit: 40 * time.Second}
	qt.Check(t, strings.Contains(v.Detail(), "70 s") && strings.Contains(v.Detail(), "40 s"), qt.IsTrue)
}
