package caller

// Numbers of logged events.
const (
	// EventServerError occurs when net/http reports an error of a connection or
	// a panic of a handler.
	EventServerError = 350
	// EventServiceFailed occurs when the service fails with an error that says
	// nothing about the request's outcome.
	EventServiceFailed = 351
	// EventRequestsCut occurs when a shutdown times out and requests in
	// progress are aborted by closing their connections.
	EventRequestsCut = 352
	// EventWriteFailed occurs when a response can't be written to its caller.
	EventWriteFailed = 353
)
