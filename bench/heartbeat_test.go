package bench

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/medlargrade/medlargrade/coordination/configsync"
	"github.com/medlargrade/medlargrade/coordination/scheduler"
	"github.com/medlargrade/medlargrade/protocol/entryrpc"
	"github.com/medlargrade/medlargrade/protocol/targetrpc"
	"github.com/medlargrade/medlargrade/transport/entry"
)

// countedConn counts the bytes of both directions.
type countedConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

// staticConfig is the configuration of an entry without a store.
type staticConfig struct{ configsync.Holder }

func (c *staticConfig) IsReady() bool { return true }
func (c *staticConfig) Learn(uint64)  {}

// staticMembers are the addresses of the entries that replies carry.
type staticMembers []string

func (m staticMembers) Silent(string, uint64) bool     { return false }
func (m staticMembers) SilentEntries() []string        { return nil }
func (m staticMembers) Addresses() []string            { return m }
func (m staticMembers) Remove(context.Context, string) {}

// configless serves heartbeats only.
type configless struct {
	*scheduler.Scheduler
}

func (configless) FetchConfig(context.Context, *entryrpc.FetchConfigRequest) (*entryrpc.FetchConfigReply, error) {
	return nil, fmt.Errorf("no configuration")
}

// heartbeatServer is an entry's scheduler behind its real server.
type heartbeatServer struct {
	client         entryrpc.DRPCEntryClient
	sent, received atomic.Int64 // by the reporting side
}

func newHeartbeatServer(b *testing.B, entries int) *heartbeatServer {
	b.Helper()
	var members staticMembers
	for i := range entries {
		members = append(members, fmt.Sprintf("10.%d.0.10:8082", i))
	}
	sched := scheduler.New(scheduler.Settings{Entry: "e1"}, scheduler.Peers{Config: &staticConfig{}, Members: members}, zerolog.Nop(), metrics.NewSet())
	var lc net.ListenConfig
	lis, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- entry.Serve(ctx, lis, configless{sched}) }()
	s := new(heartbeatServer)
	dialer := &net.Dialer{Timeout: time.Second}
	pool := entry.NewPool(entry.Settings{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		return countedConn{conn, &s.sent, &s.received}, err
	}})
	s.client, err = pool.Client(ctx, lis.Addr().String())
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(func() {
		qt.Check(b, pool.Close(), qt.IsNil)
		cancel()
		qt.Check(b, <-done, qt.IsNil)
		sched.Close()
	})
	return s
}

// fullHeartbeat is the first report of a target, or the one after NeedFull.
func fullHeartbeat(target, tasks int) *entryrpc.HeartbeatRequest {
	r := steadyHeartbeat(target, 1)
	r.Base, r.FreeSlots = 0, uint32(16-tasks)
	for k := range tasks {
		r.Tasks = append(r.Tasks, taskStatus(target, k))
	}
	r.Results = []*entryrpc.KindResult{
		{Workspace: "team-104", Kind: "training", Succeeded: 120, Failed: 3},
		{Workspace: "team-104", Kind: "evaluation", Succeeded: 1200, Failed: 3},
	}
	return r
}

func taskStatus(target, k int) *entryrpc.TaskStatus {
	return &entryrpc.TaskStatus{
		Attempt:   &targetrpc.AttemptID{Job: fmt.Sprintf("JOB%08d%015d", target, k), Number: 1},
		Workspace: "team-104", Kind: "training", Class: "long", Slots: 1, Released: true,
		RunMillis: 7_200_000, CheckpointMillis: 300_000, Members: 8,
		Hub: &targetrpc.Member{Target: fmt.Sprintf("t%d", target), Address: "10.1.20.30:8090", Incarnation: 1 << 63},
	}
}

// steadyHeartbeat carries no changes.
func steadyHeartbeat(target int, sequence uint64) *entryrpc.HeartbeatRequest {
	return &entryrpc.HeartbeatRequest{
		Target: fmt.Sprintf("t%d", target), Address: "10.1.20.30:8090", DataCentre: "region1-dc2", Rack: fmt.Sprintf("region1-dc2-r%d", target/3),
		Incarnation: 1 << 63, Sequence: sequence, Base: sequence - 1, Generation: 4_000_000,
		Slots: 16, Connections: 64, Ready: true, WorkerLoad: 80, FreeSlots: 4,
	}
}

// processorTime is the time that this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	qt.Assert(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u), qt.IsNil)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkHeartbeat measures the bytes of a heartbeat on the connection, with the
// framing of drpc, and the processor time of both sides together. The targets
// report to one entry in turn.
func BenchmarkHeartbeat(b *testing.B) {
	const entries = 8
	for _, targets := range []int{11, 308, 1233} {
		for _, tasks := range []int{0, 4, 12} {
			for _, mode := range []string{"steady", "full", "change"} {
				if mode == "change" && tasks == 0 {
					continue
				}
				b.Run(fmt.Sprintf("targets=%d/tasks=%d/%s", targets, tasks, mode), func(b *testing.B) {
					s := newHeartbeatServer(b, entries)
					ctx := context.Background()
					for i := range targets {
						reply, err := s.client.Heartbeat(ctx, fullHeartbeat(i, tasks))
						qt.Assert(b, err, qt.IsNil)
						qt.Assert(b, reply.GetNeedFull(), qt.IsFalse)
					}
					s.sent.Store(0)
					s.received.Store(0)
					cpu, n, body := processorTime(b), 0, 0
					for b.Loop() {
						target, sequence := n%targets, uint64(n/targets+2)
						var r *entryrpc.HeartbeatRequest
						switch mode {
						case "steady":
							r = steadyHeartbeat(target, sequence)
						case "full":
							r = fullHeartbeat(target, tasks)
							r.Sequence = sequence
						case "change": // one task ends, one starts
							r = steadyHeartbeat(target, sequence)
							r.Removed = []string{fmt.Sprintf("JOB%08d%015d/1", target, n/targets)}
							r.Tasks = []*entryrpc.TaskStatus{taskStatus(target, n/targets+tasks)}
						}
						body = proto.Size(r)
						if _, err := s.client.Heartbeat(ctx, r); err != nil {
							b.Fatal(err)
						}
						n++
					}
					b.ReportMetric(float64((processorTime(b)-cpu).Microseconds())/float64(n), "cpu-µs/op")
					b.ReportMetric(float64(s.sent.Load())/float64(n), "sent-B/op")
					b.ReportMetric(float64(s.received.Load())/float64(n), "received-B/op")
					b.ReportMetric(float64(body), "body-B")
				})
			}
		}
	}
}

// BenchmarkHeartbeatReply measures the bytes of a reply, which names all entries.
func BenchmarkHeartbeatReply(b *testing.B) {
	for _, entries := range []int{3, 8, 24, 48} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			s := newHeartbeatServer(b, entries)
			n := 0
			for b.Loop() {
				r := steadyHeartbeat(1, uint64(n+1))
				if n == 0 {
					r = fullHeartbeat(1, 0)
				}
				if _, err := s.client.Heartbeat(context.Background(), r); err != nil {
					b.Fatal(err)
				}
				n++
			}
			b.ReportMetric(float64(s.received.Load())/float64(n), "received-B/op")
			b.ReportMetric(float64(s.sent.Load())/float64(n), "sent-B/op")
		})
	}
}
