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

// direct sends tasks to a target without an entry.
type direct struct {
	session *target.Session
	count   atomic.Uint64
}

func newDirect(b *testing.B, s *site) *direct {
	b.Helper()
	pool := target.NewPool(target.Settings{
		Entry: "direct", Incarnation: 1, Dial: s.network.Dial, Generation: func() uint64 { return 1 },
	})
	b.Cleanup(func() { _ = pool.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	session, err := pool.Session(ctx, s.targets[0])
	if err != nil {
		b.Fatal(err)
	}
	return &direct{session: session}
}

// start runs one task like that of shortRequest.
func (d *direct) start() error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	id := &targetrpc.AttemptID{Job: "direct-" + strconv.FormatUint(d.count.Add(1), 10), Number: 1}
	reply, err := d.session.Client().Start(ctx, &targetrpc.StartRequest{
		Session: d.session.ID(), Incarnation: d.session.Incarnation(), Attempt: id, WaitMillis: 1000, Generation: 1,
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
// request. Requests through the entry and direct calls to the only target
// alternate, so that both meet the same state of the machine.
func BenchmarkAddedTime(b *testing.B) {
	s := newSite(b, 1)
	d := newDirect(b, s)
	through, straight := newLatencies(), newLatencies()
	for b.Loop() {
		if err := straight.measure(d.start); err != nil {
			b.Fatal(err)
		}
		if err := through.measure(func() error { return s.submit(shortRequest()) }); err != nil {
			b.Fatal(err)
		}
	}
	straight.report(b, "direct-")
	through.report(b, "entry-")
	b.ReportMetric(through.micros(50)-straight.micros(50), "added-p50-µs")
	b.ReportMetric(through.micros(99)-straight.micros(99), "added-p99-µs")
}

// BenchmarkThroughput measures short requests through one entry to six targets.
func BenchmarkThroughput(b *testing.B) {
	for _, callers := range []int{1, 4, 16, 32, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			s := newSite(b, 6)
			times := newLatencies()
			var failed atomic.Int64
			var firstErr atomic.Value
			b.ResetTimer()
			start := time.Now()
			var wg sync.WaitGroup
			var next atomic.Int64
			for range callers {
				wg.Go(func() {
					for next.Add(1) <= int64(b.N) {
						if err := times.measure(func() error { return s.submit(shortRequest()) }); err != nil {
							failed.Add(1)
							firstErr.CompareAndSwap(nil, err.Error())
						}
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "requests/s")
			b.ReportMetric(float64(failed.Load()), "failed")
			times.report(b, "")
			if failed.Load() > 0 {
				b.Logf("first failure: %v", firstErr.Load())
			}
		})
	}
}
