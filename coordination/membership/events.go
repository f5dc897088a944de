package membership

// Numbers of the logged events, in the field Event.
const (
	// EventBeatFailed occurs once at the start of an outage, when an entry fails
	// to write its row. Other entries may report it as silent.
	EventBeatFailed = 420
	// EventBeatResumed occurs when writing works again after EventBeatFailed.
	EventBeatResumed = 421
	// EventNameTaken occurs when a starting entry replaces the row that another
	// incarnation of its name left.
	EventNameTaken = 422
	// EventReplaced occurs when another incarnation has replaced the entry's
	// row. The entry stops beating.
	EventReplaced = 423
	// EventScanFailed occurs once at the start of an outage, when an observer
	// fails to read the rows. Time until the next two successful scans doesn't
	// count as silence.
	EventScanFailed = 424
	// EventScanResumed occurs when reading works again after EventScanFailed.
	EventScanResumed = 425
	// EventEntrySeen occurs when an observer sees a row, or a new incarnation of
	// one, for the first time.
	EventEntrySeen = 426
	// EventEntrySilent occurs when an entry's row has not changed for 10 s.
	EventEntrySilent = 427
	// EventEntryReturned occurs when a silent entry's row changes again.
	EventEntryReturned = 428
	// EventEntryRemoved occurs when an entry's row has been deleted.
	EventEntryRemoved = 429
	// EventRowUnreadable occurs when the value of an entry's row can't be
	// decoded. The row is ignored until it changes.
	EventRowUnreadable = 430
)
