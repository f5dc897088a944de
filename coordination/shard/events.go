package shard

// Numbers of the log events of shards, from 640 to 659.
const (
	// EventAnnounced occurs when the row of a target is written.
	EventAnnounced = 640
	// EventTakeOver occurs when a process tries to own the shard.
	EventTakeOver = 641
	// EventTakeOverFailed occurs when it could not.
	EventTakeOverFailed = 642
	// EventOwned occurs when a process owns the shard.
	EventOwned = 643
	// EventOwnershipEnded occurs when it no longer does.
	EventOwnershipEnded = 644
	// EventReleaseFailed occurs when the shard could not be released at the end of
	// the process.
	EventReleaseFailed = 645
	// EventTargetLapsed occurs when the leases on an unreachable target have
	// certainly lapsed.
	EventTargetLapsed = 646
	// EventOrdersUnanswered occurs when a call with orders got no answer or was
	// refused.
	EventOrdersUnanswered = 647
	// EventRowMalformed occurs when a row can't be decoded.
	EventRowMalformed = 648
	// EventWithdrawn occurs when a target whose worker is gone removes its row.
	EventWithdrawn = 650
	// EventTargetRetired occurs when a target has removed its row.
	EventTargetRetired = 649
	// EventTakeOverAsked occurs when the owner asks another process to take over,
	// because the store does not take its transaction.
	EventTakeOverAsked = 651
	// EventTakeOverUnanswered occurs when that process did not answer.
	EventTakeOverUnanswered = 652
)
