package speed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/speed"
)

var start = time.Unix(1_800_000_000, 0)

// site observes random steps on workers of given speeds.
type site struct {
	l      *speed.Learner
	random *rand.Rand
	speeds []float64
	now    time.Time
}

func newSite(seed uint64, speeds []float64) *site {
	return &site{l: speed.New(), random: rand.New(rand.NewPCG(seed, 1)), speeds: speeds, now: start} //nolint:gosec // reproducible draws
}

func (s *site) worker(i int) *speed.Worker { return s.l.Worker(fmt.Sprintf("w%02d", i)) }

// step observes the tasks of one step on adjacent workers, 2 on each. The declared run time is off
// by up to 2.5 times, the work of the tasks has a deviation of 0.25, and in 3 % of the steps it is 7
// times the usual. If together is set, it is a gang that reports as its slowest member.
func (s *site) step(tasks int, together bool) {
	st := s.l.NewStep("kind", 5*time.Second, together)
	work := 5 * math.Exp((2*s.random.Float64()-1)*math.Log(2.5))
	if s.random.Float64() < 0.03 {
		work *= 7
	}
	first, slowest := s.random.IntN(len(s.speeds)), 10.0
	for i := range tasks {
		slowest = min(slowest, s.speeds[(first+i/2)%len(s.speeds)])
	}
	for i := range tasks {
		k := (first + i/2) % len(s.speeds)
		taskTime := work / s.speeds[k] * math.Exp(0.25*s.random.NormFloat64())
		if together {
			taskTime = work / slowest
		}
		st.Observe(i, s.worker(k), time.Duration(taskTime*float64(time.Second)), 20+s.random.Int64N(80), s.now)
	}
}

// play observes a step every 250 ms, a third of them gangs if there are any.
func (s *site) play(d time.Duration, gangs bool) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(250 * time.Millisecond) {
		s.step(1+s.random.IntN(30), gangs && s.random.IntN(3) == 0)
		s.l.Update(s.now)
	}
}

// slowQuarter returns the speeds of a site on which a quarter of the workers are slow.
func slowQuarter(workers int) []float64 {
	out := make([]float64, workers)
	for i := range out {
		out[i] = 1.2
		if i%4 == 1 {
			out[i] = 0.55
		}
	}
	return out
}

// Guards against speeds that are learned too late for short work, or are wrong, also if the gangs
// of a site report as their slowest members.
func TestSlowWorkersAreFound(t *testing.T) {
	for _, gangs := range []bool{false, true} {
		t.Run(fmt.Sprintf("gangs=%v", gangs), func(t *testing.T) {
			for seed := range uint64(10) {
				s := newSite(seed, slowQuarter(70))
				s.play(10*time.Second, gangs)
				qt.Assert(t, s.l.Uneven(), qt.IsTrue, qt.Commentf("seed %d", seed))
				wrong := 0
				for i, v := range s.speeds {
					if got := s.worker(i).Speed(); (got < 0.8) != (v < 0.8) {
						wrong++
					}
				}
				qt.Check(t, wrong <= 7, qt.IsTrue, qt.Commentf("seed %d: %d of 70 workers", seed, wrong))
			}
		})
	}
}

// Guards against random differences between equal workers that count as differences in speed.
func TestEvenSiteStaysEven(t *testing.T) {
	for seed := range uint64(40) {
		s := newSite(seed, slowQuarter(70))
		for i := range s.speeds {
			s.speeds[i] = 1
		}
		for range 30 {
			s.play(time.Second, seed%2 == 0)
			qt.Assert(t, s.l.Uneven(), qt.IsFalse, qt.Commentf("seed %d after %v", seed, s.now.Sub(start)))
		}
	}
}

// Guards against a worker that keeps its preference after it has turned slow: its runs show the
// change within 2 s.
func TestWorkerTurnsSlow(t *testing.T) {
	for seed := range uint64(10) {
		s := newSite(seed, slowQuarter(40))
		s.play(20*time.Second, false)
		before := s.worker(2).Speed()
		s.speeds[2] = 0.3
		for range 8 {
			st := s.l.NewStep("kind", 5*time.Second, false)
			for i := range 12 {
				st.Observe(i, s.worker(i/2), time.Duration(5*math.Exp(0.25*s.random.NormFloat64())/s.speeds[i/2]*float64(time.Second)), 20, s.now)
			}
			s.now = s.now.Add(250 * time.Millisecond)
			s.l.Update(s.now)
		}
		qt.Check(t, s.worker(2).Speed() < before/1.5, qt.IsTrue, qt.Commentf("seed %d: %.2f before, %.2f after", seed, before, s.worker(2).Speed()))
	}
}

// Guards against learned speeds that a change of the planner loses, and against rows that stop a
// planner or grow beyond their limit.
func TestRow(t *testing.T) {
	s := newSite(1, slowQuarter(40))
	s.play(20*time.Second, false)
	row := s.l.Encode()
	next := speed.New()
	qt.Assert(t, next.Restore(row, s.now), qt.IsNil)
	qt.Check(t, next.Uneven(), qt.IsTrue)
	for i := range s.speeds {
		name := fmt.Sprintf("w%02d", i)
		qt.Check(t, math.Abs(math.Log(next.Worker(name).Speed()/s.worker(i).Speed())) < 0.25, qt.IsTrue, qt.Commentf("%s", name))
	}
	for _, value := range []string{"", "{", `{"Workers":{"w":[1000,3]}}`, `{"Workers":{"w":[1,-3]}}`, `{"Workers":{"":[1,3]}}`, `{"Workers":7}`} {
		qt.Check(t, speed.New().Restore([]byte(value), s.now), qt.IsNotNil, qt.Commentf("%s", value))
	}
	large := newSite(1, slowQuarter(7400))
	for range 400 {
		large.step(200, false)
	}
	large.l.Update(large.now)
	qt.Check(t, len(large.l.Encode()) <= 64<<10, qt.IsTrue)
}

// Guards against a pace that includes the time before a run made progress, or that hides a change.
func TestPace(t *testing.T) {
	tests := []struct {
		name    string
		percent []int64 // reported every 500 ms
		fresh   bool    // the run is known to have begun with the first report
		want    time.Duration
	}{
		{"steady", []int64{0, 5, 10, 15, 20}, false, 10 * time.Second},
		{"waited for its gang", []int64{0, 0, 0, 10, 20}, false, 5 * time.Second},
		{"resumed", []int64{40, 45, 50, 55}, false, 10 * time.Second},
		{"turns slow", []int64{0, 20, 40, 60, 63, 66, 69, 72, 75}, false, 50 * time.Second / 3},
		{"one report", []int64{0, 50}, true, time.Second},
		{"one report of a run that may have resumed", []int64{0, 50}, false, 0},
		{"no progress", []int64{0, 0, 0, 0}, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var p speed.Pace
			for i, percent := range tt.percent {
				p.Observe(percent, start.Add(time.Duration(i)*500*time.Millisecond))
			}
			began := time.Time{}
			if tt.fresh {
				began = start
			}
			got, _, _ := p.TaskTime(began)
			qt.Check(t, got, qt.Equals, tt.want)
		})
	}
}
