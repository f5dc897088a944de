package intake

// Numbers of the log events of the intake, from 610 to 629.
const (
	// EventSubmitted occurs when a submission has been answered.
	EventSubmitted = 610
	// EventCancelled occurs when a cancellation has been recorded.
	EventCancelled = 611
)
