// Package job holds the model of a job as it is recorded: what was asked for, how
// far it has come, and the rows of both.
//
// A Job is a graph of steps; each step has a number of equal tasks. It is written
// once, when the job is accepted, and never changes. Progress is the recorded
// state of one occurrence of a job (a job that does not recur has occurrence 0):
// for each task the highest run number, the runs that are not known to have
// ended, the failures and the last checkpoint. A run is recorded before the
// worker is told to start it, so every run that may exist is in a row.
//
// # Usage
//
//	j := job.Job{ID: "5c0e7a21d94b36f8", Workspace: "roller", Kind: "cut-check",
//		Steps: []job.Step{{Tasks: 2, Accelerators: 8, Gang: true}}}
//	p := job.NewProgress(j, 0)
//	p.Steps[0].Tasks[0].Active = []job.Run{{Number: 1, Place: place}}
//	row := p.Encode()
package job
