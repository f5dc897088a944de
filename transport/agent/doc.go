// Package agent connects planners to the agents of targets over drpc. It has the
// client side, Clients, and the server side, Serve.
//
// # Usage
//
//	c := agent.NewClients(dial)
//	defer c.Close()
//	reply, err := c.Agent("10.1.0.20:7000").Watch(ctx, req)
//
//	err := agent.Serve(ctx, listener, impl)
package agent
