package matrix

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/agent"
	"github.com/medlargrade/medlargrade/platform"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/standin/worker"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table/tabletest"
)

// lateSite is an agent with a simulated worker that carries out calls late, and a planner that
// calls the agent and gives up its runs once their leases have lapsed.
type lateSite struct {
	c       *qt.C
	agent   *agent.Agent
	records *worker.Site
	worker  *worker.Worker
	life    *agentrpc.Life

	mu           sync.Mutex
	lost         bool // nothing arrives at the agent
	oneWay       bool // the answers of the agent don't arrive
	epoch        uint64
	fence        int64
	boot         uint64
	revision     uint64
	leaseCap     int64
	lastAnswerAt time.Time
	givenUpAt    time.Time
	ended        []string // how the runs ended, as the planner learns it
}

// RoundTrip implements http.RoundTripper. It passes a request to the worker.
func (s *lateSite) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	rec := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			resp, err = nil, errors.New("no response")
		}
	}()
	s.worker.ServeHTTP(rec, r)
	return rec.Result(), nil
}

const (
	lateWatchPeriod = 400 * time.Millisecond
	lateLeaseSpan   = 10 * time.Second
	lateLapse       = 10700 * time.Millisecond
)

func withLateSite(t *testing.T, f func(s *lateSite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &lateSite{c: qt.New(t), epoch: 1, fence: 1}
		s.records = worker.NewSite(func(string) (job.Job, bool) { return job.Job{}, false })
		s.worker = worker.New(s.records, worker.Settings{Name: "w", LeaseMax: leaseMax}, nil, zerolog.Nop())
		id, born := s.worker.Incarnation()
		s.life = &agentrpc.Life{Worker: id, Born: born}
		client := platform.NewWorkerClient(&http.Client{Transport: s}, "http://worker")
		s.agent = agent.New(agent.Settings{Name: "target-1", LeaseMax: leaseMax}, client, tabletest.New(), zerolog.Nop())
		s.agent.RecordHeartbeat(agent.WorkerHeartbeat{Incarnation: s.life, Clock: 1, Sequence: 1})
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { s.agent.Run(ctx) })
		wg.Go(func() { s.plan(ctx) })
		time.Sleep(time.Second)
		f(s)
		cancel()
		wg.Wait()
		s.worker.Crash()
		time.Sleep(time.Minute) // until the last late call has been carried out
	})
}

