// Package job defines the persistent model of a job: its specification, the progress
// of its occurrences, and the keys and values of the rows that store them.
//
// A Job is a directed acyclic graph of steps; each step has a number of identical
// tasks. It is written once, when the job is accepted, and is immutable. Progress is
// the recorded state of one occurrence of a job (a job that does not recur has only
// occurrence 0): for each task the highest run number, the runs that are not known
// to have ended, the number of failures and the last checkpoint. A run is recorded
// before the worker is told to start it, so that every run that may exist is in a
// row.
//
// # Usage
//
//	j := job.Job{ID: "5c0e7a21d94b36f8", Workspace: "roller", Kind: "cut-check",
//		Steps: []job.Step{{Tasks: 2, Accelerators: 8, Gang: true}}}
//	p := job.NewProgress(j, 0)
//	p.Steps[0].Tasks[0].Active = []job.Run{{Number: 1, Place: place}}
//	row := p.Encode()
package job
