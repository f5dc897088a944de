package scheduler

// Numbers of the log events of an entry's scheduler, from 100 to 199.
const (
	// EventAttemptEnded occurs at the end of each attempt.
	EventAttemptEnded = 100
	// EventJobTakenOver occurs when another entry has taken over a job of this
	// entry.
	EventJobTakenOver = 101
	// EventTakeOver occurs when this entry takes over a job of another entry.
	EventTakeOver = 102
	// EventTakeOverFailed occurs when a job could not be taken over, for
	// example because another entry was faster.
	EventTakeOverFailed = 103
	// EventClaimFailed occurs when a request is refused because its claim could
	// not be recorded.
	EventClaimFailed = 104
	// EventEndNotRecorded occurs when the end of a job could not be written to
	// the store within the result retention.
	EventEndNotRecorded = 105
	// EventOrphanScanFailed occurs when the queue rows of a silent entry could
	// not be read.
	EventOrphanScanFailed = 106
	// EventRowMalformed occurs when a row can't be decoded.
	EventRowMalformed = 107
	// EventReclaim occurs when work is preempted for a guarantee claim.
	EventReclaim = 108
	// EventReclaimFailed occurs when a target did not preempt as asked.
	EventReclaimFailed = 109
	// EventTargetJoined occurs when a target process is heard from for the first
	// time.
	EventTargetJoined = 110
	// EventTargetProbation occurs when a target is put on probation because it
	// fails tasks that succeed elsewhere, and when it returns from it.
	EventTargetProbation = 111
	// EventDetachFailed occurs when a job whose caller stopped waiting could not
	// be queued for adoption by other entries.
	EventDetachFailed = 112
	// EventRowsRemoved occurs when rows of jobs that ended long ago were removed,
	// or could not be.
	EventRowsRemoved = 113
)
