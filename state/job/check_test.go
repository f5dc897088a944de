package job

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against jobs that are accepted although they can't run, and against an error that
// does not say what is wrong.
func TestCheck(t *testing.T) {
	step := Step{Tasks: 1}
	tests := []struct {
		name string
		job  Job
		want string // pattern of the error; empty for none
	}{
		{name: "one step", job: Job{Steps: []Step{step}}},
		{name: "no steps", job: Job{}, want: "the job has no steps"},
		{name: "large payload", job: Job{Payload: "12345", Steps: []Step{step}}, want: "the payload has 5 bytes, more than 4"},
		{name: "no tasks", job: Job{Steps: []Step{{}}}, want: "step 0: it has no tasks"},
		{name: "negative number", job: Job{Steps: []Step{{Tasks: 1, CPU: -1}}}, want: "step 0: a number is negative"},
		{name: "later step", job: Job{Steps: []Step{{Tasks: 1, After: []int{0}}}}, want: "step 0: it comes after step 0, which is not an earlier one"},
		{name: "all tasks", job: Job{Steps: []Step{{Tasks: 250}, {Tasks: 250, After: []int{0}}}}},
		{name: "too many tasks", job: Job{Steps: []Step{{Tasks: 250}, {Tasks: 251}}}, want: "the job has 501 tasks, more than 500"},
		{name: "far too many tasks", job: Job{Steps: []Step{{Tasks: 1 << 60}, {Tasks: 1 << 60}}}, want: "step 0: it has 1152921504606846976 tasks, more than 20000"},
		{name: "many occurrences", job: Job{Times: 20_000, Steps: []Step{step}}},
		{name: "too many occurrences", job: Job{Times: 1_000_000_000, Steps: []Step{step}}, want: "the job has 1000000000 occurrences of 1 tasks, more than 20000 tasks in all"},
		{name: "too many tasks in all", job: Job{Times: 41, Steps: []Step{{Tasks: 500}}}, want: "the job has 41 occurrences of 500 tasks, more than 20000 tasks in all"},
		{name: "long interval", job: Job{Times: 1, IntervalMillis: 1 << 60, Steps: []Step{step}}, want: "the interval of 1152921504606846976 ms is longer than 315360000000 ms"},
		{name: "long estimate", job: Job{Steps: []Step{{Tasks: 1, EstimateMillis: 1 << 60}}}, want: "step 0: its estimate of 1152921504606846976 ms is longer than 315360000000 ms"},
		{name: "large amount", job: Job{Steps: []Step{{Tasks: 1, MemoryMB: 1 << 50}}}, want: "step 0: its amount of 1125899906842624 is larger than 1099511627776"},
		{name: "gang", job: Job{Steps: []Step{{Tasks: 128, Gang: true, Checkpointable: true}}}},
		{name: "gang beyond the size of a row", job: Job{Steps: []Step{{Tasks: 500, Gang: true}}}, want: "a gang of 500 tasks in a job of 500 is too large to be recorded"},
		{name: "negative times", job: Job{Times: -1, Steps: []Step{step}}, want: "the recurrence has a negative number"},
		{name: "negative interval", job: Job{Times: 1, IntervalMillis: -1, Steps: []Step{step}}, want: "the recurrence has a negative number"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := tt.job.Check(4, 500)
			if tt.want == "" {
				qt.Check(t, err, qt.IsNil)
				return
			}
			qt.Check(t, err, qt.ErrorMatches, tt.want)
		})
	}
}

// Guards against a bound of the size of a task that the encoding of its required parts exceeds.
func TestRequiredBytes(t *testing.T) {
	run := Run{Number: 1234, Place: Incarnation{Target: "side-lowell-a-40", Worker: "i-7f3a91c2", Born: 1_796_389_111_000}}
	tests := []struct {
		name string
		task Task
	}{
		{"empty", Task{}},
		{"done", Task{LastRun: 1234, Done: true, Failures: 99}},
		{"running", Task{LastRun: 1234, Active: []Run{run, run}, Failures: 99, Checkpoint: "0123456789abcdef"}},
		{"long checkpoint", Task{LastRun: 1, Checkpoint: "0123456789abcdef0123456789abcdef"}},
		{"after crashes", Task{LastRun: 1234, Crashes: []Crash{{"i-7f3a91c2", 1_796_389_111_000, 3_600_000, true}, {"i-7f3a91c3", 1_796_389_111_001, 3_600_001, true}}}},
		{"with a result", Task{LastRun: 1, Done: true, Result: make([]byte, 512)}},
		{"with an object", Task{LastRun: 1, Done: true, ResultObject: "result-j1.0.0.0-1"}},
		{"with control characters", Task{LastRun: 1, Error: "\x00\x01\x02\x03"}},
		{"with an error", Task{LastRun: 1, Error: "the task ran longer than its limit of 1m0s"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.task.Checkpoint, tt.task.Error = "", ""
			empty := len(Progress{Steps: []StepProgress{{Tasks: []Task{}}}}.Encode())
			got := len(Progress{Steps: []StepProgress{{Tasks: []Task{tt.task}}}}.Encode()) - empty
			qt.Check(t, got <= tt.task.RequiredBytes(), qt.IsTrue, qt.Commentf("%d bytes, bound %d", got, tt.task.RequiredBytes()))
		})
	}
}
