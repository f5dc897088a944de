package configuration

// Numbers of the log events of the configuration, from 630 to 639.
const (
	// EventInForce occurs when a configuration is taken into force.
	EventInForce = 630
	// EventMalformed occurs when the row of the configuration can't be decoded.
	EventMalformed = 631
)
