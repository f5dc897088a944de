// Package agent connects one worker to the planner. It runs in the target process
// beside the worker.
//
// An Agent caches what the worker last reported about itself and its runs, renews
// the leases of those runs, and forwards the planner's orders. It makes few decisions
// of its own: it refuses orders with an epoch lower than the highest it has seen,
// starts on a draining worker, and orders for another incarnation of the worker.
//
// Leases are renewed only up to a cap, a time on the worker's clock that the planner
// sets with each Watch. A planner that got its last reply from an agent when the
// worker's clock showed t therefore knows when everything on that worker has ended,
// whatever the agent does and however long either process was suspended.
//
// # Usage
//
//	a := agent.New(agent.Settings{Name: "side-1", LeaseMax: 10 * time.Second}, worker, objects, log)
//	go a.Run(ctx)
//	a.RecordHeartbeat(heartbeat) // for each heartbeat of the worker
//	err := agentrpc.DRPCRegisterAgent(mux, a)
package agent
