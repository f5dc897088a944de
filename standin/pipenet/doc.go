// Package pipenet is an in-memory network of named hosts with switchable
// faults. It carries any protocol that runs over net.Conn, and it works inside
// a testing/synctest bubble: a blocked read, write, dial or accept is durably
// blocked, and delays and deadlines use the runtime's clock.
//
// A connection buffers up to 64 KiB in each direction. Addresses have the form
// "host:port"; the host is the name that faults refer to.
//
// A cut is like a broken cable: what is written meanwhile arrives after the
// cut is healed, and dials wait. A freeze silences the connections that are
// open at that moment for good, while new ones work. A reset ends connections
// with an error on both sides.
//
// # Usage
//
//	var n pipenet.Network
//	l, err := n.Host("platform").Listen("platform:80")
//	go server.Serve(l)
//	client := &http.Client{Transport: &http.Transport{
//		DialContext: n.Host("entry").DialContext,
//	}}
//	n.CutBoth("entry", "platform")
//
// A client in a bubble must close its idle connections, and a server must be
// closed, before the bubble ends.
package pipenet
