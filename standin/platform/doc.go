// Package platform is a stand-in for the platform's table service and object
// store, for tests and the demonstration. It keeps everything in memory.
//
// It serves the protocol of package platformapi and, beside it, GET and POST
// /fault with Faults, and GET /counts with Counts. POST /fault replaces all
// faults: those that it does not name are switched off.
//
// Rates above the limits are answered with delay, not with errors: a request
// waits for its turn. A multi-row write counts as one write and a scan as one
// read; objects count like rows. A write whose caller goes away while it waits
// is dropped, unless Faults.LateWrites is set.
//
// Versions are drawn from one counter of the whole service, so the version of
// a row that was deleted and inserted again never repeats.
//
// # Usage
//
//	s := platform.New(platform.Settings{}, logger)
//	go http.Serve(listener, s)
//	s.SetFaults(platform.Faults{LoseAnswers: 1})
package platform
