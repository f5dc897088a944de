package configsync

// Numbers of the logged events, in the field Event.
const (
	// EventConfigAdvanced occurs when a process moves to a higher generation.
	EventConfigAdvanced = 400
	// EventHeadUnreadable occurs once at the start of an outage, when an entry
	// fails to read the head row or the content of its generation. The entry
	// keeps the generation that it holds.
	EventHeadUnreadable = 401
	// EventHeadReadable occurs when reading works again after
	// EventHeadUnreadable.
	EventHeadReadable = 402
	// EventHeadBehind occurs once when the head row names a lower generation
	// than the entry holds. The store has lost an accepted change; the entry
	// keeps the higher generation.
	EventHeadBehind = 403
	// EventChangesUnusable occurs when differences are missing or don't apply,
	// and the whole configuration is read instead.
	EventChangesUnusable = 404
	// EventConfigReady occurs once, when a process has learned the accepted
	// configuration after its start.
	EventConfigReady = 405
	// EventFetchFailed occurs when a target fails to fetch the configuration
	// from an entry; it tries other entries.
	EventFetchFailed = 406
	// EventNoEntryFresh occurs when none of a target's entries could read the
	// head row; the target isn't ready and tries again.
	EventNoEntryFresh = 407
)
