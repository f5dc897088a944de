// Package worker is a stand-in for the users' workers, spoken to over the
// platform's HTTP protocol. It runs tasks under leases and fencing tokens, keeps
// gangs together, makes checkpoints, lists ends until they are forgotten, and
// reports to the target process beside it.
//
// All workers of a Site know of each other what real work would: which tasks form
// a gang. A Site also records every run, so that tests can check what callers were
// promised. The payload of a job may say how its tasks behave; see Behaviour.
//
// # Usage
//
//	site := worker.NewSite(lookup)
//	w := worker.New(site, worker.Settings{Name: "w1", Rack: "r1", Report: "127.0.0.1:8600"}, client, log)
//	go w.Run(ctx)
//	http.ListenAndServe("127.0.0.1:8500", w)
package worker
