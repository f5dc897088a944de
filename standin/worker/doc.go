// Package worker is a stand-in for a worker, for tests and the demonstration.
// It runs no user code: a task is a timer, and its payload says how it behaves.
//
// It serves the protocol of package workerapi and, beside it, GET and POST
// /fault with Faults, and GET /history with History. POST /fault replaces all
// faults: those that it does not name are switched off.
//
// A payload that is a JSON object may have the fields of Behaviour. A task
// whose payload has none of them ends at once with the payload as its result.
//
// The history is the ground truth of what ran: it has a record of every task
// that was released, and of no other. It is kept for the life of the Worker
// and grows with each task, as does the set of task IDs; results are kept for
// the retention.
//
// # Usage
//
//	w := worker.New(worker.Settings{}, logger)
//	defer w.Close()
//	go http.Serve(listener, w)
//	w.SetFaults(worker.Faults{FailTasks: true})
//	for _, r := range w.History() {
//		...
//	}
package worker
