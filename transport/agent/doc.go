// Package agent connects planners to the agents of targets over drpc. It has the
// client side, Agents, and the server side, Serve.
//
// # Usage
//
//	a := agent.NewClients(dial)
//	defer a.Close()
//	reply, err := a.Agent("10.1.0.20:7000").Watch(ctx, req)
//
//	err := agent.Serve(ctx, listener, impl)
package agent
