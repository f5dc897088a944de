package job

import (
	"errors"
	"fmt"
)

// Check returns an error that describes the first invalid value of a submitted job,
// or nil.
func (j Job) Check(maxPayloadBytes, maxTasks int) error {
	if len(j.Payload) > maxPayloadBytes {
		return fmt.Errorf("the payload has %d bytes, more than %d", len(j.Payload), maxPayloadBytes)
	}
	if len(j.Steps) == 0 {
		return errors.New("the job has no steps")
	}
	for i, s := range j.Steps {
		if err := s.check(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	if n := j.Tasks(); n > maxTasks {
		return fmt.Errorf("the job has %d tasks, more than %d", n, maxTasks)
	}
	if !j.fitsRow() {
		return fmt.Errorf("a gang of %d tasks in a job of %d is too large to be recorded", j.LargestGang(), j.Tasks())
	}
	if j.Times < 0 || j.Times > 0 && j.IntervalMillis < 0 {
		return errors.New("the recurrence has a negative number")
	}
	return nil
}

func (s Step) check(index int) error {
	if s.Tasks < 1 {
		return errors.New("it has no tasks")
	}
	if s.CPU < 0 || s.MemoryMB < 0 || s.Accelerators < 0 || s.EstimateMillis < 0 || s.MaxPerWorker < 0 ||
		s.LatencyMillis < 0 || s.MayMiss < 0 {
		return errors.New("a number is negative")
	}
	for _, dep := range s.After {
		if dep < 0 || dep >= index {
			return fmt.Errorf("it comes after step %d, which is not an earlier one", dep)
		}
	}
	return nil
}