// plan calls the agent until ctx ends.
func (s *lateSite) plan(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		in := &agentrpc.WatchRequest{
			Epoch: s.epoch, Fence: s.fence, Planner: "target-2", Life: s.life, LeaseCapMillis: s.leaseCap, Boot: s.boot, Revision: s.revision,
		}
		lost, oneWay := s.lost, s.oneWay
		s.mu.Unlock()
		var out *agentrpc.WatchReply
		if !lost {
			var err error
			out, err = s.agent.Watch(ctx, in)
			s.c.Check(err, qt.IsNil)
		}
		s.mu.Lock()
		if lost || oneWay {
			s.revision = 0
		} else {
			s.boot, s.revision, s.lastAnswerAt = out.GetBoot(), out.GetRevision(), time.Now()
			s.leaseCap = max(s.leaseCap, out.GetWorker().GetClockMillis()+lateLeaseSpan.Milliseconds())
			s.ended = nil
			for _, e := range out.GetEnded() {
				s.ended = append(s.ended, e.GetHow())
			}
		}
		if time.Since(s.lastAnswerAt) > lateLapse && s.givenUpAt.IsZero() {
			s.givenUpAt = time.Now()
			s.fence++
		}
		s.mu.Unlock()
		switch {
		case lost:
			time.Sleep(50 * time.Millisecond)
		case in.GetRevision() != 0:
			time.Sleep(lateWatchPeriod)
		default: // The next call is the first one with a lease cap.
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// learned returns when the runs were given up, and how they ended as the planner has learned it.
func (s *lateSite) learned() (givenUpAt time.Time, ended []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.givenUpAt, s.ended
}

func (s *lateSite) setLost(lost, oneWay bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost, s.oneWay = lost, oneWay
}

// order sends an order to start a run, which arrives after a delay, and repeats it each second
// while the planner is in contact and has not given up the run.
func (s *lateSite) order(task string, delay time.Duration) {
	for range 4 {
		s.mu.Lock()
		in := &agentrpc.OrderRequest{Epoch: s.epoch, Fence: s.fence, Life: s.life, Orders: []*agentrpc.Order{
			{Order: &agentrpc.Order_Start{Start: &agentrpc.Start{Task: task, Run: 1, Payload: `{"RunMillis":60000}`}}},
		}}
		stop := s.lost || !s.givenUpAt.IsZero()
		s.mu.Unlock()
		if stop {
			return
		}
		time.Sleep(delay)
		_, err := s.agent.Order(s.c.Context(), in)
		s.c.Check(err, qt.IsNil)
		time.Sleep(time.Second)
	}
}

// Guards against a run that is at work after the planner has given it up, in any order of
// arrival: orders to the agent are delayed, its calls to the worker are carried out 2 to 12 s late,
// with leases that count from then, and the planner does not reach the agent meanwhile.
func TestNothingRunsOnceGivenUp(t *testing.T) {
	onlyFirstShard(t)
	const seeds = 300
	gaveUp, ran := 0, 0
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withLateSite(t, func(s *lateSite) {
				r := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // reproducible draws
				upTo := func(d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }
				s.worker.SetFaults(worker.Faults{
					LateShare: 0.4, LateMillis: 2000, LateMaxMillis: 12_000, LeaseFromArrival: true, LateHolds: r.IntN(4) == 0,
				})
				var wg sync.WaitGroup
				for i := range 6 {
					at, delay := upTo(6*time.Second), time.Duration(0)
					if r.IntN(2) == 0 {
						delay = upTo(12 * time.Second)
					}
					wg.Go(func() {
						time.Sleep(at)
						s.order(fmt.Sprintf("j%d.0.0.0", i), delay)
					})
				}
				time.Sleep(4*time.Second + upTo(2*time.Second))
				s.setLost(r.IntN(3) > 0, true)
				time.Sleep(8*time.Second + upTo(16*time.Second))
				s.setLost(false, false)
				time.Sleep(15 * time.Second)
				wg.Wait()
				givenUpAt, _ := s.learned()
				if givenUpAt.IsZero() {
					return
				}
				gaveUp++
				for _, x := range s.records.Records() {
					ran++
					s.c.Check(x.Arrived.Before(givenUpAt) && !x.Ended.IsZero() && !x.Ended.After(givenUpAt), qt.IsTrue, qt.Commentf(
						"%s from %v to %v (%s) after it was given up", x.Task, x.Arrived.Sub(givenUpAt), x.Ended.Sub(givenUpAt), x.How))
				}
			})
		})
	}
	t.Logf("%d of %d histories with runs that were given up, %d runs", gaveUp, seeds, ran)
	qt.Check(t, gaveUp > seeds/4 && ran > seeds, qt.IsTrue)
}

// Guards against runs that end because the planner was away for a moment, and against runs that
// lapse, without an end that the planner learns of, although their worker can be reached.
func TestRunsWithoutPlanner(t *testing.T) {
	onlyFirstShard(t)
	tests := []struct {
		name  string
		fault func(s *lateSite)
		ended []string // as the planner learns it afterwards
	}{
		{name: "change of the planner of 7 s", fault: func(s *lateSite) {
			s.setLost(true, false)
			time.Sleep(7 * time.Second)
			s.mu.Lock()
			s.epoch, s.fence, s.revision = 2, 1<<20, 0
			s.mu.Unlock()
			s.setLost(false, false)
		}},
		{name: "planner that extends no leases", fault: func(s *lateSite) {
			s.mu.Lock()
			s.leaseCap -= 1 << 40
			s.mu.Unlock()
			time.Sleep(9500 * time.Millisecond)
			s.mu.Lock()
			s.leaseCap += 1 << 40
			s.mu.Unlock()
		}},
		{name: "no planner for 9.5 s", fault: func(s *lateSite) {
			s.setLost(true, false)
			time.Sleep(9500 * time.Millisecond)
			s.setLost(false, false)
		}, ended: []string{worker.EndStopped}},
		{name: "no planner for longer than a lease", fault: func(s *lateSite) {
			s.setLost(true, false)
			time.Sleep(14 * time.Second)
			s.setLost(false, false)
		}, ended: []string{worker.EndStopped}},
		{name: "answers that don't arrive", fault: func(s *lateSite) {
			s.setLost(false, true)
			time.Sleep(9500 * time.Millisecond)
			s.setLost(false, false)
		}, ended: []string{worker.EndStopped}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withLateSite(t, func(s *lateSite) {
				go s.order("j.0.0.0", 0)
				time.Sleep(5 * time.Second)
				s.c.Assert(s.worker.RunningTasks(), qt.HasLen, 1)
				tt.fault(s)
				time.Sleep(2 * time.Second)
				_, ended := s.learned()
				s.c.Check(ended, qt.DeepEquals, tt.ended)
				s.c.Check(len(s.worker.RunningTasks()), qt.Equals, 1-len(tt.ended))
			})
		})
	}
}
