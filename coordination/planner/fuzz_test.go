package planner

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

// Guards against rows that end the planner, which would end each of its successors, too: a job
// and the progress of it are read as they are in the store.
func FuzzRows(f *testing.F) {
	j := newJob("j1", "urgent", job.Step{Tasks: 2, Accelerators: 4})
	f.Add(j.Encode(), job.NewProgress(j, 0).Encode())
	f.Add([]byte(`{"ID":"j","Steps":[{"Tasks":1},{"Tasks":1,"After":[7]}]}`), []byte(`{}`))
	f.Add([]byte(`{"ID":"j","Times":1000000000,"Steps":[{"Tasks":1}]}`), []byte(`{"Occurrence":999999999}`))
	f.Add([]byte(`{"ID":"j","Steps":[{"Tasks":1}]}`), []byte(`{"Occurrence":-1,"State":"odd","Steps":[{"Tasks":[{"Active":[{"Number":-1}]},{}]},{}]}`))
	f.Add([]byte(`{"ID":"j","Times":3,"Steps":[{"Tasks":1000000}]}`), []byte(`{"Steps":[{"Tasks":[{"LastRun":9223372036854775807}]}]}`))
	f.Add([]byte(`{"ID":"j","Steps":[{"Tasks":1}]}`), []byte(`{"State":"failed","Steps":[{"Tasks":[{"Crashes":[{"AtStart":true},{"Born":-1,"AfterMillis":-9223372036854775808,"AtStart":true}]}]}]}`))
	f.Fuzz(func(t *testing.T, jobRow, progressRow []byte) {
		j, err := job.Decode(jobRow)
		if err != nil {
			return
		}
		var recorded []job.Progress
		if pr, err := job.DecodeProgress(progressRow); err == nil {
			recorded = append(recorded, pr)
		}
		h := newHarness(t, 2)
		h.p.AddJob(j, recorded, h.now)
		for range 3 {
			h.advance(time.Second)
		}
		h.p.Cancel(j.ID, h.now)
		h.advance(time.Second)
		h.p.State(h.now)
	})
}

// Guards against a reply of an agent that ends the planner.
func FuzzReport(f *testing.F) {
	for _, r := range []*agentrpc.WatchReply{
		{},
		{Listed: true, Worker: &agentrpc.Worker{}},
		{Listed: true, Worker: &agentrpc.Worker{Life: &agentrpc.Life{Worker: "t00-1", Born: 1}, Cpu: -1, Accelerators: 1 << 62}},
		{Listed: true, Look: 9, Worker: &agentrpc.Worker{Life: &agentrpc.Life{Worker: "t00-1", Born: 1}, Pool: testPool, Accelerators: 8}, Running: []*agentrpc.RunStatus{
			{Task: "j1.0.0.0", Run: 1, Percent: -5}, {Task: "j1.0.0.0", Run: 1}, {Task: "x", Run: -1}, {},
		}, Ended: []*agentrpc.RunEnd{{Number: -1, Task: "j1.0.0.1", Run: 1, How: "odd"}, {}}},
		{Listed: true, Worker: &agentrpc.Worker{Life: &agentrpc.Life{Worker: "t00-2", Born: 2}, Pool: testPool, Accelerators: 8}, Crashes: []*agentrpc.Crash{
			{Life: &agentrpc.Life{Worker: "t00-1", Born: 1}, AgoMillis: -1 << 62, Runs: []*agentrpc.CrashedRun{{Task: "j1.0.0.0", Run: 1, AgeMillis: -1, Confirmed: true}, {Task: "j1.0.0.9"}, {Task: "x"}, {}}},
			{Life: &agentrpc.Life{Worker: "t00-0"}, Runs: []*agentrpc.CrashedRun{{Task: "j1.0.0.0", Run: 1, Confirmed: true}, {Task: "j1.0.0.0", Run: 1}}},
			{},
		}},
	} {
		b, err := proto.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, message []byte) {
		var r agentrpc.WatchReply
		if proto.Unmarshal(message, &r) != nil {
			return
		}
		h := newHarness(t, 2)
		h.addJob(newJob("j1", "urgent", job.Step{Tasks: 2, Accelerators: 4, Gang: true}))
		h.p.Report("t00", &r, h.now)
		h.p.Plan(h.now)
		for range 3 {
			h.advance(time.Second)
		}
		h.p.State(h.now)
	})
}
