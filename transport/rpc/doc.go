// Package rpc provides a pool of drpc client connections and a drpc server with
// graceful shutdown.
//
// drpc carries one call at a time on a connection, so a Pool keeps several
// connections per address. Every call has a deadline. A failed call closes its
// connection, because an established connection can stop delivering data
// permanently while new connections work, and because a connection whose call was
// abandoned must not carry another one.
//
// Calls return an outcome.CallError. If it wraps a NotSentError, the peer did not
// receive the request; after any other error the peer may have received it.
//
// # Usage
//
//	p := rpc.NewPool(rpc.Settings{Dial: dial})
//	defer p.Close()
//	client := agentrpc.NewDRPCAgentClient(p.Conn("10.0.0.1:7000"))
//	reply, err := client.Watch(ctx, req)
//	var notSent *rpc.NotSentError
//	if errors.As(err, &notSent) {
//		// The agent did not receive this call.
//	}
//
// Serve runs a server:
//
//	mux := drpcmux.New()
//	if err := agentrpc.DRPCRegisterAgent(mux, impl); err != nil {
//		return err
//	}
//	return rpc.Serve(log.WithContext(ctx), listener, mux)
package rpc
