// Package pipenet implements an in-memory network of named hosts with fault
// injection. It carries any protocol that runs over net.Conn, and works inside a
// testing/synctest bubble: a blocked read, write, dial or accept is durably
// blocked, and delays and deadlines use the runtime's clock.
//
// A connection buffers up to 64 KiB in each direction. Addresses have the form
// "host:port", where host is the name that faults refer to.
//
// A cut is a network partition in one direction: data written during the cut is
// delivered after it is healed, and dials wait until then. A freeze permanently
// stops delivery on the connections that are open at that moment; new connections
// work. A reset fails connections with an error at both ends.
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
