package agentrpc

// SameLife reports whether two messages name the same incarnation of a worker. It
// returns false if either is nil.
func SameLife(x, y *Life) bool {
	return x != nil && y != nil && x.GetWorker() == y.GetWorker() && x.GetBorn() == y.GetBorn()
}
