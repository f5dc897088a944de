// Package entry connects target processes and entries to entries, and serves the
// Entry service.
//
// Calls have the deadline of their context, or rpc.CallTimeout. Errors name the
// method and the address, and wrap a NotSentError if the entry did not receive
// the request.
//
// # Usage
//
//	p := entry.NewPool(entry.Settings{Dial: dial, Generation: generation, Learn: learn})
//	defer p.Close()
//	client, err := p.Client(ctx, address)
//	if err != nil {
//		return err
//	}
//	reply, err := client.Heartbeat(ctx, report)
package entry
