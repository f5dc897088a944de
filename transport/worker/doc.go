// Package worker is the client of a worker's HTTP interface.
//
// Every error is an outcome.StepError whose peer is the worker's address and
// whose cause is one of:
//
//   - *RefusedError: this call certainly had no effect, because it was not sent
//     or because the worker says so. A refused Launch did not take the task.
//   - *DuplicateError, of a launch only: the worker took the task on an earlier
//     launch of the same ID, so this proves nothing about whether it ran.
//   - *LostAnswerError: the call may have had an effect, now or later.
//
// # Usage
//
//	c := worker.New(httpClient, worker.Settings{Address: "http://127.0.0.1:8500"})
//	err := c.Launch(ctx, worker.Task{ID: "j1/1", Slots: 2, Held: true, Lease: 6 * time.Second})
//	var refused *worker.RefusedError
//	if errors.As(err, &refused) {
//		// The worker has not taken the task.
//	}
package worker
