package configuration

// Numbers of the log events of the configuration, from 630 to 639.
const (
	// EventInForce occurs when a new version of the configuration takes effect.
	EventInForce = 630
	// EventMalformed occurs when the configuration row cannot be decoded.
	EventMalformed = 631
	// EventStale occurs when calls are refused because the configuration may be out of
	// date and can't be read.
	EventStale = 632
	// EventEvacuated occurs when a process learns of a request to evacuate a data centre.
	EventEvacuated = 633
	// EventEvacuationWithdrawn occurs when a process learns that such a request is withdrawn.
	EventEvacuationWithdrawn = 634
)
