package follow

// Numbers of the log events of followers, from 600 to 609.
const (
	// EventStoreLost occurs at the first failed call to the store.
	EventStoreLost = 600
	// EventStoreRegained occurs at the first successful call after that.
	EventStoreRegained = 601
	// EventHistoryLost occurs when a table has to be read again as a whole.
	EventHistoryLost = 602
)
