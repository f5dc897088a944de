package intake

// Numbers of the log events of the intake, from 610 to 629.
const (
	// EventSubmitted occurs when a submission has been answered.
	EventSubmitted = 610
	// EventCancelled occurs when a cancellation has been recorded.
	EventCancelled = 611
	// EventStoreSilent occurs when a read from the store fails or times out. Calls are
	// refused until the store answers again.
	EventStoreSilent = 612
	// EventStoreBack occurs when the store answers again.
	EventStoreBack = 613
)
