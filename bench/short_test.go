package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/medlargrade/medlargrade/protocol/callerapi"
	"github.com/medlargrade/medlargrade/protocol/targetrpc"
	"github.com/medlargrade/medlargrade/transport/target"
)

var payload = []byte(`{"Result":"cut"}`)

func shortRequest() callerapi.Request {
	return callerapi.Request{Workspace: "roller", Kind: "cut-check", Payload: json.RawMessage(payload)}
}

// submit sends one request through the entry.
func (s *site) submit(req callerapi.Request) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := s.callers.Submit(ctx, req, callTimeout)
	if err != nil {
		return err
	}
	if resp.Outcome != callerapi.Ran {
		return fmt.Errorf("outcome %s, reason %s, %s", resp.Outcome, resp.Reason, resp.Detail)
	}
	return nil
}

// direct sends tasks to the targets in turn, without an entry.
type direct struct {
	sessions []*target.Session
	count    atomic.Uint64
}

func newDirect(b *testing.B, s *site) *direct {
	b.Helper()
	pool := target.NewPool(target.Settings{
		Entry: "direct", Incarnation: 1, Dial: s.network.Dial, Generation: func() uint64 { return 1 },
	})
	b.Cleanup(func() { _ = pool.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	d := new(direct)
	for _, address := range s.targets {
		session, err := pool.Session(ctx, address)
		if err != nil {
			b.Fatal(err)
		}
		d.sessions = append(d.sessions, session)
	}
	return d
}

// start runs one task like that of shortRequest.
func (d *direct) start() error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	n := d.count.Add(1)
	session := d.sessions[n%uint64(len(d.sessions))]
	id := &targetrpc.AttemptID{Job: "direct-" + strconv.FormatUint(n, 10), Number: 1}
	reply, err := session.Client().Start(ctx, &targetrpc.StartRequest{
		Session: session.ID(), Incarnation: session.Incarnation(), Attempt: id, WaitMillis: 1000, Generation: 1,
		Task: &targetrpc.Task{Workspace: "roller", Kind: "cut-check", Class: "short", Slots: 1, Payload: payload},
	})
	if err != nil {
		return err
	}
	if reply.GetState() != targetrpc.AttemptState_ATTEMPT_RAN {
		return fmt.Errorf("state %v", reply.GetState())
	}
	return targetrpc.Verify(reply)
}

// latencies collects times from several goroutines.
type latencies struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram // in nanoseconds
}

func newLatencies() *latencies {
	return &latencies{hist: hdrhistogram.New(1000, int64(callTimeout), 3)}
}

func (l *latencies) measure(f func() error) error {
	start := time.Now()
	err := f()
	took := time.Since(start)
	l.mu.Lock()
	defer l.mu.Unlock()
	return errors.Join(err, l.hist.RecordValue(int64(took)))
}

func (l *latencies) micros(percentile float64) float64 {
	return float64(l.hist.ValueAtPercentile(percentile)) / 1e3
}

func (l *latencies) report(b *testing.B, prefix string) {
	b.Helper()
	b.ReportMetric(l.micros(50), prefix+"p50-µs")
	b.ReportMetric(l.micros(99), prefix+"p99-µs")
}

// BenchmarkAddedTime measures the time that an entry adds to a short idempotent
// request. Each caller alternates requests through the entry and direct calls to a
// target, so that both meet the same state of the machine.
func BenchmarkAddedTime(b *testing.B) {
	for _, callers := range []int{1, 4, 8} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			s := newSite(b, 6)
			d := newDirect(b, s)
			through, straight := newLatencies(), newLatencies()
			b.ResetTimer()
			failed := runCallers(callers, b.N, func() error {
				return errors.Join(
					straight.measure(d.start),
					through.measure(func() error { return s.submit(shortRequest()) }),
				)
			})
			if len(failed) > 0 {
				b.Fatalf("%d calls failed, the first with %v", len(failed), failed[0])
			}
			straight.report(b, "direct-")
			through.report(b, "entry-")
			b.ReportMetric(through.micros(50)-straight.micros(50), "added-p50-µs")
			b.ReportMetric(through.micros(99)-straight.micros(99), "added-p99-µs")
		})
	}
}

// runCallers calls f n times from several goroutines and returns its errors.
func runCallers(callers, n int, f func() error) []error {
	var wg sync.WaitGroup
	var next atomic.Int64
	var mu sync.Mutex
	var failed []error
	for range callers {
		wg.Go(func() {
			for next.Add(1) <= int64(n) {
				if err := f(); err != nil {
					mu.Lock()
					failed = append(failed, err)
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return failed
}

// BenchmarkThroughput measures short requests through one entry to six targets.
func BenchmarkThroughput(b *testing.B) {
	for _, callers := range []int{1, 4, 16, 32, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			s := newSite(b, 6)
			times := newLatencies()
			b.ResetTimer()
			start := time.Now()
			failed := runCallers(callers, b.N, func() error {
				return times.measure(func() error { return s.submit(shortRequest()) })
			})
			b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "requests/s")
			b.ReportMetric(float64(len(failed)), "failed")
			times.report(b, "")
			if len(failed) > 0 {
				b.Logf("first failure: %v", failed[0])
			}
		})
	}
}
