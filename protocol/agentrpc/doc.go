// Package agentrpc holds the messages between a planner and the agents of its
// targets, and their generated drpc code.
//
// The planner is the client, the agent the server. Watch is a long poll for the active
// and the ended runs of the worker; its request also carries which ends the planner
// has recorded, and the time up to which leases may be renewed. Order starts, stops
// and paces runs. Every call carries the planner's epoch; an agent refuses an epoch
// that is lower than the highest it has seen. A Life message names an incarnation of a
// worker.
//
// # Usage
//
//	client := agentrpc.NewDRPCAgentClient(pool.Conn(address))
//	reply, err := client.Watch(ctx, &agentrpc.WatchRequest{Epoch: 7, WaitMillis: 1000})
package agentrpc
