package agent_test

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/medlargrade/medlargrade/coordination/agent"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/table/tabletest"
)

// Guards against a message of a planner that ends the agent.
func FuzzRequests(f *testing.F) {
	life := &agentrpc.Life{Worker: "w-1", Born: 7}
	for _, m := range []proto.Message{
		&agentrpc.WatchRequest{},
		&agentrpc.WatchRequest{Epoch: 1 << 63, Fence: -1, Life: life, SeenEnd: -1, LeaseCapMillis: 1 << 62, WaitMillis: -1, Boot: 1},
		&agentrpc.OrderRequest{Epoch: 1, Fence: 1, Life: life, Orders: []*agentrpc.Order{
			{},
			{Order: &agentrpc.Order_Start{}},
			{Order: &agentrpc.Order_Stop{}},
			{Order: &agentrpc.Order_Pace{}},
			{Order: &agentrpc.Order_Start{Start: &agentrpc.Start{Task: "j", Run: -1, PayloadObject: "x"}}},
		}},
		&agentrpc.TakeOverRequest{Epoch: 3},
	} {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, message []byte) {
		w := &fakeWorker{start: time.Now(), id: "w-1", born: 7}
		a := agent.New(agent.Settings{Name: "t", LeaseMax: leaseMax}, w, tabletest.New(), zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			a.Run(ctx)
		}()
		defer func() {
			cancel()
			<-done
		}()
		a.RecordHeartbeat(agent.WorkerHeartbeat{Incarnation: &agentrpc.Life{Worker: "w-1", Born: 7}, Clock: 1, Sequence: 1})
		for a.State().Worker == "" {
			runtime.Gosched()
		}
		var watch agentrpc.WatchRequest
		if proto.Unmarshal(message, &watch) == nil {
			watch.WaitMillis = 0
			_, _ = a.Watch(t.Context(), &watch)
		}
		var order agentrpc.OrderRequest
		if proto.Unmarshal(message, &order) == nil {
			_, _ = a.Order(t.Context(), &order)
		}
		var takeOver agentrpc.TakeOverRequest
		if proto.Unmarshal(message, &takeOver) == nil {
			_, _ = a.TakeOver(t.Context(), &takeOver)
		}
		a.State()
	})
}
