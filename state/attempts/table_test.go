package attempts

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func single(job string, slots int) Spec { return Spec{ID: ID{Job: job, Number: 1}, Slots: slots} }

// inBubble runs a subtest in a synctest bubble.
func inBubble(t *testing.T, name string, f func(t *testing.T)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
}

// Guards against a fence or an answer that is forgotten within the retention,
// and against memory that grows with the number of ended attempts.
func TestSweep(t *testing.T) {
	const n = 100
	tests := []struct {
		name    string
		fetched bool
		records int // after the sweep within the retention
		phase   Phase
	}{
		{name: "fetched answers give way to markers", fetched: true, records: 10, phase: Stopped},
		{name: "unfetched answers are kept", records: n, phase: Ran},
	}
	for _, tt := range tests {
		inBubble(t, tt.name, func(t *testing.T) {
			tab := NewTable(Limits{Slots: 8, KeptRecords: 10})
			s := tab.OpenSession("e", 1)
			for i := range n {
				spec := single(fmt.Sprint(i), 1)
				_, ok := tab.Admit(spec, s, 0)
				qt.Assert(t, ok, qt.IsTrue)
				tab.Finish(spec.ID, End{Phase: Ran, Part: Part{Body: []byte("x")}})
				tab.Free(spec.ID)
				tab.Disown(spec.ID)
				if tt.fetched {
					tab.Fetched(spec.ID)
				}
				time.Sleep(time.Millisecond)
			}
			first := ID{Job: "0", Number: 1}
			check := func() {
				qt.Assert(t, tab.Get(first).Phase, qt.Equals, tt.phase)
				qt.Assert(t, tab.Fence(first, CodeFenced, "").Phase, qt.Equals, tt.phase)
				_, ok := tab.Admit(single("0", 1), tab.OpenSession("e", 1), 0)
				qt.Assert(t, ok, qt.IsFalse)
			}
			tab.Sweep()
			check()
			qt.Assert(t, tab.List(func(*Status) bool { return true }), qt.HasLen, tt.records)
			time.Sleep(DefaultRetention - time.Second)
			tab.Sweep()
			check()
			time.Sleep(time.Second)
			tab.Sweep()
			qt.Assert(t, tab.Get(first).Phase, qt.Equals, None)
			qt.Assert(t, tab.List(func(*Status) bool { return true }), qt.HasLen, 0)
		})
	}
}

// Guards against a lane that long work takes, short work that is kept out of it,
// and holds that others take or that outlive their time.
func TestSlots(t *testing.T) {
	claim, other := ID{Job: "claim"}, ID{Job: "other"}
	tests := []struct {
		name     string
		held     int           // of 8 slots for claim, the others are free
		wait     time.Duration // before the request
		id       ID
		n        int
		keepFree int
		ok       bool
	}{
		{name: "fits", id: other, n: 8, ok: true},
		{name: "too many", id: other, n: 9},
		{name: "lane kept", id: other, n: 7, keepFree: 1, ok: true},
		{name: "lane taken", id: other, n: 8, keepFree: 1},
		{name: "held for another", held: 4, id: other, n: 5},
		{name: "beside the hold", held: 4, id: other, n: 4, ok: true},
		{name: "own hold", held: 8, id: claim, n: 8, ok: true},
		{name: "own hold needs no lane", held: 8, id: claim, n: 8, keepFree: 1, ok: true},
		{name: "beyond the own hold", held: 4, id: claim, n: 8, keepFree: 1},
		{name: "hold expired", held: 8, wait: 10 * time.Second, id: other, n: 8, ok: true},
	}
	for _, tt := range tests {
		inBubble(t, tt.name, func(t *testing.T) {
			s := slots{total: 8, holds: make(map[ID]hold)}
			qt.Assert(t, s.take(ID{Job: "victim"}, tt.held, 0), qt.IsTrue)
			s.give(tt.held, claim, 10*time.Second)
			time.Sleep(tt.wait)
			qt.Assert(t, s.take(tt.id, tt.n, tt.keepFree), qt.Equals, tt.ok)
			if !tt.ok {
				return
			}
			s.give(tt.n, ID{}, 0)
			if tt.id != claim {
				s.drop(claim)
			}
			qt.Assert(t, s.free(), qt.Equals, 8)
		})
	}
}

