// Package tabletest provides an in-memory table.Store for tests, whose commits can
// be made to fail in each of the ways that a real store fails.
//
// # Usage
//
//	s := tabletest.New()
//	s.OnCommit(func(table.Tx) tabletest.Fate { return tabletest.LostAfter })
package tabletest
