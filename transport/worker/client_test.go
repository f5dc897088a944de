package worker_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/protocol/workerapi"
	"github.com/medlargrade/medlargrade/standin/pipenet"
	standin "github.com/medlargrade/medlargrade/standin/worker"
	"github.com/medlargrade/medlargrade/transport/worker"
)

type site struct {
	net    pipenet.Network
	worker *standin.Worker
	client *worker.Client
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{worker: standin.New(standin.Settings{}, zerolog.Nop())}
	hc := s.net.TestHTTP(t, "t1", "w1:80", s.worker)
	s.client = worker.New(hc, worker.Settings{Address: "http://w1:80"})
	t.Cleanup(s.worker.Close)
	return s
}

func task(id, payload string) worker.Task {
	return worker.Task{ID: id, Slots: 1, Payload: []byte(payload), Lease: 6 * time.Second, Workspace: "w", Kind: "k"}
}

// errorType names the error of the client that err holds.
func errorType(err error) string {
	var (
		refused   *worker.RefusedError
		duplicate *worker.DuplicateError
		lost      *worker.LostAnswerError
	)
	switch {
	case err == nil:
		return "none"
	case errors.As(err, &refused):
		return strings.TrimSpace("refused " + string(refused.Code))
	case errors.As(err, &duplicate):
		return "duplicate"
	case errors.As(err, &lost):
		return "lost"
	}
	return err.Error()
}

// Guards against a launch that is reported as not taken although the worker
// may run it, and against a task that the worker takes twice.
func TestLaunchErrors(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *site)
		task  worker.Task
		want  string
		again string // error of a second launch after the fault
		ran   bool   // after the first launch
	}{
		{name: "none", task: task("j/1", "x"), want: "none", again: "duplicate", ran: true},
		{name: "answer lost", fault: func(s *site) { s.worker.SetFaults(standin.Faults{LoseAnswers: 1}) }, task: task("j/1", "x"), want: "lost", again: "duplicate", ran: true},
		{name: "cut off", fault: func(s *site) { s.worker.SetFaults(standin.Faults{CutOff: true}) }, task: task("j/1", "x"), want: "lost", again: "none"},
		{name: "dial refused", fault: func(s *site) {
			s.net.Reset("t1", "w1")
			s.net.SetRefuse("t1", "w1", true)
		}, task: task("j/1", "x"), want: "refused", again: "none"},
		{name: "silent connection", fault: func(s *site) { s.net.Freeze("t1", "w1") }, task: task("j/1", "x"), want: "lost", again: "none"},
		{name: "no slots", task: worker.Task{ID: "j/1", Slots: 0, Lease: time.Second}, want: "refused Invalid", again: "refused Invalid"},
		{name: "too many slots", task: worker.Task{ID: "j/1", Slots: 9, Lease: time.Second}, want: "refused Invalid", again: "refused Invalid"},
		{name: "no lease", task: worker.Task{ID: "j/1", Slots: 1}, want: "refused Invalid", again: "refused Invalid"},
		{name: "busy", task: worker.Task{ID: "j/1", Slots: 8, Lease: time.Second}, want: "refused Busy", again: "refused Busy"},
		{name: "shut down", fault: func(s *site) { s.worker.Close() }, task: task("j/1", "x"), want: "refused Down", again: "refused Down"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, ctx := newSite(t), t.Context()
				other := task("other", `{"RunMillis":60000}`)
				other.Lease = time.Hour
				qt.Assert(t, s.client.Launch(ctx, other), qt.IsNil)
				synctest.Wait()
				if tt.fault != nil {
					tt.fault(s)
				}
				err := s.client.Launch(ctx, tt.task)
				qt.Check(t, errorType(err), qt.Equals, tt.want)
				qt.Check(t, len(s.worker.History()) == 2, qt.Equals, tt.ran)
				s.worker.SetFaults(standin.Faults{})
				s.net.SetRefuse("t1", "w1", false)
				err = s.client.Launch(ctx, tt.task)
				qt.Check(t, errorType(err), qt.Equals, tt.again)
			})
		})
	}
}

