package intake

// Numbers of the log events of the intake, from 610 to 629.
const (
	// EventSubmitted occurs when a submission has been answered.
	EventSubmitted = 610
	// EventCancelled occurs when a cancellation has been recorded.
	EventCancelled = 611
	// EventStoreSilent occurs when the store does not answer in time.
	EventStoreSilent = 612
	// EventStoreBack occurs when it answers again.
	EventStoreBack = 613
)
