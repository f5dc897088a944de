// Package worker simulates the users' workers, with the worker's side of the
// platform's HTTP protocol. A worker runs tasks under leases and fencing tokens,
// starts and ends the members of a gang together, takes checkpoints, lists the ends
// of runs until they are acknowledged, and sends heartbeats to its target process.
//
// The workers of a Site share the state of the gangs, whose members would
// communicate with each other in reality. A Site also records every run, so that
// tests can check the guarantees given to callers. The payload of a job may define
// how its tasks behave; see Behaviour.
//
// # Usage
//
//	site := worker.NewSite(lookup)
//	w := worker.New(site, worker.Settings{Name: "w1", Rack: "r1", ReportAddress: "127.0.0.1:8600"}, client, log)
//	go w.Run(ctx)
//	http.ListenAndServe("127.0.0.1:8500", w)
package worker
