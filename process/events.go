package process

// Numbers of the log events of the processes, from 660 to 679.
const (
	// EventStarted occurs when a process listens on all its addresses.
	EventStarted = 660
	// EventStopping occurs when a process begins its graceful stop.
	EventStopping = 661
	// EventStopped occurs at the end of a process.
	EventStopped = 662
	// EventDrainIncomplete occurs when the drain time of an entry ended before all
	// requests.
	EventDrainIncomplete = 663
	// EventReloaded occurs when changed settings are taken.
	EventReloaded = 664
	// EventReloadRefused occurs when the settings can't be read or are invalid. The
	// former ones stay.
	EventReloadRefused = 665
)