// Guards against a hub that gives the verdict Run, or an answer, without all
// members.
func TestGangDecisions(t *testing.T) {
	spec := Spec{ID: ID{Job: "g", Number: 1}, Slots: 1, Members: []Member{{Incarnation: 1}, {Incarnation: 2}}}
	// A step is a pulse: a letter for the state and the index of the member.
	states := map[byte]MemberState{'h': MemberHeld, 'd': MemberDone, 'l': MemberLost, 'x': MemberHeld}
	pulses := func(tab *Table, steps string) {
		for _, step := range strings.Fields(steps) {
			i := int(step[1] - '0')
			p := Pulse{ID: spec.ID, Index: i, Incarnation: uint64(i + 1), State: states[step[0]]}
			if step[0] == 'x' {
				p.Incarnation = 9
			}
			tab.Pulse(p)
		}
	}
	tests := []struct {
		name    string
		before  string
		wait    time.Duration
		release Phase
		after   string
		end     Phase
	}{
		{name: "whole", before: "h0 h1", release: Running, after: "d1 d0", end: Ran},
		{name: "part missing", before: "h0 h1", release: Running, after: "d1", end: Running},
		{name: "member lost", before: "h0 h1", release: Running, after: "l1 d0", end: Stopped},
		{name: "done is final", before: "h0 h1", release: Running, after: "d1 l1 d0", end: Ran},
		{name: "one not attached", before: "h0", release: NotRun, end: NotRun},
		{name: "other process", before: "h0 x1", release: NotRun, end: NotRun},
		{name: "no such member", before: "h0 h2", release: NotRun, end: NotRun},
		{name: "attached too long ago", before: "h0 h1", wait: DefaultGangLease, release: NotRun, end: NotRun},
		{name: "done before the release", before: "h0 d1", release: NotRun, after: "d0", end: NotRun},
		{name: "reports after the refusal", release: NotRun, after: "d0 d1", end: NotRun},
	}
	for _, tt := range tests {
		inBubble(t, tt.name, func(t *testing.T) {
			tab := NewTable(Limits{Slots: 8})
			s := tab.OpenSession("e", 1)
			_, ok := tab.Admit(spec, s, 10*time.Second)
			qt.Assert(t, ok, qt.IsTrue)
			pulses(tab, tt.before)
			time.Sleep(tt.wait)
			qt.Assert(t, tab.Release(spec.ID, s).Phase, qt.Equals, tt.release)
			pulses(tab, tt.after)
			qt.Assert(t, tab.Get(spec.ID).Phase, qt.Equals, tt.end)
		})
	}
}

// Guards against a member that is released although a lease, its reservation or
// the attempt has ended.
func TestReleaseLocal(t *testing.T) {
	spec := Spec{ID: ID{Job: "g", Number: 1}, Slots: 1, Index: 1, Members: []Member{{}, {}}}
	tests := []struct {
		name  string
		lease time.Duration
		end   func(*Table)
		ok    bool
	}{
		{name: "held", lease: time.Minute, end: func(*Table) {}, ok: true},
		{name: "gang lease over", end: func(*Table) {}},
		{name: "reservation over", lease: time.Minute, end: func(*Table) { time.Sleep(10 * time.Second) }},
		{name: "fenced", lease: time.Minute, end: func(tab *Table) { tab.Fence(spec.ID, CodeFenced, "") }},
		{name: "stopped", lease: time.Minute, end: func(tab *Table) { tab.Stop(spec.ID, Stop{}) }},
		{name: "gone", lease: time.Minute, end: func(tab *Table) { tab.Free(spec.ID) }},
	}
	for _, tt := range tests {
		inBubble(t, tt.name, func(t *testing.T) {
			tab := NewTable(Limits{Slots: 8})
			tab.Admit(spec, tab.OpenSession("e", 1), time.Minute)
			tt.end(tab)
			qt.Assert(t, tab.ReleaseLocal(spec.ID, time.Now().Add(tt.lease)), qt.Equals, tt.ok)
		})
	}
}
