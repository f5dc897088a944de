package planner

// Numbers of the log events of the planner, from 550 to 599.
const (
	// EventJobAdded occurs when a job is added.
	EventJobAdded = 550
	// EventJobCancelled occurs when the planner learns of a cancellation.
	EventJobCancelled = 551
	// EventJobEnded occurs when an occurrence of a job gets its final state.
	EventJobEnded = 552
	// EventRunPlanned occurs when a run is placed on a target.
	EventRunPlanned = 553
	// EventRunEnded occurs when a worker lists the end of a run.
	EventRunEnded = 554
	// EventRunLost occurs when a run is over but its worker has not listed its end.
	EventRunLost = 555
	// EventRunStopped occurs when the planner decides to stop a run.
	EventRunStopped = 556
	// EventRunFailed occurs when a run has failed.
	EventRunFailed = 557
	// EventTargetLife occurs when a new incarnation of a worker is reported.
	EventTargetLife = 558
	// EventForeignRun occurs when a worker lists a run that no row names.
	EventForeignRun = 559
	// EventRunFollowed occurs when a run is found in the next incarnation of its worker,
	// which has the same ID as the former one.
	EventRunFollowed = 562
	// EventProgressIgnored occurs when the recorded progress of a job names an occurrence
	// that the job does not have, or one twice.
	EventProgressIgnored = 564
	// EventUnitWaits occurs when a task or gang can't be placed, and again when the reason
	// changes.
	EventUnitWaits = 563
	// EventStartRefused occurs when a worker refuses to start a run.
	EventStartRefused = 560
	// EventWorkerCrash occurs when an agent reports that its worker ended without having
	// announced it.
	EventWorkerCrash = 565
	// EventRunCrashed occurs for each run that such a worker ran at its end, or may have run.
	EventRunCrashed = 566
	// EventJobGivenUp occurs when a job ends because workers crash that run a task of it.
	EventJobGivenUp = 567
	// EventDataCentreEvacuated occurs when the planner starts nothing more in a data centre.
	EventDataCentreEvacuated = 570
	// EventDataCentreReleased occurs when the planner uses a data centre again.
	EventDataCentreReleased = 571
	// EventStartsWithheld occurs when the planner starts nothing anywhere, because its copy of
	// the requests to evacuate data centres is too old.
	EventStartsWithheld = 572
	// EventStartsResumed occurs when the copy is fresh again.
	EventStartsResumed = 573
	// EventSpeedsDiffer occurs when the planner finds that the workers differ in speed, or that
	// they no longer do.
	EventSpeedsDiffer = 575
	// EventSpeedChanged occurs when the learned speed of a worker has changed by more than a
	// class.
	EventSpeedChanged = 576
	// EventSpeedsIgnored occurs when the row of the learned speeds can't be decoded.
	EventSpeedsIgnored = 577
	// EventInterference occurs when the planner finds that tasks of one class are slow beside
	// those of another.
	EventInterference = 585
	// EventInterferenceWithdrawn occurs when this is no longer so, or no longer known.
	EventInterferenceWithdrawn = 586
	// EventStopWithheld occurs when the disruption budget of a long-running step withholds a
	// stop, once for a run.
	EventStopWithheld = 590
	// EventEndUncertain occurs when a run that was given up has done its task, and its end is not
	// acknowledged because the worker's lease may not have lapsed since.
	EventEndUncertain = 591
	// EventClaim occurs when runs are chosen to be preempted for a task or gang.
	EventClaim = 561
	// EventRoom occurs at intervals while work may have to leave room for urgent work.
	EventRoom = 580
	// EventReservation occurs when capacity is reserved for a unit that has waited long.
	EventReservation = 581
	// EventRowReduced occurs when the row of an occurrence first has no space for the checkpoints
	// or errors of some tasks.
	EventRowReduced = 569
	// EventJobNotRecordable occurs when an occurrence ends because its progress can't be recorded.
	EventJobNotRecordable = 574
)
