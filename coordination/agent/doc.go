// Package agent connects one worker to the planner. It runs in the target process
// beside the worker.
//
// An Agent caches what the worker last reported about itself and its runs, renews
// the leases of those runs, and forwards the planner's orders. It makes few decisions
// of its own: it refuses orders with an epoch lower than the highest it has seen and
// orders for another incarnation of the worker. It refuses to start a run on a draining
// worker, before the worker has confirmed the fencing token, and if the agent can't
// give the run a lease.
//
// The Agent also tells the candidate of its process how long the planner has not called,
// how long the store had not confirmed the planner at its last Watch, whether the planner
// has asked this process to take over, and whether the worker is gone.
//
// A hold is the platform's call that renews the leases of a worker's runs and returns
// their state. Leases are renewed only up to a cap, a time on the worker's clock that
// the planner sets with each Watch. All runs of a worker have therefore ended once its
// clock shows the cap, whatever the agent does and however long either process was
// suspended.
//
// Heartbeats only propose incarnations of the worker. The agent reports one to the planner, which
// gives up the runs of the former one, after the worker's address has answered in its name.
//
// # Usage
//
//	a := agent.New(agent.Settings{Name: "target-1", LeaseMax: 10 * time.Second}, worker, objects, log)
//	go a.Run(ctx)
//	a.RecordHeartbeat(heartbeat) // for each heartbeat of the worker
//	err := agentrpc.DRPCRegisterAgent(mux, a)
package agent
