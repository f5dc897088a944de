package planner

// Numbers of the log events of the planner, from 550 to 599.
const (
	// EventJobAdded occurs when a job is taken into the plan.
	EventJobAdded = 550
	// EventJobCancelled occurs when the planner learns of a cancellation.
	EventJobCancelled = 551
	// EventJobEnded occurs when an occurrence of a job gets its final state.
	EventJobEnded = 552
	// EventRunPlanned occurs when a run is given a place.
	EventRunPlanned = 553
	// EventRunEnded occurs when the end of a run is taken.
	EventRunEnded = 554
	// EventRunLost occurs when a run is over without an end.
	EventRunLost = 555
	// EventRunStopped occurs when the planner decides to stop a run.
	EventRunStopped = 556
	// EventRunFailed occurs when a run has failed.
	EventRunFailed = 557
	// EventTargetLife occurs when a new life of a worker is reported.
	EventTargetLife = 558
	// EventForeignRun occurs when a worker runs what no row names.
	EventForeignRun = 559
	// EventRunFollowed occurs when a run is found in the next life of its worker,
	// which has the ID of the former one.
	EventRunFollowed = 562
	// EventUnitWaits occurs when a task or gang finds no place, and again when the
	// reason changes.
	EventUnitWaits = 563
	// EventStartRefused occurs when a start was refused.
	EventStartRefused = 560
	// EventClaim occurs when capacity is reclaimed for a job.
	EventClaim = 561
)
