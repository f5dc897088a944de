package agent

// Numbers of the log events of an agent, from 500 to 549.
const (
	// EventWorkerLife occurs when a new life of the worker registers.
	EventWorkerLife = 500
	// EventWorkerDraining occurs when the worker says that it is leaving.
	EventWorkerDraining = 501
	// EventWorkerLeft occurs when the worker says that it ends.
	EventWorkerLeft = 502
	// EventResultNotStored occurs when a large result could not be stored yet.
	EventResultNotStored = 508
	// EventWorkerGone occurs when a worker that has left no longer answers.
	EventWorkerGone = 507
	// EventPlannerChanged occurs when a planner of a higher epoch makes contact.
	EventPlannerChanged = 503
	// EventStartOrder occurs when an order to start a run has been handled.
	EventStartOrder = 504
	// EventStopOrder occurs when an order to stop a run has been handled.
	EventStopOrder = 505
	// EventPaceOrder occurs when an order to pace a run has been handled.
	EventPaceOrder = 506
)
