// Package agentrpc holds the messages between a planner and the agents of its
// targets, and their generated drpc code.
//
// The planner calls, the agent answers. Watch is a long poll for what the worker
// runs and what has ended; it also carries what the planner has taken note of and
// how far leases may be renewed. Order starts, stops and paces runs. Every call
// carries the planner's epoch; an agent refuses an epoch that is lower than the
// highest it has seen.
//
// # Usage
//
//	client := agentrpc.NewDRPCAgentClient(pool.Conn(address))
//	reply, err := client.Watch(ctx, &agentrpc.WatchRequest{Epoch: 7, WaitMillis: 1000})
package agentrpc
