package shard

// Numbers of the log events of shards, from 640 to 659, and 568.
const (
	// EventAnnounced occurs when a target has written its row.
	EventAnnounced = 640
	// EventTakeOver occurs when a process tries to take over the shard and the owner's
	// row can be decoded.
	EventTakeOver = 641
	// EventTakeOverFailed occurs when an attempt to take over the shard has failed.
	EventTakeOverFailed = 642
	// EventOwned occurs when a process has become the owner of the shard.
	EventOwned = 643
	// EventOwnershipEnded occurs when a process is no longer the owner.
	EventOwnershipEnded = 644
	// EventReleaseFailed occurs when the shard could not be released at the end of
	// the process.
	EventReleaseFailed = 645
	// EventTargetLapsed occurs when the leases on an unreachable target have
	// certainly lapsed.
	EventTargetLapsed = 646
	// EventOrdersUnanswered occurs when an Order call got no answer or was refused.
	EventOrdersUnanswered = 647
	// EventRowMalformed occurs when a row can't be decoded.
	EventRowMalformed = 648
	// EventWithdrawn occurs when a target whose worker is gone has tried to delete its
	// row. The target logs it.
	EventWithdrawn = 650
	// EventTargetRetired occurs when a target's row has been deleted. The owner logs it.
	EventTargetRetired = 649
	// EventTakeOverAsked occurs when the owner asks another process to take over,
	// because the store has not confirmed its transaction in time.
	EventTakeOverAsked = 651
	// EventTakeOverUnanswered occurs when the process that was asked to take over did
	// not answer.
	EventTakeOverUnanswered = 652
	// EventCommitFailed occurs when the first attempt at a transaction of the owner fails
	// or gets no answer.
	EventCommitFailed = 653
	// EventPanicked occurs when a goroutine of the owner panics. The process gives up the
	// shard.
	EventPanicked = 654
	// EventSpeedsNotLoaded occurs when a new owner finds no recorded speeds of workers, or can't
	// read them in time.
	EventSpeedsNotLoaded = 578
	// EventShardState occurs once a second while work waits or runs.
	EventShardState = 655
	// EventFenceRaised occurs when the fencing token of a target is raised, because its runs are
	// given up.
	EventFenceRaised = 568
	// EventRowRejected occurs when the store rejects a row or a deletion as invalid; it is not
	// repeated.
	EventRowRejected = 656
	// EventTargetKept occurs when the row of a target has been deleted although its agent answers.
	EventTargetKept = 657
	// EventEarlyCancellationsKept occurs when early cancellations that are out of date can't be
	// read or removed.
	EventEarlyCancellationsKept = 658
)
