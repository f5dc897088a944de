package process

// Numbers of the log events of the processes, from 660 to 679.
const (
	// EventStarted is logged when a process listens on all its addresses.
	EventStarted = 660
	// EventStopping is logged when an entry begins to drain.
	EventStopping = 661
	// EventStopped is logged when a process has stopped.
	EventStopped = 662
	// EventDrainIncomplete is logged when requests are still in progress at the end
	// of an entry's drain time.
	EventDrainIncomplete = 663
	// EventReloaded is logged when the settings have been reloaded.
	EventReloaded = 664
	// EventReloadRefused is logged when the settings can't be read or are invalid.
	// The previous settings stay in effect.
	EventReloadRefused = 665
)
