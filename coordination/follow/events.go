package follow

// Event numbers of followers in the log, from 600 to 609.
const (
	// EventStoreLost occurs at the first failed call to the store, and at the first one
	// after a successful call.
	EventStoreLost = 600
	// EventStoreRegained occurs at the first successful call after EventStoreLost.
	EventStoreRegained = 601
	// EventHistoryLost occurs when the store no longer has the history that a watch
	// needs, so that the whole table is read again.
	EventHistoryLost = 602
)
