package worker

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/job"
)

var checkBase = time.Unix(1_800_000_000, 0)

func checkAt(seconds float64) time.Time {
	return checkBase.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against a void end that excuses a second run of a task that it does not belong
// to: only the ends of one gang are void together.
func TestVoidEndExcusesOnlyItsGang(t *testing.T) {
	done := func(task string, from, to float64) Record {
		return Record{Task: task, Run: 1, Worker: "w1", Born: 1, Arrived: checkAt(from), Began: checkAt(from), Ended: checkAt(to), How: EndDone}
	}
	void := func(r Record, at float64) Record {
		r.Void = checkAt(at)
		return r
	}
	again := func(r Record, from, to float64) Record {
		r.Run, r.Arrived, r.Began, r.Ended = 2, checkAt(from), checkAt(from), checkAt(to)
		return r
	}
	tests := []struct {
		name    string
		gang    bool // step 0 is a gang of two
		records []Record
		want    int // violations
	}{
		{name: "its own end is void", records: []Record{void(done("j.0.0.0", 1, 2), 3), again(done("j.0.0.0", 0, 0), 4, 5)}},
		{name: "its own end is void later", records: []Record{void(done("j.0.0.0", 1, 2), 5), again(done("j.0.0.0", 0, 0), 4, 5)}, want: 1},
		{name: "the end of another member is void", gang: true, records: []Record{
			done("j.0.0.0", 1, 2), void(done("j.0.0.1", 1, 2), 3), again(done("j.0.0.0", 0, 0), 4, 5),
		}},
		{name: "the end of another task is void", records: []Record{
			done("j.0.0.0", 1, 2), void(done("j.0.0.1", 1, 2), 3), again(done("j.0.0.0", 0, 0), 4, 5),
		}, want: 1},
		{name: "the end of another step is void", gang: true, records: []Record{
			done("j.0.0.0", 1, 2), void(done("j.0.1.0", 1, 2), 3), again(done("j.0.0.0", 0, 0), 4, 5),
		}, want: 1},
		{name: "the end of another occurrence is void", gang: true, records: []Record{
			done("j.0.0.0", 1, 2), void(done("j.1.0.0", 1, 2), 3), again(done("j.0.0.0", 0, 0), 4, 5),
		}, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			size := func(n job.TaskName) int {
				if tt.gang && n.Step == 0 {
					return 2
				}
				return 1
			}
			qt.Check(t, CheckOnce(tt.records, size, checkAt(100)), qt.HasLen, tt.want)
		})
	}
}