// Guards against refusals that something else than the worker gives, and
// against the reply for another task.
func TestForeignReplies(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
	}{
		{name: "503 of a proxy", status: 503, body: "unavailable"},
		{name: "404 of a router", status: 404, body: "404 page not found"},
		{name: "200 without a body", status: 200},
		{name: "200 for another task", status: 200, body: `{"ID":"j/2","State":"Done"}`},
		{name: "redirect", status: 308},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var n pipenet.Network
			hc := n.TestHTTP(t, "t1", "w1:80", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", "/again")
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.body))
			}))
			c := worker.New(hc, worker.Settings{Address: "http://w1:80"})
			qt.Check(t, errorType(c.Launch(t.Context(), task("j/1", ""))), qt.Equals, "lost")
		})
	}
}

// Guards against user code before the release, and a task that is stopped
// before it and not reported as never having run.
func TestHeldTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, ctx := newSite(t), t.Context()
		held := task("j/1", `{"RunMillis":100,"Result":{"A":1}}`)
		held.Held = true
		r, err := s.client.LaunchAndWait(ctx, held, time.Second)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, r.Held, qt.IsTrue)
		qt.Check(t, s.worker.History(), qt.HasLen, 0)
		qt.Check(t, errorType(s.client.Checkpoint(ctx, "j/1")), qt.Equals, "refused NotRunning")
		qt.Check(t, errorType(s.client.Throttle(ctx, "j/1")), qt.Equals, "refused NotRunning")
		qt.Assert(t, s.client.Release(ctx, "j/1"), qt.IsNil)
		r, err = s.client.Wait(ctx, "j/1", time.Second)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, r, qt.DeepEquals, worker.Result{Done: true, Body: []byte(`{"A":1}`), RunTime: 100 * time.Millisecond})
		qt.Check(t, s.client.Release(ctx, "j/1"), qt.IsNil)

		for _, end := range []struct {
			id     string
			stop   func(id string) error
			reason string
		}{
			{"j/2", func(id string) error { return s.client.Stop(ctx, id) }, workerapi.StopRequested},
			{"j/3", func(string) error { time.Sleep(6 * time.Second); return nil }, workerapi.StopLease},
		} {
			held.ID = end.id
			qt.Assert(t, s.client.Launch(ctx, held), qt.IsNil)
			qt.Assert(t, end.stop(end.id), qt.IsNil)
			qt.Check(t, errorType(s.client.Release(ctx, end.id)), qt.Equals, "refused NotRunning")
			r, err = s.client.Wait(ctx, end.id, time.Second)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, r, qt.DeepEquals, worker.Result{Stopped: true, NeverRan: true, StopReason: end.reason})
		}
		qt.Check(t, s.worker.History(), qt.HasLen, 1)
		qt.Check(t, s.client.Stop(ctx, "j/9"), qt.ErrorIs, worker.ErrUnknownTask)
		time.Sleep(10 * time.Minute)
		qt.Check(t, errorType(s.client.Launch(ctx, held)), qt.Equals, "duplicate")
	})
}

// Guards against a lease that stops a renewed task, or fails to stop another.
func TestLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, ctx := newSite(t), t.Context()
		for _, id := range []string{"renewed", "lapsing"} {
			qt.Assert(t, s.client.Launch(ctx, task(id, `{"RunMillis":20000}`)), qt.IsNil)
		}
		qt.Assert(t, s.client.Launch(ctx, task("ended", "")), qt.IsNil)
		start := time.Now()
		for time.Since(start) < 19*time.Second {
			time.Sleep(2 * time.Second)
			lost, err := s.client.Renew(ctx, []string{"renewed", "ended"}, 6*time.Second)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, lost, qt.HasLen, 0)
		}
		lost, err := s.client.Renew(ctx, []string{"renewed", "lapsing", "none"}, 6*time.Second)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, lost, qt.DeepEquals, []string{"lapsing", "none"})
		r, err := s.client.Wait(ctx, "lapsing", 0)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, r.Stopped && !r.NeverRan && r.StopReason == workerapi.StopLease, qt.IsTrue)

		records := s.worker.History()
		qt.Assert(t, records, qt.HasLen, 3)
		qt.Check(t, records[0].Ended, qt.Equals, standin.EndDone)
		qt.Check(t, records[0].End.Sub(start), qt.Equals, 20*time.Second)
		qt.Check(t, records[1].Ended, qt.Equals, standin.EndStopped)
		qt.Check(t, records[1].End.Sub(start), qt.Equals, 6100*time.Millisecond) // lease and stop time
	})
}

