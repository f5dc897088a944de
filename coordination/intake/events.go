package intake

// Numbers of the log events of the intake, from 610 to 629.
const (
	// EventSubmitted occurs when a submission has been answered.
	EventSubmitted = 610
	// EventCancelled occurs when a cancellation has been recorded.
	EventCancelled = 611
	// EventStoreSilent occurs when a read of the intake from the store fails or times
	// out. Calls are refused until the store is available again. The counterpart of the
	// follower, which replicates the configuration, is follow.EventStoreLost.
	EventStoreSilent = 612
	// EventStoreBack occurs when the store is available again to the intake. The
	// counterpart of the follower is follow.EventStoreRegained.
	EventStoreBack = 613
	// EventRefusedByLoad occurs when a submission is refused because the job certainly can't
	// be served in time.
	EventRefusedByLoad = 614
	// EventCancelledEarly occurs when a caller has cancelled a job that is not recorded.
	EventCancelledEarly = 616
)
