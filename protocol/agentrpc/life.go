package agentrpc

// SameLife reports whether two messages name the same life of a worker. No life is
// the same as nothing.
func SameLife(x, y *Life) bool {
	return x != nil && y != nil && x.GetWorker() == y.GetWorker() && x.GetBorn() == y.GetBorn()
}