// Guards against times and results that differ from what payload, faults,
// throttle and limit ask for.
func TestBehaviour(t *testing.T) {
	tests := []struct {
		name    string
		payload string
		limit   time.Duration
		during  func(t *testing.T, s *site) // while the task runs
		want    worker.Result
	}{
		{name: "echo", payload: "\x00\xff", want: worker.Result{Done: true, Body: []byte("\x00\xff")}},
		{name: "echo JSON", payload: `[1]`, want: worker.Result{Done: true, Body: []byte(`[1]`)}},
		{name: "run", payload: `{"RunMillis":300,"ResultBytes":5}`, want: worker.Result{Done: true, Body: []byte(`"xxx"`), RunTime: 300 * time.Millisecond}},
		{name: "fail", payload: `{"RunMillis":300,"Fail":"no"}`, want: worker.Result{Done: true, Failed: true, Error: "no", RunTime: 300 * time.Millisecond}},
		{name: "straggle", payload: `{"RunMillis":300,"Straggle":2.5,"Result":1}`, want: worker.Result{Done: true, Body: []byte("1"), RunTime: 750 * time.Millisecond}},
		{name: "limit", payload: `{"RunMillis":3000}`, limit: time.Second, want: worker.Result{Stopped: true, StopReason: workerapi.StopLimit, RunTime: 1100 * time.Millisecond}},
		{name: "throttle", payload: `{"RunMillis":300,"Result":1}`, during: func(t *testing.T, s *site) {
			qt.Check(t, s.client.Throttle(t.Context(), "j"), qt.IsNil) // 200 ms of work remain
		}, want: worker.Result{Done: true, Body: []byte("1"), RunTime: 2100 * time.Millisecond}},
		{name: "worker straggles", payload: `{"RunMillis":300,"Result":1}`, during: func(_ *testing.T, s *site) {
			s.worker.SetFaults(standin.Faults{Straggle: 3})
		}, want: worker.Result{Done: true, Body: []byte("1"), RunTime: 700 * time.Millisecond}},
		{name: "checkpoint and stop", payload: `{"RunMillis":3000}`, during: func(t *testing.T, s *site) {
			start := time.Now()
			qt.Check(t, s.client.Checkpoint(t.Context(), "j"), qt.IsNil)
			qt.Check(t, time.Since(start), qt.Equals, 500*time.Millisecond)
			qt.Check(t, s.client.Stop(t.Context(), "j"), qt.IsNil)
			qt.Check(t, time.Since(start), qt.Equals, 600*time.Millisecond)
		}, want: worker.Result{Stopped: true, StopReason: workerapi.StopRequested, RunTime: 700 * time.Millisecond, Checkpoint: 100 * time.Millisecond}},
		{name: "cut off", payload: `{"RunMillis":300,"Result":1}`, during: func(t *testing.T, s *site) {
			s.worker.SetFaults(standin.Faults{CutOff: true})
			_, err := s.client.Wait(t.Context(), "j", 0)
			qt.Check(t, errorType(err), qt.Equals, "lost")
			s.worker.SetFaults(standin.Faults{})
		}, want: worker.Result{Done: true, Body: []byte("1"), RunTime: 300 * time.Millisecond}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, ctx := newSite(t), t.Context()
				launched := task("j", tt.payload)
				launched.Limit = tt.limit
				r, err := s.client.LaunchAndWait(ctx, launched, 100*time.Millisecond)
				qt.Assert(t, err, qt.IsNil)
				if tt.during != nil {
					tt.during(t, s)
				}
				if !r.Done {
					r, err = s.client.Wait(ctx, "j", 5*time.Second)
					qt.Assert(t, err, qt.IsNil)
				}
				qt.Check(t, r, qt.DeepEquals, tt.want)
			})
		})
	}
}
