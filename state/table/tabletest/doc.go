// Package tabletest provides an in-memory table.Store for tests. Its commits can be
// made to fail in each of the ways in which a real store fails.
//
// # Usage
//
//	s := tabletest.New()
//	s.OnCommit(func(table.Tx) tabletest.CommitResult { return tabletest.ReplyLost })
package tabletest
