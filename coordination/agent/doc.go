// Package agent stands between one worker and the planner. It runs in the target
// process beside the worker.
//
// An Agent keeps what the worker last said of itself and of its runs, renews the
// lease of what runs there, and passes on the planner's orders. It decides little:
// it refuses orders of a planner with a lower epoch than the highest it has seen,
// starts for a worker that is leaving, and orders for another life of the worker.
//
// Leases are renewed up to a cap on the worker's clock that the planner sets with
// each Watch. A planner that has not heard from an agent since the worker's clock
// showed t therefore knows when everything on that worker has ended, whatever the
// agent does and however long either process was paused.
//
// # Usage
//
//	a := agent.New(agent.Settings{Name: "side-1", HoldMax: 10 * time.Second}, worker, log)
//	go a.Run(ctx)
//	a.SetWorker(info) // for each heartbeat of the worker
//	err := agentrpc.DRPCRegisterAgent(mux, a)
package agent
