// Package configuration provides the current configuration of a process.
//
// A Holder follows the configuration row and keeps the newest version as an
// immutable Snapshot with lookup indexes. Within a process the version never
// decreases: a row whose version is not higher is ignored, and a row that cannot be
// decoded is logged and ignored.
//
// # Usage
//
//	h := configuration.NewHolder("config", decode, log)
//	go follow.New(store, follow.Settings{Table: "op"}, h, log).Run(ctx)
//	s := h.Snapshot()
//	if s == nil {
//		// No configuration has been read yet.
//	}
//	kind, ok := s.Route(host, path)
package configuration
