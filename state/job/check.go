package job

import (
	"errors"
	"fmt"
)

const (
	// maxOccurrenceTasks limits the tasks of all occurrences of a job. All of them may be
	// due at once, and the planner then holds about 250 bytes for each: 5 MB of its 128 MB.
	maxOccurrenceTasks = 20_000
	// maxMillis limits durations, so that sums and multiples of them do not overflow.
	maxMillis = 10 * 365 * 24 * 60 * 60 * 1000
)

// Check returns an error that describes the first invalid value of a submitted job,
// or nil.
func (j Job) Check(maxPayloadBytes, maxTasks int) error {
	if len(j.Payload) > maxPayloadBytes {
		return fmt.Errorf("the payload has %d bytes, more than %d", len(j.Payload), maxPayloadBytes)
	}
	if err := j.checkSteps(); err != nil {
		return err
	}
	if n := j.Tasks(); n > maxTasks {
		return fmt.Errorf("the job has %d tasks, more than %d", n, maxTasks)
	}
	if !j.fitsRow() {
		return fmt.Errorf("a gang of %d tasks in a job of %d is too large to be recorded", j.LargestGang(), j.Tasks())
	}
	return nil
}

// checkSteps checks what the planner relies on in the steps and the recurrence of a job.
func (j Job) checkSteps() error {
	if len(j.Steps) == 0 {
		return errors.New("the job has no steps")
	}
	for i, s := range j.Steps {
		if err := s.check(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	if j.Times < 0 || j.Times > 0 && j.IntervalMillis < 0 {
		return errors.New("the recurrence has a negative number")
	}
	if j.IntervalMillis > maxMillis {
		return fmt.Errorf("the interval of %d ms is longer than %d ms", j.IntervalMillis, int64(maxMillis))
	}
	if n := j.Tasks(); n > maxOccurrenceTasks || j.Occurrences() > maxOccurrenceTasks/n {
		return fmt.Errorf("the job has %d occurrences of %d tasks, more than %d tasks in all", j.Occurrences(), n, maxOccurrenceTasks)
	}
	return nil
}

func (s Step) check(index int) error {
	if s.Tasks < 1 {
		return errors.New("it has no tasks")
	}
	if s.Tasks > maxOccurrenceTasks {
		return fmt.Errorf("it has %d tasks, more than %d", s.Tasks, maxOccurrenceTasks)
	}
	if s.CPU < 0 || s.MemoryMB < 0 || s.Accelerators < 0 || s.EstimateMillis < 0 || s.MaxPerWorker < 0 ||
		s.LatencyMillis < 0 || s.MayMiss < 0 {
		return errors.New("a number is negative")
	}
	if s.EstimateMillis > maxMillis {
		return fmt.Errorf("its estimate of %d ms is longer than %d ms", s.EstimateMillis, int64(maxMillis))
	}
	for _, n := range []int{s.CPU, s.MemoryMB, s.Accelerators} {
		if n > maxAmount {
			return fmt.Errorf("its amount of %d is larger than %d", n, maxAmount)
		}
	}
	for _, dep := range s.After {
		if dep < 0 || dep >= index {
			return fmt.Errorf("it comes after step %d, which is not an earlier one", dep)
		}
	}
	return nil
}

// maxAmount limits the resources of a task, so that sums over all tasks do not overflow.
const maxAmount = 1 << 40
