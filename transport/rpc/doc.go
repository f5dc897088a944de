// Package rpc holds what the drpc connections of all peers share: a pool of
// client connections per address, and a server that ends without cutting calls
// short.
//
// drpc carries one call at a time on a connection, so a Pool keeps several
// connections per address. Every call has a deadline. A call that fails closes
// its connection: open connections can go silent for good while new ones work,
// and a connection that was left in the middle of a call must not carry another.
//
// Errors of calls are an outcome.CallError. One that wraps a NotSentError proves
// that the peer did not receive the request; after any other error the peer may
// have received it.
//
// # Usage
//
//	p := rpc.NewPool(rpc.Settings{Dial: dial})
//	defer p.Close()
//	client := agentrpc.NewDRPCAgentClient(p.Conn("10.0.0.1:7000"))
//	reply, err := client.Watch(ctx, req)
//	var notSent *rpc.NotSentError
//	if errors.As(err, &notSent) {
//		// The agent knows nothing of this call.
//	}
//
// Serve is the other side:
//
//	mux := drpcmux.New()
//	if err := agentrpc.DRPCRegisterAgent(mux, impl); err != nil {
//		return err
//	}
//	return rpc.Serve(log.WithContext(ctx), listener, mux)
package rpc
