// Package platform simulates the users' platform: an in-memory transactional store
// with rows, a change feed and objects, served over the platform's HTTP protocol.
//
// A part is a partition of a table. Transactions on parts of the same name are
// executed one at a time, and each takes Settings.TxTime.
//
// Faults can be injected from tests and over HTTP at /fault: the store can be down for
// all or some hosts, be slow, lose the responses of transactions, and execute those
// transactions late. DropHistory drops the history that the feed is read from.
//
// # Usage
//
//	srv := platform.New(platform.Settings{}, log)
//	http.ListenAndServe("127.0.0.1:8400", srv)
//
//	srv.Put("op", "config", value) // as the platform's operator
//	srv.SetFaults(platform.Faults{Down: platform.DownSilent})
package platform
