package agent

// Event numbers of an agent in the log, from 500 to 549.
const (
	// EventWorkerLife occurs when a new incarnation of the worker registers.
	EventWorkerLife = 500
	// EventWorkerDraining occurs when the worker reports that it is draining.
	EventWorkerDraining = 501
	// EventWorkerLeft occurs when the worker deregisters.
	EventWorkerLeft = 502
	// EventResultNotStored occurs when storing a large result failed; it is
	// retried.
	EventResultNotStored = 508
	// EventPayloadNotRead occurs when the payload of a start could not be read from the
	// object store; the start is refused.
	EventPayloadNotRead = 509
	// EventDeregistrationVoid occurs when a worker that has deregistered reports that it is
	// ready: the notice was that of a former incarnation.
	EventDeregistrationVoid = 510
	// EventWorkerGone occurs when a deregistered worker no longer answers.
	EventWorkerGone = 507
	// EventWorkerDown occurs when the worker's address has no listener.
	EventWorkerDown = 511
	// EventWorkerCrashed occurs when a new incarnation of the worker registers although the
	// former one has not announced its end.
	EventWorkerCrashed = 512
	// EventOrdersOutdated occurs when orders are refused because their fencing token is lower
	// than the highest received.
	EventOrdersOutdated = 513
	// EventOwnStop occurs when the agent begins to stop a run itself, because no planner is in
	// contact or because leases must lapse.
	EventOwnStop = 514
	// EventOwnStopAcknowledged occurs when the worker has acknowledged such a stop.
	EventOwnStopAcknowledged = 515
	// EventHeartbeatForeign occurs when the incarnation that a heartbeat names is found not to be
	// the worker.
	EventHeartbeatForeign = 516
	// EventLeaseUncertain occurs when a call without an answer may have extended leases beyond the
	// cap, so that the agent waits until they have lapsed.
	EventLeaseUncertain = 517
	// EventOtherAnswers occurs when another incarnation of the worker answers than the registered one.
	EventOtherAnswers = 518
	// EventPlannerChanged occurs at the first call of a planner with a higher epoch or
	// another name.
	EventPlannerChanged = 503
	// EventStartOrder occurs when an order to start a run has been handled.
	EventStartOrder = 504
	// EventStopOrder occurs when an order to stop a run has been handled.
	EventStopOrder = 505
	// EventPaceOrder occurs when an order to pace a run has been handled.
	EventPaceOrder = 506
)
