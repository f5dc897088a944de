package operator

// Numbers of log events.
const (
	// EventDrainRequested is logged when an operator requests a drain.
	EventDrainRequested = 370
	// EventEncodeFailed is logged when the status or the dump can't be encoded.
	EventEncodeFailed = 371
	// EventPlacementQueried is logged when an operator asks where a job would be placed.
	EventPlacementQueried = 372
)
