// Package scheduler is the core of an entry process: it takes requests, plans
// their attempts, dispatches them to target processes and reports each
// request's outcome.
//
// A Scheduler proposes; it never decides alone what runs. A row of the
// platform decides which attempt of a recorded job is current, and a target
// process decides what runs on its slots. A scheduler that is wrong, paused or
// cut off can waste work but can't break a promise to a caller.
//
// Requests that are idempotent and waited for have no row and go on while the
// platform's store is down. All others claim a row before their first attempt.
//
// # Usage
//
//	s := scheduler.New(scheduler.Settings{Entry: "e1"}, scheduler.Peers{
//		Store: store, Targets: pool, Config: holder, Members: members,
//	}, log, metrics.NewSet())
//	go s.Run(ctx)
//	status, err := s.Submit(ctx, scheduler.Request{Workspace: "web", Kind: "render"}, 30*time.Second)
//	if err != nil {
//		return err // The request is malformed, or its key belongs to another request.
//	}
//	if status.Ended {
//		switch o := status.Outcome.(type) {
//		case outcome.Ran:
//		case outcome.NotRun:
//		case outcome.Unknown:
//		}
//	}
package scheduler
