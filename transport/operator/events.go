package operator

// Numbers of logged events.
const (
	// EventDrainRequested occurs when an operator asks for the drain.
	EventDrainRequested = 370
	// EventEncodeFailed occurs when the status or the dump can't be encoded.
	EventEncodeFailed = 371
)
