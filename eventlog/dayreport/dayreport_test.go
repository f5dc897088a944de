package dayreport_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/eventlog"
	"github.com/medlargrade/medlargrade/eventlog/dayreport"
)

// testLog has a job that is preempted and completes, one that is added by two planners and
// fails, and the state of the shard.
const testLog = `
1.2 t1 {"time":"2026-01-01T10:00:00.000Z","Process":"t1","Event":643,"Epoch":1}
{"time":"2026-01-01T10:00:01.000Z","Process":"t1","Event":550,"Job":"00000000000000aa","Kind":"long","Tasks":2}
{"time":"2026-01-01T10:00:01.500Z","Process":"t1","Event":553,"Task":"00000000000000aa.0.0.0","Run":1,"Target":"t2"}
{"time":"2026-01-01T10:00:01.600Z","Process":"t1","Event":553,"Task":"00000000000000aa.0.0.1","Run":1,"Target":"t2"}
{"time":"2026-01-01T10:00:02.000Z","Process":"t1","Event":550,"Job":"00000000000000bb","Kind":"urgent","Tasks":1}
{"time":"2026-01-01T10:00:02.100Z","Process":"t1","Event":563,"Job":"00000000000000bb","Reason":"too little room"}
{"time":"2026-01-01T10:00:02.200Z","Process":"t1","Event":561,"Job":"00000000000000bb","Victims":1,"Loss":5,"Guaranteed":true}
{"time":"2026-01-01T10:00:02.200Z","Process":"t1","Event":556,"Task":"00000000000000aa.0.0.0","Run":1,"Reason":"reclaimed for 00000000000000bb"}
{"time":"2026-01-01T10:00:02.600Z","Process":"t1","Event":554,"Task":"00000000000000aa.0.0.0","Run":1,"How":"stopped","LostCoreSeconds":4.5}
{"time":"2026-01-01T10:00:02.700Z","Process":"t1","Event":655,"Waiting":[1,2,3],"Late":[0,0,1],"Running":4,"Accelerators":8,"Free":2,"LongestPass":1.5,"Passes":6}
{"time":"2026-01-01T10:00:03.700Z","Process":"t1","Event":655,"Waiting":[0,0,0],"Late":[0,0,0],"Running":5,"Accelerators":8,"Free":1,"LongestPass":2.5,"Passes":5}
{"time":"2026-01-01T10:00:04.000Z","Process":"t2","Event":550,"Job":"00000000000000bb","Kind":"urgent","Tasks":1}
{"time":"2026-01-01T10:00:04.100Z","Process":"t2","Event":555,"Task":"00000000000000bb.0.0.0","Run":1,"Reason":"lease lapsed","LostCoreSeconds":7}
{"time":"2026-01-01T10:00:05.000Z","Process":"t2","Event":554,"Task":"00000000000000aa.0.0.1","Run":1,"How":"done"}
{"time":"2026-01-01T10:00:05.000Z","Process":"t2","Event":552,"Job":"00000000000000aa","State":"completed","Since":4000,"Objective":4000}
{"time":"2026-01-01T10:00:06.000Z","Process":"t2","Event":552,"Job":"00000000000000bb","State":"failed","Since":4000}
{"time":"2026-01-01T10:00:07.000Z","Process":"t2","Event":380,"BeyondBudget":7,"QueueFull":1}
`

func testReport(t *testing.T) *dayreport.Report {
	t.Helper()
	lines, err := eventlog.Read(nil, strings.NewReader(testLog))
	qt.Assert(t, err, qt.IsNil)
	return dayreport.New(lines)
}

// Guards against counts that are not what the lines say: jobs that a second planner adds again,
// reasons with the ID of each job, lost lines that are not mentioned.
func TestCounts(t *testing.T) {
	r := testReport(t)
	qt.Check(t, r.Lines, qt.Equals, 17)
	qt.Check(t, r.Dropped, qt.Equals, 8)
	qt.Check(t, r.Kinds, qt.DeepEquals, []dayreport.Kind{
		{
			Name: "long", Jobs: 1, Tasks: 2, Ended: map[string]int{"completed": 1}, InTime: 1,
			Waits: []time.Duration{500 * time.Millisecond}, Durations: []time.Duration{4 * time.Second}, Lost: 4.5,
		},
		{Name: "urgent", Jobs: 1, Tasks: 1, Ended: map[string]int{"failed": 1}, Lost: 7},
	})
	qt.Check(t, r.Lost, qt.DeepEquals, []dayreport.Loss{
		{How: "lost: lease lapsed", Runs: 1, CoreSeconds: 7},
		{How: "stopped", Reason: "reclaimed for JOB", Runs: 1, CoreSeconds: 4.5},
	})
	qt.Check(t, r.Waits, qt.DeepEquals, []dayreport.Count{{Name: "too little room", N: 1}})
	qt.Check(t, r.Claims, qt.DeepEquals, []dayreport.Claim{{Kind: "urgent", Guaranteed: true, N: 1, Victims: 1, Loss: 5}})
	qt.Check(t, r.Shards, qt.HasLen, 1)
	qt.Assert(t, r.States, qt.HasLen, 2)
	qt.Check(t, r.States[0].Waiting, qt.DeepEquals, []int{1, 2, 3})
	qt.Check(t, r.States[1].LongestPass, qt.Equals, 2.5)
}

// Guards against a page that lacks its plots or can't be drawn, also without any states.
func TestWriteHTML(t *testing.T) {
	var page bytes.Buffer
	qt.Assert(t, testReport(t).WriteHTML(&page), qt.IsNil)
	qt.Check(t, strings.Count(page.String(), "<svg"), qt.Equals, 7)
	qt.Check(t, page.String(), qt.Contains, "8 lines were left out")
	qt.Check(t, page.String(), qt.Contains, "reclaimed for JOB")

	page.Reset()
	qt.Assert(t, dayreport.New(nil).WriteHTML(&page), qt.IsNil)
	qt.Check(t, page.String(), qt.Contains, "No line has the state of the shard")
}

// Guards against quantiles outside the list.
func TestQuantile(t *testing.T) {
	list := []time.Duration{1, 2, 3, 4}
	tests := []struct {
		list  []time.Duration
		share float64
		want  time.Duration
	}{{nil, 0.5, 0}, {list, 0, 1}, {list, 0.5, 3}, {list, 0.95, 4}, {list, 1, 4}}
	for _, tt := range tests {
		qt.Check(t, dayreport.Quantile(tt.list, tt.share), qt.Equals, tt.want)
	}
}
