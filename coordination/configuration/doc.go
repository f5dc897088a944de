// Package configuration holds the configuration that is in force in a process.
//
// A Holder follows the row of the configuration and keeps the newest version as an
// immutable Snapshot, with the indexes that calls need. Versions only grow within
// one life of a process; a row with a lower version, or one that can't be decoded,
// is logged and changes nothing.
//
// # Usage
//
//	h := configuration.NewHolder("config", decode, log)
//	go follow.New(store, follow.Settings{Table: "op"}, h, log).Run(ctx)
//	s := h.Snapshot()
//	if s == nil {
//		// Not known yet.
//	}
//	kind, ok := s.Route(host, path)
package configuration
