// Package executor is the core of the target process: it admits attempts, runs
// them on the worker beside it under leases, takes part in gangs as member and
// as hub, and reports to the entries.
//
// An attempt that is refused never runs user code, then or later. Each effect
// (launch, release, renewal of a lease) is preceded by a check of the leases on
// the monotonic clock, so that a process that was paused does not act on a
// decision that others have given up. A launch whose answer was lost counts as
// running until the worker has confirmed its stop or its lease has lapsed.
//
// # Usage
//
//	e, err := executor.New(executor.Config{
//		Name:       "target-1",
//		Address:    "10.0.0.7:7000",
//		Rack:       "rack-1",
//		Slots:      8,
//		EntryList:  []string{"10.0.1.1:7100"},
//		Worker:     worker,
//		Hubs:       targets,
//		Entries:    entries,
//		Generation: config.Generation,
//	})
//	if err != nil {
//		return err
//	}
//	defer e.Close()
//	err = targetrpc.DRPCRegisterTarget(mux, e)
//	...
//	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
//	defer cancel()
//	e.Drain(ctx)
package executor
