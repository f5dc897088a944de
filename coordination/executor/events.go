package executor

// eventField is the log field that carries the number of an event.
const eventField = "Event"

// Numbered events of the package, in the range 200 to 299.
const (
	// EventStarted occurs when the target process begins to serve.
	EventStarted = 200
	// EventSessionOpened occurs when an entry opens a session.
	EventSessionOpened = 201
	// EventGenerationRefused occurs when an effect is refused because its
	// sender's configuration is older than the highest generation seen.
	EventGenerationRefused = 202
	// EventLaunchRefused occurs when the worker certainly did not take a task.
	EventLaunchRefused = 210
	// EventLaunchLost occurs when the worker's answer to a launch was lost and
	// the task may run.
	EventLaunchLost = 211
	// EventReleaseFailed occurs when the worker did not confirm the release of a
	// gang member, which is then stopped.
	EventReleaseFailed = 212
	// EventLeaseLapsed occurs when the lease of a task on the worker lapsed on
	// the clock of the target.
	EventLeaseLapsed = 213
	// EventStopUnconfirmed occurs when the worker did not confirm a stop before
	// the last lease that it may have granted has lapsed.
	EventStopUnconfirmed = 214
	// EventRenewFailed occurs when a call that renews the worker leases failed.
	EventRenewFailed = 215
	// EventTaskStopped occurs when a released task was stopped before its end.
	EventTaskStopped = 216
	// EventGangReleased occurs when this hub releases a gang.
	EventGangReleased = 220
	// EventGangRefused occurs when this hub refuses the release of a gang.
	EventGangRefused = 221
	// EventMemberSilent occurs when this hub stops a gang because a member has
	// been silent for the gang lease.
	EventMemberSilent = 222
	// EventGangLeaseLapsed occurs when this member has had no reply from its hub
	// for the gang lease.
	EventGangLeaseLapsed = 223
	// EventReservationLapsed occurs when a reservation was not released in time.
	EventReservationLapsed = 224
	// EventPreempt occurs when an entry reclaims the slots of attempts.
	EventPreempt = 230
	// EventContactLost occurs when lent tasks are stopped because no entry has
	// replied to a heartbeat for the contact lease.
	EventContactLost = 240
	// EventEntrySilent occurs when a heartbeat to an entry failed and another
	// entry is chosen in its place.
	EventEntrySilent = 241
	// EventDrainStarted occurs when the target begins to leave.
	EventDrainStarted = 250
	// EventDrainTimeout occurs when the drain time ends before all held work.
	EventDrainTimeout = 251
	// EventDrainEnded occurs when the target holds no more work.
	EventDrainEnded = 252
)
