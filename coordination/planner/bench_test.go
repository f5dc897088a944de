package planner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/speed"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

// benchTasksPerTarget is the number of tasks that run on each target in the benchmarks. It is
// about the density of a site of 7,400 workers with 84,000 tasks.
const benchTasksPerTarget = 11

// benchPlanner returns a planner with n targets and benchTasksPerTarget tasks running on each.
func benchPlanner(b *testing.B, n int) (*Planner, time.Time) {
	b.Helper()
	now := time.Unix(1_800_000_000, 0)
	p := New(Settings{StopTime: time.Second, GangWait: time.Second, FarFactor: 3, Policy: Policy{NoHeadroom: true}}, zerolog.Nop())
	p.SetConfig(testConfig())
	p.SetLoaded()
	for i := range n {
		name := fmt.Sprintf("t%05d", i)
		p.Report(name, &agentrpc.WatchReply{Listed: true, Look: 1, Boot: 1, Worker: &agentrpc.Worker{
			Life: &agentrpc.Life{Worker: name, Born: 1}, Pool: testPool, Cpu: 128_000, MemoryMb: 262_144, Accelerators: 16,
			Rack: fmt.Sprintf("r%05d", i/3),
		}}, now)
	}
	const tasksPerJob = 10
	for i := range n * benchTasksPerTarget / tasksPerJob {
		p.AddJob(newJob(fmt.Sprintf("j%06d", i), "long", job.Step{Tasks: tasksPerJob, Accelerators: 1, EstimateMillis: 28_800_000}), nil, now)
	}
	for {
		if p.Plan(now).Empty() {
			return p, now
		}
	}
}

// BenchmarkPass measures passes on a busy site. idle measures passes with nothing to do,
// waiting those with a gang of 64 that does not fit, and gang those that each place a gang of
// 64.
func BenchmarkPass(b *testing.B) {
	for _, n := range []int{11, 100, 460, 1000} {
		b.Run(fmt.Sprintf("idle/%d", n), func(b *testing.B) {
			p, now := benchPlanner(b, n)
			for b.Loop() {
				now = now.Add(maxPassInterval)
				p.Plan(now)
			}
		})
		b.Run(fmt.Sprintf("waiting/%d", n), func(b *testing.B) {
			p, now := benchPlanner(b, n)
			p.AddJob(newJob("gang", "long", job.Step{Tasks: 64, Accelerators: 16, Gang: true}), nil, now)
			for b.Loop() {
				now = now.Add(maxPassInterval)
				p.Plan(now)
			}
		})
		if n < 64 {
			continue
		}
		b.Run(fmt.Sprintf("gang/%d", n), func(b *testing.B) {
			p, now := benchPlanner(b, n)
			i := 0
			for b.Loop() {
				i++
				id := fmt.Sprintf("gang-%d", i)
				p.AddJob(newJob(id, "long", job.Step{Tasks: 64, Accelerators: 1, Gang: true}), nil, now)
				p.Plan(now)
				b.StopTimer()
				p.Cancel(id, now)
				for _, o := range p.jobs[id].occurrences {
					for _, t := range o.steps[0].tasks {
						for len(t.runs) > 0 {
							p.removeRun(t.runs[0])
						}
					}
				}
				p.Plan(now)
				b.StartTimer()
			}
		})
	}
}

// BenchmarkPassWithSpeeds measures passes like BenchmarkPass with speeds that differ, and the
// updates of the learner in between, which are made every 250 ms to 1.5 s.
func BenchmarkPassWithSpeeds(b *testing.B) {
	const n = 460
	for _, learns := range []bool{false, true} {
		b.Run(fmt.Sprintf("gang/learns=%v", learns), func(b *testing.B) {
			p, now := benchPlanner(b, n)
			if learns {
				p.speeds = speed.New()
				entries := make([]string, 0, n)
				for i, t := range p.sortedTargets {
					t.speed = p.speeds.Worker(t.name)
					entries = append(entries, fmt.Sprintf(`%q:[%d,7]`, t.name, 4-16*(i%4/3)))
				}
				p.RestoreSpeeds([]byte(`{"Uneven":true,"Workers":{`+strings.Join(entries, ",")+`}}`), now)
			}
			i := 0
			for b.Loop() {
				i++
				id := fmt.Sprintf("gang-%d", i)
				p.AddJob(newJob(id, "long", job.Step{Tasks: 64, Accelerators: 1, Gang: true}), nil, now)
				p.Plan(now)
				b.StopTimer()
				p.Cancel(id, now)
				for _, o := range p.jobs[id].occurrences {
					for _, t := range o.steps[0].tasks {
						for len(t.runs) > 0 {
							p.removeRun(t.runs[0])
						}
					}
				}
				p.Plan(now)
				b.StartTimer()
			}
		})
	}
	b.Run("update", func(b *testing.B) {
		l, now := speed.New(), time.Unix(1_800_000_000, 0)
		for i := range n * benchTasksPerTarget / 10 {
			s := l.NewStep("long", time.Hour, false)
			for k := range 10 {
				s.Observe(k, l.Worker(fmt.Sprintf("t%05d", (i*10+k)/benchTasksPerTarget)), time.Hour, 50, now)
			}
		}
		for b.Loop() {
			l.Update(now)
		}
	})
}
