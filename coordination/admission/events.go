package admission

// Numbers of logged events.
const (
	// EventRowMalformed occurs when the row of the load can't be decoded.
	EventRowMalformed = 615
)
