package target

// Numbers of logged events.
const (
	// EventSessionOpened occurs when a target has granted a session.
	EventSessionOpened = 320
	// EventSessionEnded occurs when a session ends, with the reason.
	EventSessionEnded = 321
)
