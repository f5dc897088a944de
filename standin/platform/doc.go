// Package platform is a stand-in for the users' platform: its transactional store
// with rows, a feed of changes and objects, spoken over the platform's HTTP
// protocol. It holds everything in memory.
//
// Transactions of one part are carried out one after another and take the time of
// the settings. Faults can be switched from tests, and over HTTP at /fault: the
// store can be down, slow, deny some hosts, lose answers or carry out writes late,
// and drop its history.
//
// # Usage
//
//	srv := platform.New(platform.Settings{}, log)
//	http.ListenAndServe("127.0.0.1:8400", srv)
//
//	srv.Put("op", "config", value) // as the operator
//	srv.SetFaults(platform.Faults{Down: platform.DownSilent})
package platform
