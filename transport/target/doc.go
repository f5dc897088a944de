// Package target connects entries and gang members to target processes, and
// serves the Target service.
//
// A Pool holds connections and sessions by the address of the target. Effects
// (Start, Reserve, Release, Preempt) are sent through the client of a Session,
// which refuses calls once the target may have expired the session. Queries
// (Await, Fence, Abort, Cancel) and pulses go through Pool.Client, which needs
// no session.
//
// Every call has a deadline: that of its context, or rpc.CallTimeout. A long
// poll passes a context whose deadline is later than the wait time in its
// request. A call that fails closes its connection. Errors name the method and
// the address, and wrap a NotSentError if the target did not receive the
// request; after any other error the caller asks for the attempt with Await or
// Fence.
//
// # Usage
//
//	p := target.NewPool(target.Settings{
//		Entry:       "entry-1",
//		Incarnation: incarnation,
//		Dial:        dial,
//		Generation:  holder.Generation,
//		Learn:       holder.Learn,
//		Log:         log,
//	})
//	defer p.Close()
//	s, err := p.Session(ctx, address)
//	if err != nil {
//		return err // Nothing was started.
//	}
//	reply, err := s.Client().Start(ctx, &targetrpc.StartRequest{
//		Session:     s.ID(),
//		Incarnation: s.Incarnation(),
//		Attempt:     attempt,
//		Task:        task,
//	})
package target
