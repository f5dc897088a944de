package rpc

// Numbers of logged events.
const (
	// EventAcceptFailed occurs when a listener fails to accept a connection and
	// the server tries again.
	EventAcceptFailed = 300
	// EventConnEnded occurs when the server closes a connection because of an
	// error other than its orderly end.
	EventConnEnded = 301
	// EventCallsCanceled occurs when calls are still in progress at the end of
	// the drain time and the server cancels them.
	EventCallsCanceled = 302
	// EventHandlerPanicked occurs when the handler of a call panics.
	EventHandlerPanicked = 303
)
